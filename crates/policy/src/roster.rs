//! The members of the fleet, as known to one node.

use std::collections::BTreeMap;

use filbertwheel_core::{Member, ServiceId, Status, VmId};

/// Members in the order of their latest changes.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    entries: BTreeMap<VmId, Entry>,
    position: u64,
}

#[derive(Debug, Clone)]
struct Entry {
    member: Member,
    position: u64,
}

impl Roster {
    /// Position of the latest change.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Returns all members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    /// Returns one member.
    pub fn member(&self, vm: &VmId) -> Option<&Member> {
        self.entries.get(vm).map(|entry| &entry.member)
    }

    /// Returns the members of a service that accept work.
    pub fn serving<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Member> {
        self.members()
            .filter(|member| member.status == Status::Serving)
            .filter(move |member| member.service.as_ref() == Some(service))
    }

    /// Returns the members that changed after `position`.
    pub fn since(&self, position: u64) -> Vec<Member> {
        self.entries
            .values()
            .filter(|entry| entry.position > position)
            .map(|entry| entry.member.clone())
            .collect()
    }

    /// Returns whether a record differs from the known one and is not of an earlier run.
    pub fn is_newer(&self, member: &Member) -> bool {
        let known = self.member(&member.vm);
        known.is_none_or(|known| member.incarnation >= known.incarnation && member != known)
    }

    /// Merges a record unless a later run is known. Returns whether anything changed.
    pub fn merge(&mut self, member: Member) -> bool {
        if !self.is_newer(&member) {
            return false;
        }
        self.position += 1;
        let entry = Entry {
            position: self.position,
            member,
        };
        self.entries.insert(entry.member.vm.clone(), entry);
        true
    }
}
