//! Immutable copies of the control state for the traffic threads.

use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use filbertwheel_core::{Call, Configuration, Member, Status};
use filbertwheel_policy::{OwnershipHistory, Roster};

/// The latest snapshot, shared by the control thread and the traffic threads.
pub type SharedSnapshot = Arc<ArcSwap<Snapshot>>;

/// An immutable view of the control state.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// The configuration in force.
    pub config: Arc<Configuration>,
    /// The known members.
    pub roster: Arc<Roster>,
    /// Which request ids the node owns, and since when.
    pub ownership: Arc<OwnershipHistory>,
    /// This node's member record.
    pub local_member: Member,
    /// When the node's lease to serve routes that require a key expires.
    pub lease: Option<Instant>,
}

impl Snapshot {
    /// Whether the configuration is known to be current.
    pub fn is_current(&self, now: Instant) -> bool {
        self.lease.is_some_and(|until| now < until)
    }

    /// Whether a call's key is valid and belongs to the call's organisation. True for calls without
    /// a key.
    pub fn accepts_key(&self, call: &Call) -> bool {
        let Some(hash) = &call.key else {
            return true;
        };
        let key = self.config.keys.get(hash);
        key.is_some_and(|key| Some(&key.organisation) == call.organisation.as_ref())
    }

    /// Whether the node accepts calls for its backend server.
    pub fn is_serving(&self) -> bool {
        self.local_member.status == Status::Serving
    }
}
