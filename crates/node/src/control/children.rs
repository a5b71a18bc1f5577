//! The children that a parent hears from.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbertwheel_core::{Heartbeat, Status, Version, VmId};

use crate::control::state::SERVING_LEASE;

/// Silence after which a child is gone. By then its serving lease has run out.
const CHILD_TIMEOUT: Duration = Duration::from_secs(SERVING_LEASE.as_secs() + 1);

/// Children by VM, with what was last heard of them.
#[derive(Debug, Default)]
pub(crate) struct Children(BTreeMap<VmId, ChildState>);

#[derive(Debug)]
struct ChildState {
    at: Instant,
    config: Version,
}

impl Children {
    /// VMs of the live children.
    pub fn vms(&self) -> impl Iterator<Item = &VmId> {
        self.0.keys()
    }

    /// The lowest version that a child has confirmed, or that the node itself has.
    pub fn confirmed(&self, own: Version) -> Version {
        let versions = self.0.values().map(|state| state.config);
        versions.min().unwrap_or(own).min(own)
    }

    /// Children that haven't confirmed a version.
    pub fn unconfirmed(&self, version: Version) -> Vec<VmId> {
        let unconfirmed = self.0.iter().filter(|(_, state)| state.config < version);
        unconfirmed.map(|(vm, _)| vm.clone()).collect()
    }

    /// Configuration version of each live child.
    pub fn versions(&self) -> Vec<(VmId, Version)> {
        let versions = self.0.iter().map(|(vm, state)| (vm.clone(), state.config));
        versions.collect()
    }

    /// Takes note of a beat.
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

    /// Forgets children that have been silent for too long, and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<VmId> {
        let silent = |state: &ChildState| now.saturating_duration_since(state.at) > CHILD_TIMEOUT;
        self.0
            .extract_if(.., |_, state| silent(state))
            .map(|(vm, _)| vm)
            .collect()
    }
}
