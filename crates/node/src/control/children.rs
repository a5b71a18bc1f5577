//! The children that a parent hears from.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbertwheel_core::{Heartbeat, Status, Version, VmId};

use crate::control::state::SERVING_LEASE;

/// Silence after which a child is gone. By then its serving lease has run out.
const CHILD_SILENCE: Duration = Duration::from_secs(SERVING_LEASE.as_secs() + 1);

/// Children by VM, with what was last heard of them.
#[derive(Debug, Default)]
pub(crate) struct Children(BTreeMap<VmId, Heard>);

#[derive(Debug)]
struct Heard {
    at: Instant,
    config: Version,
}

impl Children {
    /// VMs of the live children.
    pub fn names(&self) -> impl Iterator<Item = &VmId> {
        self.0.keys()
    }

    /// The lowest version that a child has confirmed, or that the node itself has.
    pub fn confirmed(&self, own: Version) -> Version {
        let versions = self.0.values().map(|heard| heard.config);
        versions.min().unwrap_or(own).min(own)
    }

    /// Children that haven't confirmed a version.
    pub fn unconfirmed(&self, version: Version) -> Vec<VmId> {
        let late = self.0.iter().filter(|(_, heard)| heard.config < version);
        late.map(|(vm, _)| vm.clone()).collect()
    }

    /// Configuration version of each live child.
    pub fn versions(&self) -> Vec<(VmId, Version)> {
        let versions = self.0.iter().map(|(vm, heard)| (vm.clone(), heard.config));
        versions.collect()
    }

    /// Takes note of a beat.
    pub fn hear(&mut self, beat: &Heartbeat, now: Instant) {
        if beat.member.status == Status::Gone {
            self.0.remove(&beat.member.vm);
            return;
        }
        let heard = Heard {
            at: now,
            config: beat.config,
        };
        self.0.insert(beat.member.vm.clone(), heard);
    }

    /// Forgets children that have been silent for too long, and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<VmId> {
        let silent = |heard: &Heard| now.saturating_duration_since(heard.at) > CHILD_SILENCE;
        self.0
            .extract_if(.., |_, heard| silent(heard))
            .map(|(vm, _)| vm)
            .collect()
    }
}
