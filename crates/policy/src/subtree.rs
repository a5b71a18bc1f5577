//! The members below a node, and the child through which each is connected.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbertwheel_core::{Member, Status, VmId};

/// How long a member may take to attach to another parent after losing its own.
pub const REJOIN_TIMEOUT: Duration = Duration::from_secs(9);

/// Members below a node, and their records that the node's parent has not confirmed yet.
#[derive(Debug, Default)]
pub struct Subtree {
    /// The child that last reported each member.
    reported_by: BTreeMap<VmId, VmId>,
    unsent: BTreeMap<VmId, Member>,
    awaiting_rejoin: BTreeMap<VmId, Instant>,
}

impl Subtree {
    /// Handles a record reported by a child. `known` is the record so far. Returns whether it is
    /// accepted: a member is removed only by the child that last reported it.
    pub fn record(&mut self, child: &VmId, member: &Member, known: Option<&Member>) -> bool {
        let reported_by = self.reported_by.get(&member.vm);
        let moved = reported_by != Some(child);
        if member.status == Status::Gone {
            if reported_by.is_some() && moved {
                return false;
            }
            self.reported_by.remove(&member.vm);
        } else {
            self.reported_by.insert(member.vm.clone(), child.clone());
        }
        self.awaiting_rejoin.remove(&member.vm);
        if moved || known != Some(member) {
            self.unsent.insert(member.vm.clone(), member.clone());
        }
        true
    }

    /// Records that a child is gone. The members below it have to attach to other parents.
    pub fn remove_child(&mut self, child: &VmId, now: Instant) {
        let below = self
            .reported_by
            .iter()
            .filter(|(_, reported_by)| *reported_by == child);
        let orphans: Vec<VmId> = below.map(|(vm, _)| vm.clone()).collect();
        self.await_rejoin(orphans.iter(), now);
    }

    /// Expects the given members to be reported again in time.
    pub fn await_rejoin<'a>(&mut self, members: impl Iterator<Item = &'a VmId>, now: Instant) {
        for vm in members {
            self.awaiting_rejoin.entry(vm.clone()).or_insert(now);
        }
    }

    /// Removes and returns the members that were not reported in time.
    pub fn expire(&mut self, now: Instant) -> Vec<VmId> {
        let late = |at: &Instant| now.saturating_duration_since(*at) > REJOIN_TIMEOUT;
        let gone: Vec<VmId> = self
            .awaiting_rejoin
            .extract_if(.., |_, at| late(at))
            .map(|(vm, _)| vm)
            .collect();
        for vm in &gone {
            self.reported_by.remove(vm);
        }
        gone
    }

    /// Returns the records to send to the parent.
    pub fn report(&self) -> Vec<Member> {
        self.unsent.values().cloned().collect()
    }

    /// Queues a record for the parent.
    pub fn queue_report(&mut self, member: Member) {
        self.unsent.insert(member.vm.clone(), member);
    }

    /// Removes the records that the parent has confirmed.
    pub fn acknowledge(&mut self, members: &[Member]) {
        for member in members {
            if self.unsent.get(&member.vm) == Some(member) {
                self.unsent.remove(&member.vm);
            }
        }
    }

    /// Returns the VMs of all members below, for a new parent.
    pub fn vms(&self) -> impl Iterator<Item = &VmId> {
        self.reported_by.keys()
    }
}
