//! The children that send heartbeats to this node.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbertwheel_core::{Heartbeat, Status, Version, VmId};

use crate::control::state::SERVING_LEASE;

/// Time without a heartbeat after which a child counts as gone. By then its serving lease has
/// expired.
const CHILD_TIMEOUT: Duration = Duration::from_secs(SERVING_LEASE.as_secs() + 1);

/// Live children by VM, with their last heartbeat.
#[derive(Debug, Default)]
pub(crate) struct Children(BTreeMap<VmId, ChildState>);

#[derive(Debug)]
struct ChildState {
    at: Instant,
    config: Version,
}

impl Children {
    /// Returns the VMs of the live children.
    pub fn vms(&self) -> impl Iterator<Item = &VmId> {
        self.0.keys()
    }

    /// Returns the lowest configuration version among the children and the node itself.
    pub fn confirmed(&self, own: Version) -> Version {
        let versions = self.0.values().map(|state| state.config);
        versions.min().unwrap_or(own).min(own)
    }

    /// Returns the children that haven't confirmed a version.
    pub fn unconfirmed(&self, version: Version) -> Vec<VmId> {
        let unconfirmed = self.0.iter().filter(|(_, state)| state.config < version);
        unconfirmed.map(|(vm, _)| vm.clone()).collect()
    }

    /// Returns the configuration version of each live child.
    pub fn versions(&self) -> Vec<(VmId, Version)> {
        let versions = self.0.iter().map(|(vm, state)| (vm.clone(), state.config));
        versions.collect()
    }

    /// Records a child's heartbeat. Removes a child that is leaving for good.
    pub fn record(&mut self, heartbeat: &Heartbeat, now: Instant) {
        if heartbeat.member.status == Status::Gone {
            self.0.remove(&heartbeat.member.vm);
            return;
        }
        let state = ChildState {
            at: now,
            config: heartbeat.config,
        };
        self.0.insert(heartbeat.member.vm.clone(), state);
    }

    /// Removes the children whose heartbeats have timed out and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<VmId> {
        let silent = |state: &ChildState| now.saturating_duration_since(state.at) > CHILD_TIMEOUT;
        self.0
            .extract_if(.., |_, state| silent(state))
            .map(|(vm, _)| vm)
            .collect()
    }
}
