//! Who may act on the lease on the rate limits, where the store that keeps its row may be restored
//! from an older copy.
//!
//! A row that was written before a restore may name a holder that has been succeeded since, an earlier
//! expiry, a lower fencing token and fewer portions than were lent. Its holder goes on if its lease has
//! not expired by its own clock, and writes its row anew. Any other node waits until each lease of
//! before the restore has expired, unless it knows that none is in force, and then takes it that any
//! node may hold portions. Fencing tokens begin anew in each epoch, above all those of earlier epochs.

use std::time::Duration;

use filbertwheel_core::{Epoch, Fence, Revision, copy_value};

/// Number of fencing tokens of an epoch. No epoch uses as many.
const FENCES_PER_EPOCH: Fence = 1_000_000_000;

/// What the row of the lease says.
#[copy_value]
pub enum LeaseClaim {
    /// There is no row.
    Absent,
    /// The row can't be decoded or is not plausible. This is its revision.
    Unreadable(Revision),
    /// A node holds the lease, or did.
    Stated(StatedLease),
}

/// A lease as its row states it.
#[copy_value]
pub struct StatedLease {
    /// Epoch of the store in which the row was written.
    pub epoch: Epoch,
    /// Fencing token of the holder.
    pub fence: Fence,
    /// Time until another node may acquire it.
    pub left: Duration,
    /// Whether an earlier process on the VM of this node held it.
    pub own: bool,
}

/// What a node knows besides the row.
#[copy_value]
pub struct LeaseView {
    /// Epoch in which the row was read.
    pub epoch: Epoch,
    /// Time in which leases of before the last restore may still be in force.
    pub unsettled: Duration,
    /// Whether the node knows other nodes, is connected to all of them, the one that the row names
    /// included, and each has stated since the last restore that it holds no lease.
    pub all_idle: bool,
    /// Highest fencing token of a holder that the node has heard of; 0 if none.
    pub heard: Fence,
    /// A lease that its holder no longer acts on and has offered to this node.
    pub offered: Option<LeaseOffer>,
}

/// A lease that its holder has offered to another node.
#[copy_value]
pub struct LeaseOffer {
    /// Fencing token of the lease.
    pub fence: Fence,
    /// Whether the lease would still be in force and the store was not restored since the offer, so
    /// that another node that has acquired it is named in the row.
    pub in_force: bool,
}

/// What a node that wants the lease does.
#[copy_value]
pub enum Succession {
    /// It leaves the lease to others for this time.
    Wait(Duration),
    /// It acquires the lease.
    Acquire {
        /// Its fencing token.
        fence: Fence,
        /// Whether the row names all portions that nodes may hold.
        grants_known: bool,
    },
}

impl LeaseClaim {
    /// Decides what a node that wants the lease does.
    pub fn succeed(&self, view: &LeaseView) -> Succession {
        let grants_known = match *self {
            Self::Absent => view.unsettled.is_zero(),
            Self::Unreadable(_) => false,
            Self::Stated(lease) => lease.epoch >= view.epoch,
        };
        let wait = match *self {
            Self::Stated(lease) if grants_known => {
                let given_up = view.offered.is_some_and(|offer| offer.fence == lease.fence);
                (!lease.own && !given_up).then_some(lease.left)
            }
            _ if view.all_idle || view.offered.is_some_and(|offer| offer.in_force) => None,
            Self::Stated(lease) => Some(view.unsettled.max(lease.left)),
            Self::Absent | Self::Unreadable(_) => Some(view.unsettled),
        };
        match wait {
            Some(wait) if !wait.is_zero() => Succession::Wait(wait),
            _ => Succession::Acquire {
                fence: self.next_fence(view),
                grants_known,
            },
        }
    }

    /// Returns whether a holder whose lease has not expired writes its row anew over this one, after
    /// a conflict.
    pub fn gives_way_to(&self, fence: Fence, epoch: Epoch) -> bool {
        match *self {
            Self::Absent => true,
            Self::Unreadable(_) => false,
            Self::Stated(lease) => {
                lease.fence == fence || (lease.epoch < epoch && lease.fence < fence)
            }
        }
    }

    /// Returns a fencing token above all that were given out.
    fn next_fence(&self, view: &LeaseView) -> Fence {
        let first = view.epoch.saturating_mul(FENCES_PER_EPOCH);
        let known = match *self {
            Self::Absent => first,
            // Each token of the epoch was written with a revision of its own.
            Self::Unreadable(revision) => first.saturating_add(revision),
            Self::Stated(lease) => lease.fence,
        };
        let offered = view.offered.map_or(0, |offer| offer.fence);
        first
            .max(known)
            .max(view.heard)
            .max(offered)
            .saturating_add(1)
    }
}
