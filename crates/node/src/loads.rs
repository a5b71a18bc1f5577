//! What this node knows of other nodes' loads.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use filbertwheel_core::{DomainId, Member, VmId};
use filbertwheel_policy::Candidate;

/// The loads of the nodes that this one forwards to.
#[derive(Debug, Default)]
pub(crate) struct Loads(Mutex<HashMap<VmId, Load>>);

#[derive(Debug, Default, Clone, Copy)]
struct Load {
    wait_us: u64,
    pending: u32,
}

impl Loads {
    /// What's known of each member, for the choice between them.
    pub fn candidates<'a>(
        &self,
        members: impl IntoIterator<Item = &'a Member>,
        domain: &DomainId,
    ) -> Vec<Candidate> {
        let loads = self.lock();
        let candidate = |member: &Member| {
            let load = loads.get(&member.vm).copied().unwrap_or_default();
            Candidate {
                wait_us: load.wait_us,
                pending: load.pending,
                near: member.domain == *domain,
            }
        };
        members.into_iter().map(candidate).collect()
    }

    /// Takes note of how long a new call would wait at a node.
    pub fn note_wait(&self, vm: &VmId, wait_us: u64) {
        self.lock().entry(vm.clone()).or_default().wait_us = wait_us;
    }

    /// Counts a forwarded call as pending while the result lives.
    pub fn pending<'a>(&'a self, vm: &'a VmId) -> Pending<'a> {
        self.lock().entry(vm.clone()).or_default().pending += 1;
        Pending { loads: self, vm }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<VmId, Load>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A forwarded call that hasn't ended.
#[derive(Debug)]
pub(crate) struct Pending<'a> {
    loads: &'a Loads,
    vm: &'a VmId,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if let Some(load) = self.loads.lock().get_mut(self.vm) {
            load.pending = load.pending.saturating_sub(1);
        }
    }
}
