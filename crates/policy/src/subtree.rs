//! Which members are below a node, and through which child.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbertwheel_core::{Member, Status, VmId};

/// How long a member may take to find another parent once its own is gone.
pub const ORPHAN_TIME: Duration = Duration::from_secs(9);

/// Members below a node, and what the node's parent has yet to learn of them.
#[derive(Debug, Default)]
pub struct Subtree {
    /// The child through which each member was last heard of.
    via: BTreeMap<VmId, VmId>,
    unsent: BTreeMap<VmId, Member>,
    orphans: BTreeMap<VmId, Instant>,
}

impl Subtree {
    /// Takes a record that came through a child. `known` is the record so far. Returns whether it
    /// counts: that a member is gone counts only from where it was heard of last.
    pub fn record(&mut self, child: &VmId, member: &Member, known: Option<&Member>) -> bool {
        let via = self.via.get(&member.vm);
        let moved = via != Some(child);
        if member.status == Status::Gone {
            if via.is_some() && moved {
                return false;
            }
            self.via.remove(&member.vm);
        } else {
            self.via.insert(member.vm.clone(), child.clone());
        }
        self.orphans.remove(&member.vm);
        if moved || known != Some(member) {
            self.unsent.insert(member.vm.clone(), member.clone());
        }
        true
    }

    /// Takes note that a child is gone. The members below it look for other parents.
    pub fn remove_child(&mut self, child: &VmId, now: Instant) {
        let below = self.via.iter().filter(|(_, via)| *via == child);
        let orphans: Vec<VmId> = below.map(|(vm, _)| vm.clone()).collect();
        self.await_rejoin(orphans.iter(), now);
    }

    /// Waits for members to be heard of.
    pub fn await_rejoin<'a>(&mut self, members: impl Iterator<Item = &'a VmId>, now: Instant) {
        for vm in members {
            self.orphans.entry(vm.clone()).or_insert(now);
        }
    }

    /// Members that haven't found a parent in time.
    pub fn expire(&mut self, now: Instant) -> Vec<VmId> {
        let late = |at: &Instant| now.saturating_duration_since(*at) > ORPHAN_TIME;
        let gone: Vec<VmId> = self
            .orphans
            .extract_if(.., |_, at| late(at))
            .map(|(vm, _)| vm)
            .collect();
        for vm in &gone {
            self.via.remove(vm);
        }
        gone
    }

    /// Records for the parent.
    pub fn report(&self) -> Vec<Member> {
        self.unsent.values().cloned().collect()
    }

    /// Adds a record for the parent.
    pub fn queue_report(&mut self, member: Member) {
        self.unsent.insert(member.vm.clone(), member);
    }

    /// Takes note that the parent has records.
    pub fn acknowledge(&mut self, members: &[Member]) {
        for member in members {
            if self.unsent.get(&member.vm) == Some(member) {
                self.unsent.remove(&member.vm);
            }
        }
    }

    /// Names of all the members below, for a new parent.
    pub fn vms(&self) -> impl Iterator<Item = &VmId> {
        self.via.keys()
    }
}
