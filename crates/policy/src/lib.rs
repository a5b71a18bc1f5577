//! Policy decisions, free of I/O and message encoding.
//!
//! Every decision takes the current time as an argument and works on the types of
//! `filbertwheel-core`, so that tests can use a simulated clock.

mod admission;
mod admission_queue;
mod balance;
mod bucket;
mod buckets;
mod budget;
mod catchup;
mod child;
mod coldness;
mod cutoff;
mod dedup;
mod demand;
mod departures;
mod evacuation;
mod expected_work;
mod gate;
mod graph;
mod headroom;
mod homes;
mod lease;
mod ledger;
mod limit;
mod lineage;
mod longest;
mod max_min;
mod owner;
mod ownership;
mod pacer;
mod parent_session;
mod peer_load;
mod placement;
mod profiler;
mod quarantine;
mod queue;
mod quota;
mod rank;
mod recovery;
mod rendezvous;
mod retry;
mod root;
mod roster;
mod round_robin;
mod routing;
mod rules_check;
mod rules_diff;
mod speed;
mod stop;
mod subtree;
mod succession;
mod sums;
mod term;
mod tree;
mod unlearnt;
mod warmup;
mod watch;
mod work_meter;

pub use admission::{
    AdmissionPlan, AdmissionPlanner, Capacity, FairShedder, RouteDemand, ShedThreshold,
};
pub use admission_queue::{AdmissionQueue, QueueOutcome, QueueRequest, QueueTicket};
pub use balance::{BackendLoad, BackendView, Distance, Health};
pub use bucket::{TokenBucket, TokenReceipt};
pub use buckets::{CLAIM_LIFETIME, OutOfTokens, ShareBuckets};
pub use budget::{RetryBudget, RetryLimits};
pub use catchup::RulesCatchup;
pub use coldness::{Coldness, ReportSequence};
pub use cutoff::{CUT_OFF_LIFETIME, CutOffs};
pub use dedup::{DEDUP_WINDOW, DedupDecision, DedupTable, MAX_CLOCK_SKEW};
pub use demand::{DemandMeter, DemandTrend};
pub use departures::{Departure, DepartureLog, DepartureRow, DepartureWrite};
pub use evacuation::{
    Evacuation, EvacuationChange, EvacuationReport, EvacuationRows, Evacuations, MAX_EVACUATED,
};
pub use expected_work::{Expectation, ExpectedWork, WorkSeconds};
pub use gate::{Gate, GateOutcome, GateRequest, GateTicket, WaitOutcome};
pub use graph::{CallGraph, RequestCost, ServiceCost};
pub use headroom::{BackendCapacity, Headroom, demanded_slots, headroom};
pub use homes::{AllowedRegions, has_room};
pub use lease::{LEASE_TIME, LeaseRow, LeaseStep, LeaseWatch, Voter};
pub use ledger::{SHARE_LIFETIME, ShareLedger, ShareLedgerError};
pub use limit::{ConcurrencyLimit, FixedLimit, LatencyLimit, LimitAlgorithm, RunTime};
pub use lineage::{ReadMode, RulesLineage, RulesReading, RulesVerdict};
pub use longest::LongestTimes;
pub use owner::{RequestKey, request_owner};
pub use ownership::OwnershipHistory;
pub use pacer::{Pacer, SendReservation, usable_slots};
pub use parent_session::{AttachOutcome, PARENT_TIMEOUT, ParentSession};
pub use peer_load::{PeerLoad, SentCall};
pub use placement::{LeastExpectedTime, LeastOccupied, Placement};
pub use profiler::{PendingCall, Profiler, RouteProfile};
pub use quarantine::{CRASH_LIMIT, CrashReport, Fingerprint, Quarantine, RunMode};
pub use quota::{
    LedgerSummary, PORTION_LIFETIME, PortionBuckets, PortionGrant, PortionLedger, PortionRequest,
    Portions, RateLimits, StoredGrants,
};
pub use rank::shed_rank;
pub use recovery::{DepartureRecovery, KnownDepartures, ProcessMemory};
pub use retry::{RETRIES_PER_CALL, RetryThrottle, RetryThrottles, retry_after};
pub use root::{Root, RootError};
pub use roster::Roster;
pub use round_robin::WeightedRoundRobin;
pub use routing::{Candidate, LoadTracker, choose_backend};
pub use rules_check::{RulesFinding, check_rules};
pub use rules_diff::{EntryChange, RulesDifference, rules_differences};
pub use speed::Speed;
pub use stop::StopWindow;
pub use subtree::{REJOIN_TIMEOUT, Subtree};
pub use succession::{LeaseClaim, LeaseOffer, LeaseView, StatedLease, Succession};
pub use sums::{
    Aggregation, ColdCapacity, FleetReport, FleetSums, HolderNotice, Outgoing, PartReport,
    ServiceCapacity, SumMessage,
};
pub use term::{LeaseTerm, OUTAGE_LIMIT, SUPPORT_LIFETIME};
pub use tree::{MAX_CHILDREN, MAX_CLAIM_HOPS, choose_child};
pub use warmup::{WarmupPlan, WarmupShare, plan_warmup, retry_time};
pub use watch::WatchDuty;
pub use work_meter::{CallWork, MeasuredRun, Occupancy, RunTicket, WorkFigures, WorkMeter};

/// A full rate and burst, in the integer units that shares are counted in.
pub const FULL_PORTION: u64 = 1_000_000_000;
