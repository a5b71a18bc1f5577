//! Decisions, without I/O and without encoding.
//!
//! Every decision takes the present time as an argument and works on typed values of
//! `filbertwheel-core`, so that tests drive it with a clock of their own.

mod admission;
mod balance;
mod bucket;
mod buckets;
mod budget;
mod catchup;
mod child;
mod cutoff;
mod divide;
mod gate;
mod graph;
mod intake;
mod lease;
mod ledger;
mod limit;
mod link;
mod memory;
mod owner;
mod profiler;
mod quarantine;
mod queue;
mod quota;
mod rank;
mod retry;
mod root;
mod roster;
mod routing;
mod split;
mod subtree;
mod tenure;
mod term;
mod tree;

pub use admission::{Asked, Capacity, Cut, Cuts, FairShed, Planner};
pub use balance::{Distance, Health, Load, View};
pub use bucket::{Bucket, Receipt};
pub use buckets::{CLAIM_LIFETIME, QuotaBuckets, Short};
pub use budget::{RetryBudget, RetryTerms};
pub use catchup::Catchup;
pub use cutoff::{CUT_OFF_LIFETIME, CutOffs};
pub use gate::{Entry, Gate, Offer, Release, Ticket};
pub use graph::{CallGraph, Cost, Visit};
pub use intake::{Ask, Intake, Offer as IntakeOffer, Ticket as IntakeTicket};
pub use lease::{LEASE_TIME, LeaseRow, LeaseStep, LeaseWatch, Voter};
pub use ledger::{Ledger, LedgerError, SHARE_LIFETIME};
pub use limit::{Answering, FixedLimit, LatencyLimit, Limit, RunTime};
pub use link::{Attach, LOST_TIME, Link};
pub use memory::{Admission, CLOCK_ERROR, Memory, REPEAT_WINDOW};
pub use owner::{RequestKey, owner};
pub use profiler::{Calling, Profiler, RouteProfile};
pub use quarantine::{CRASH_LIMIT, Fingerprint, Passage, Quarantine, Suspicion};
pub use quota::{
    Allowance, Grantees, PORTION_LIFETIME, PortionAsk, PortionGrant, PortionLedger, Portions,
};
pub use rank::rank_of;
pub use retry::{RETRIES_PER_CALL, RetryRatio, RetryRatios, retry_after};
pub use root::{Root, RootError};
pub use roster::Roster;
pub use routing::{Candidate, Loads, choose};
pub use split::Split;
pub use subtree::{ORPHAN_TIME, Subtree};
pub use tenure::Tenure;
pub use term::{LeaseTerm, OUTAGE_LIMIT, SUPPORT_TIME};
pub use tree::{CLAIM_HOPS, FANOUT, choose_child};

/// A whole rate and burst, in the portions that shares are counted in.
pub const WHOLE: u64 = 1_000_000_000;
