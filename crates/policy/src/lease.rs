//! The lease that makes one node the root of its region's tree.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use filbertwheel_core::{Fence, Incarnation, VmId, message, value};

/// How long a lease lasts without a renewal, measured by the clock of each observer.
pub const LEASE_TIME: Duration = Duration::from_secs(3);

/// Stored row of the lease.
#[message]
#[derive(Eq)]
pub struct LeaseRow {
    /// VM of the holder.
    pub holder: VmId,
    /// Incarnation of the holder.
    pub incarnation: Incarnation,
    /// Address at which other nodes reach the holder.
    pub address: SocketAddr,
    /// Fencing token; increases with each new holder.
    pub fence: Fence,
    /// Increases with each renewal.
    pub serial: u64,
    /// Whether the holder has released the lease and grants nothing any more.
    pub released: bool,
    /// The nodes whose majority decides whether a root that cannot renew the lease may continue.
    pub voters: Vec<Voter>,
}

/// One run of a node that votes.
#[message]
#[derive(Eq, PartialOrd, Ord)]
pub struct Voter {
    /// VM of the node.
    pub vm: VmId,
    /// Incarnation of the node. A later run on the same VM is not part of the vote.
    pub incarnation: Incarnation,
}

/// Next step after reading the lease.
#[value]
pub enum LeaseStep {
    /// Follow the holder.
    Follow,
    /// Try to acquire the lease with this fence.
    Acquire(Fence),
}

/// Observes a lease held by another node.
#[derive(Debug, Default)]
pub struct LeaseWatch {
    last_seen: Option<(LeaseRow, Instant)>,
}

impl LeaseWatch {
    /// Records the row that was read and returns the next step.
    pub fn observe(&mut self, row: Option<&LeaseRow>, now: Instant) -> LeaseStep {
        let Some(row) = row else {
            return LeaseStep::Acquire(1);
        };
        if row.released {
            return LeaseStep::Acquire(row.fence + 1);
        }
        match &self.last_seen {
            Some((known, since)) if known == row => {
                if now.saturating_duration_since(*since) >= LEASE_TIME {
                    return LeaseStep::Acquire(row.fence + 1);
                }
            }
            _ => self.last_seen = Some((row.clone(), now)),
        }
        LeaseStep::Follow
    }
}
