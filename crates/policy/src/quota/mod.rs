//! Fleet-wide rate limits of organisations, divided into portions.
//!
//! The lease holder, one node at a time, records which portion of each organisation's rate and
//! burst is lent to every node. A node spends tokens from the buckets of its own portions without
//! contacting other nodes. Portions expire, so that a partitioned node eventually stops spending.

mod ledger;
mod portions;

pub use ledger::{LedgerSummary, PortionLedger};
pub use portions::PortionBuckets;

use std::collections::BTreeMap;
use std::time::Duration;

use filbertwheel_core::{OrganisationId, Rate, VmId, message};

/// Lifetime of a portion, measured by its node from when it sent the request for it.
pub const PORTION_LIFETIME: Duration = Duration::from_secs(10);
/// Fraction of a rate that the lease holder keeps for claims. The portion of a node is then well
/// below its demand, so that no token is lost in a full bucket while other nodes lack tokens.
const CLAIM_RESERVE_FRACTION: f64 = 0.5;
/// Minimum burst of a portion in tokens. Smaller buckets overflow whenever requests arrive
/// unevenly.
const MIN_BURST_TOKENS: f64 = 8.0;
/// Fraction of a rate that all nodes together may spend while no lease holder is reachable. It is
/// lower than the excess over a rate that operators tolerate when some nodes are partitioned from
/// an active lease holder.
const EMERGENCY_FRACTION: f64 = 0.35;

/// Rate limits by organisation.
pub type RateLimits = BTreeMap<OrganisationId, Rate>;

/// Portion of each organisation's rate and burst, as a fraction from 0 to 1. Organisations without
/// an entry have none.
pub type Portions = BTreeMap<OrganisationId, f64>;

/// Portions that a lease holder may have lent, as stored for its successor.
#[message]
#[derive(Default)]
pub struct StoredGrants {
    /// Nodes that may have portions, each with the largest portion that it may have of any
    /// organisation.
    pub nodes: BTreeMap<VmId, f64>,
    /// Portions of all these nodes together, by organisation; `None` if unknown.
    pub lent: Option<Portions>,
}

/// Request of a node for new portions from the lease holder.
#[message]
pub struct PortionRequest {
    /// VM of the node.
    pub vm: VmId,
    /// Sequence number within the run of the node. Only the grant for the latest one is applied.
    pub number: u64,
    /// Demand by organisation, in calls per second, without organisations that have none.
    pub demands: BTreeMap<OrganisationId, f64>,
    /// Portions that the node may use until it receives the grant.
    pub held: Portions,
    /// Whether the node is shutting down and needs no more portions.
    pub leaving: bool,
}

/// Response of the lease holder to a portion request.
#[message]
pub struct PortionGrant {
    /// Sequence number of the request.
    pub number: u64,
    /// Portions of the node, which replace all earlier ones.
    pub portions: Portions,
}

/// Returns the part of a rate limit that a portion amounts to.
fn scaled(limit: Rate, portion: f64) -> Rate {
    Rate {
        rate: limit.rate * portion,
        burst: limit.burst * portion,
    }
}

/// Returns the portion that a node with `demand` calls per second should have, where the demand of
/// all nodes is `total`, or 0 if its burst would be too small. A portion above the demand would
/// lose tokens in a full bucket while other nodes claim theirs.
fn portion_for(demand: f64, total: f64, limit: Rate) -> f64 {
    if demand <= 0.0 || limit.rate <= 0.0 {
        return 0.0;
    }
    let share = (1.0 - CLAIM_RESERVE_FRACTION) * demand / total.max(demand);
    let portion = share.min(demand / limit.rate);
    if portion * limit.burst < MIN_BURST_TOKENS {
        0.0
    } else {
        portion
    }
}
