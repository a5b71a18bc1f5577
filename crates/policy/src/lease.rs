//! The lease that makes one node the root of its region's tree.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use filbertwheel_core::{Fence, Incarnation, VmId, message, value};

/// How long a lease lasts without a renewal, by the clock of whoever watches it.
pub const LEASE_TIME: Duration = Duration::from_secs(3);

/// The lease as it stands in the table.
#[message]
#[derive(Eq)]
pub struct LeaseRow {
    /// VM of the holder.
    pub holder: VmId,
    /// Run of the holder.
    pub incarnation: Incarnation,
    /// Where other nodes reach the holder.
    pub address: SocketAddr,
    /// Grows with each new holder.
    pub fence: Fence,
    /// Grows with each renewal.
    pub serial: u64,
    /// Whether the holder has given it up and grants nothing any more.
    pub released: bool,
    /// The nodes whose word decides whether a root without a renewal goes on.
    pub voters: Vec<Voter>,
}

/// A run of a node that votes.
#[message]
#[derive(Eq, PartialOrd, Ord)]
pub struct Voter {
    /// Its VM.
    pub vm: VmId,
    /// Its run. A later run of the same VM has no part in the vote.
    pub incarnation: Incarnation,
}

/// What to do after a look at the lease.
#[value]
pub enum LeaseStep {
    /// Follow its holder.
    Follow,
    /// Try to take it with this fence.
    Take(Fence),
}

/// Watches a lease that another node holds.
#[derive(Debug, Default)]
pub struct LeaseWatch {
    seen: Option<(LeaseRow, Instant)>,
}

impl LeaseWatch {
    /// Takes note of the row as it was read, and decides.
    pub fn observe(&mut self, row: Option<&LeaseRow>, now: Instant) -> LeaseStep {
        let Some(row) = row else {
            return LeaseStep::Take(1);
        };
        if row.released {
            return LeaseStep::Take(row.fence + 1);
        }
        match &self.seen {
            Some((known, since)) if known == row => {
                if now.saturating_duration_since(*since) >= LEASE_TIME {
                    return LeaseStep::Take(row.fence + 1);
                }
            }
            _ => self.seen = Some((row.clone(), now)),
        }
        LeaseStep::Follow
    }
}
