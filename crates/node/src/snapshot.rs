//! What control publishes to traffic.

use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use filbertwheel_core::{Call, Configuration, Member, Status};
use filbertwheel_policy::{OwnershipHistory, Roster};

/// The latest snapshot, shared by control and traffic.
pub type SharedSnapshot = Arc<ArcSwap<Snapshot>>;

/// An immutable view of the control state.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// The configuration in force.
    pub config: Arc<Configuration>,
    /// The members as this node knows them.
    pub roster: Arc<Roster>,
    /// For which request ids the node answers, and since when.
    pub ownership: Arc<OwnershipHistory>,
    /// The node itself.
    pub local_member: Member,
    /// Until when the node may serve keyed routes.
    pub lease: Option<Instant>,
}

impl Snapshot {
    /// Whether the configuration is known to be current.
    pub fn is_current(&self, now: Instant) -> bool {
        self.lease.is_some_and(|until| now < until)
    }

    /// Whether the key that a call came with still stands for its organisation.
    pub fn accepts_key(&self, call: &Call) -> bool {
        let Some(hash) = &call.key else {
            return true;
        };
        let key = self.config.keys.get(hash);
        key.is_some_and(|key| Some(&key.organisation) == call.organisation.as_ref())
    }

    /// Whether the node takes work for its backend server.
    pub fn is_serving(&self) -> bool {
        self.local_member.status == Status::Serving
    }
}
