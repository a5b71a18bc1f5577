//! Decisions, without I/O and without encoding.
//!
//! Every decision takes the present time as an argument and works on typed values of
//! `filbertwheel-core`, so that tests drive it with a clock of their own.

mod bucket;
mod cutoff;
mod divide;
mod gate;
mod lease;
mod ledger;
mod limit;
mod link;
mod memory;
mod owner;
mod purse;
mod quarantine;
mod queue;
mod rank;
mod reign;
mod retry;
mod root;
mod roster;
mod routing;
mod tenure;

pub use bucket::{Bucket, Receipt};
pub use cutoff::{CUT_OFF_LIFETIME, CutOffs};
pub use gate::{Entry, Gate, Offer, Release, Ticket};
pub use lease::{LEASE_TIME, LeaseRow, LeaseStep, LeaseWatch, Voter};
pub use ledger::{Ledger, LedgerError, SHARE_LIFETIME};
pub use limit::{Answering, FixedLimit, LatencyLimit, Limit, Spent};
pub use link::Link;
pub use memory::{Admission, CLOCK_ERROR, Memory, REPEAT_WINDOW};
pub use owner::{RequestKey, owner};
pub use purse::{CLAIM_LIFETIME, Purse, Short};
pub use quarantine::{CRASH_LIMIT, Fingerprint, Passage, Quarantine, Suspicion};
pub use rank::rank_of;
pub use reign::{OUTAGE_LIMIT, Reign, SUPPORT_TIME};
pub use retry::{RETRIES_PER_CALL, RetryRatio, RetryRatios, retry_after};
pub use root::{Root, RootError};
pub use roster::Roster;
pub use routing::{Candidate, Loads, choose};
pub use tenure::Tenure;

/// A whole rate and burst, in the portions that shares are counted in.
pub const WHOLE: u64 = 1_000_000_000;
