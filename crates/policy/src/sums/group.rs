//! Groups of nodes, and the order in which nodes aggregate for them.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use filbertwheel_core::{DomainId, VmId, message};

use crate::rendezvous;

/// Number of nodes above which a failure domain is divided into groups.
const MAX_GROUP_NODES: usize = 48;
/// Number of nodes in a group below which the division is undone. The gap between both keeps nodes
/// from changing their group each time that another node joins or leaves.
const MIN_GROUP_NODES: usize = 16;
/// Maximum number of bits that groups are numbered with.
const MAX_BITS: u8 = 12;

/// Group of the nodes of one failure domain.
#[message]
#[derive(Eq, PartialOrd, Ord)]
pub(super) struct GroupId {
    pub domain: DomainId,
    /// Number of bits of the hash of a node's name that are compared; 0 for the whole domain.
    pub bits: u8,
    /// Value of these bits for the nodes of the group.
    pub prefix: u16,
}

impl GroupId {
    /// Returns the group of a whole failure domain.
    pub fn whole(domain: DomainId) -> Self {
        Self {
            domain,
            bits: 0,
            prefix: 0,
        }
    }

    fn contains(&self, vm: &VmId) -> bool {
        prefix(vm, self.bits) == self.prefix
    }
}

/// Connected nodes by failure domain, as one node sees them.
#[derive(Debug, Default)]
pub(super) struct View {
    domains: BTreeMap<DomainId, Vec<VmId>>,
    /// Bits of the groups of this node's domain.
    bits: u8,
    /// Order of the aggregators, kept until the nodes change.
    ranked: BTreeMap<GroupId, Vec<VmId>>,
}

impl View {
    /// Replaces the connected nodes. `domain` is that of this node.
    pub fn set(&mut self, domain: &DomainId, mut domains: BTreeMap<DomainId, Vec<VmId>>) {
        for nodes in domains.values_mut() {
            nodes.sort();
        }
        if domains == self.domains {
            return;
        }
        self.domains = domains;
        self.ranked.clear();
        let count = self.domains.get(domain).map_or(1, Vec::len);
        while self.bits < MAX_BITS && count >> self.bits > MAX_GROUP_NODES {
            self.bits += 1;
        }
        while self.bits > 0 && count >> self.bits < MIN_GROUP_NODES {
            self.bits -= 1;
        }
    }

    /// Returns the failure domains.
    pub fn domains(&self) -> Vec<DomainId> {
        self.domains.keys().cloned().collect()
    }

    /// Returns the smallest group of a node of this node's domain.
    pub fn group_of(&self, domain: &DomainId, vm: &VmId) -> GroupId {
        GroupId {
            domain: domain.clone(),
            bits: self.bits,
            prefix: prefix(vm, self.bits),
        }
    }

    /// Returns the connected nodes of a group in the order in which they aggregate for it.
    pub fn aggregators(&mut self, group: &GroupId) -> &[VmId] {
        let nodes = self.domains.get(&group.domain);
        self.ranked.entry(group.clone()).or_insert_with(|| {
            let nodes = nodes.into_iter().flatten();
            let mut ranked: Vec<VmId> = nodes.filter(|vm| group.contains(vm)).cloned().collect();
            ranked.sort_by_cached_key(|vm| Reverse(weight(vm, group)));
            ranked
        })
    }
}

fn weight(vm: &VmId, group: &GroupId) -> u64 {
    let number = group.prefix.to_be_bytes();
    rendezvous::weight(&[
        vm.as_bytes(),
        group.domain.as_bytes(),
        &[group.bits],
        &number,
    ])
}

fn prefix(vm: &VmId, bits: u8) -> u16 {
    let hash = rendezvous::weight(&[vm.as_bytes()]);
    (hash & ((1 << bits) - 1)) as u16
}
