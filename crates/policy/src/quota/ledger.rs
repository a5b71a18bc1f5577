//! The lease holder's record of lent portions.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use filbertwheel_core::{OrganisationId, Rate, VmId, invariant};

use super::{
    EMERGENCY_FRACTION, PORTION_LIFETIME, PortionGrant, PortionRequest, Portions, RateLimits,
    StoredGrants, portion_for,
};

/// Additional time that the lease holder waits, for clocks that run at different rates.
const CLOCK_DRIFT_MARGIN: Duration = Duration::from_secs(1);
/// Rounding error allowed in a sum of portions.
const PORTION_TOLERANCE: f64 = 1e-6;
/// Maximum number of nodes with portions at a time. It bounds the row that is stored for a
/// successor; the other nodes claim their tokens.
const MAX_GRANTEES: usize = 256;

/// Lease holder's record of the portions lent to all nodes.
///
/// The sums over the nodes are kept up to date with each request, so that the cost of a request
/// depends on the number of organisations only.
#[derive(Debug)]
pub struct PortionLedger {
    own_vm: VmId,
    /// When the record of each node expires.
    nodes: BTreeMap<VmId, Instant>,
    /// Time before which no record expires.
    next_expiry: Option<Instant>,
    organisations: BTreeMap<OrganisationId, LentPortions>,
    /// Portions granted by an earlier lease holder, which nodes that haven't sent a request to this
    /// one may still be using.
    earlier_grants: Option<EarlierGrants>,
    /// Grants as stored for a successor.
    stored: StoredGrants,
    /// Fraction of each rate that is reserved for unreachable nodes.
    emergency_reserve: f64,
}

/// Portions of one organisation's limit.
#[derive(Debug, Default)]
struct LentPortions {
    /// Sum of the demand of all nodes, in calls per second.
    demand: f64,
    /// Sum of the portions that all nodes may be using.
    held: f64,
    /// Nodes with a demand or a portion.
    nodes: BTreeMap<VmId, NodePortion>,
}

#[derive(Debug, Clone, Copy, Default)]
struct NodePortion {
    demand: f64,
    /// Largest portion that the node may be using.
    held: f64,
}

#[derive(Debug)]
struct EarlierGrants {
    until: Instant,
    /// Nodes that haven't sent a request yet, each with its largest portion.
    nodes: BTreeMap<VmId, f64>,
    /// Portions that these nodes may have together, by organisation; `None` if unknown.
    lent: Option<Portions>,
}

/// State of a ledger, for logs and metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LedgerSummary {
    /// Nodes that have sent a request within the lifetime of a portion.
    pub nodes: usize,
    /// Organisations of which a part is lent to other nodes.
    pub lent_organisations: usize,
    /// Largest fraction of a limit that is lent to other nodes.
    pub max_lent: f64,
    /// Largest fraction of a limit that is withheld because an earlier lease holder may have lent
    /// it.
    pub max_unconfirmed: f64,
    /// Fraction of every limit that is withheld for unreachable nodes.
    pub emergency_reserve: f64,
}

impl PortionLedger {
    /// Creates the ledger of a lease holder on VM `own_vm`. The nodes in `earlier` may have
    /// portions from an earlier lease holder that granted nothing after `since`.
    pub fn open(own_vm: VmId, mut earlier: StoredGrants, since: Instant) -> Self {
        earlier.nodes.remove(&own_vm);
        // The row may come from another writer.
        let portions = earlier.nodes.values_mut();
        for portion in portions.chain(earlier.lent.iter_mut().flat_map(BTreeMap::values_mut)) {
            *portion = portion.clamp(0.0, 1.0);
        }
        let earlier_grants = (!earlier.nodes.is_empty()).then(|| EarlierGrants {
            until: since + PORTION_LIFETIME + CLOCK_DRIFT_MARGIN,
            nodes: earlier.nodes.clone(),
            lent: earlier.lent.clone(),
        });
        Self {
            own_vm,
            nodes: BTreeMap::new(),
            next_expiry: None,
            organisations: BTreeMap::new(),
            earlier_grants,
            stored: earlier,
            emergency_reserve: 0.0,
        }
    }

    /// Returns the portions that other nodes have or are due to get. They must be stored for a
    /// successor before they are granted.
    pub fn grants_to_store(&self, limits: &RateLimits, now: Instant) -> StoredGrants {
        let mut wanted: BTreeMap<&OrganisationId, BTreeMap<&VmId, f64>> = BTreeMap::new();
        let mut nodes: BTreeMap<&VmId, (bool, f64)> = BTreeMap::new();
        for (name, limit) in limits {
            let Some(lent) = self.organisations.get(name) else {
                continue;
            };
            let others = lent.nodes.iter().filter(|(vm, _)| **vm != self.own_vm);
            for (vm, node) in others {
                let portion = portion_for(node.demand, lent.demand, *limit).max(node.held);
                if portion > 0.0 {
                    wanted.entry(name).or_default().insert(vm, portion);
                    let (holding, largest) = nodes.entry(vm).or_default();
                    *holding |= node.held > 0.0;
                    *largest = largest.max(portion);
                }
            }
        }
        let kept = largest_grantees(&nodes);
        let mut grants = StoredGrants {
            nodes: kept.iter().map(|vm| ((*vm).clone(), nodes[vm].1)).collect(),
            lent: None,
        };
        let mut lent: Portions = wanted
            .into_iter()
            .map(|(name, portions)| {
                let portions = portions.into_iter().filter(|(vm, _)| kept.contains(vm));
                (name.clone(), portions.map(|(_, portion)| portion).sum())
            })
            .collect();
        let earlier = self.earlier_grants.iter().filter(|one| now < one.until);
        for earlier_grants in earlier {
            grants.nodes.extend(earlier_grants.nodes.clone());
            for name in limits.keys() {
                *lent.entry(name.clone()).or_default() += earlier_grants.unconfirmed(name);
            }
        }
        lent.retain(|_, portion| *portion > 0.0);
        grants.lent = Some(lent);
        grants
    }

    /// Limits further grants to those that are stored both before and after `stored` is written,
    /// since the outcome of the write is unknown until it has ended.
    pub fn begin_store(&mut self, stored: &StoredGrants) {
        for lent in self.organisations.values_mut() {
            lent.recount();
        }
        self.stored
            .nodes
            .retain(|vm, _| stored.nodes.contains_key(vm));
        for (vm, largest) in &mut self.stored.nodes {
            *largest = largest.min(stored.nodes[vm]);
        }
        let Some(after) = &stored.lent else { return };
        let before = self.stored.lent.get_or_insert_with(|| after.clone());
        for (name, portion) in before {
            *portion = portion.min(after.get(name).copied().unwrap_or_default());
        }
    }

    /// Records the grants that are now stored for a successor.
    pub fn record_stored(&mut self, stored: StoredGrants) {
        self.stored = stored;
    }

    /// Reserves the tokens that unreachable nodes may spend without a lease holder. `nodes` is the
    /// size of the fleet.
    pub fn reserve_emergency(&mut self, unreachable: usize, nodes: usize) {
        self.emergency_reserve = EMERGENCY_FRACTION * unreachable as f64 / nodes.max(1) as f64;
    }

    /// Returns whether all portions that may be in use are known.
    pub fn all_portions_known(&self, now: Instant) -> bool {
        let earlier = self.earlier_grants.as_ref();
        earlier.is_none_or(|grants| now >= grants.until || grants.nodes.is_empty())
    }

    /// Returns the state of the ledger.
    pub fn summary(&self, now: Instant) -> LedgerSummary {
        let lent = self.organisations.values().map(|one| {
            let own = one.nodes.get(&self.own_vm).map_or(0.0, |node| node.held);
            one.held - own
        });
        let lent: Vec<f64> = lent.filter(|one| *one > PORTION_TOLERANCE).collect();
        let unconfirmed = self.organisations.keys();
        let unconfirmed = unconfirmed.map(|name| self.unconfirmed(name, now));
        LedgerSummary {
            nodes: self.nodes.len(),
            lent_organisations: lent.len(),
            max_lent: lent.into_iter().fold(0.0, f64::max),
            max_unconfirmed: unconfirmed.fold(0.0, f64::max),
            emergency_reserve: self.emergency_reserve,
        }
    }

    /// Handles a portion request and returns the grant for it.
    pub fn handle_request(
        &mut self,
        request: &PortionRequest,
        limits: &RateLimits,
        now: Instant,
    ) -> PortionGrant {
        self.drop_expired(now);
        if let Some(earlier_grants) = &mut self.earlier_grants {
            earlier_grants.confirm(request);
        }
        self.record(request, now);
        let mut portions = Portions::new();
        if !request.leaving {
            for (name, limit) in limits {
                let portion = self.grant(&request.vm, name, *limit, now);
                if portion > 0.0 {
                    portions.insert(name.clone(), portion);
                }
            }
        }
        PortionGrant {
            number: request.number,
            portions,
        }
    }

    /// Records the demands and the portions that a node has stated.
    fn record(&mut self, request: &PortionRequest, now: Instant) {
        self.forget(&request.vm);
        let expires = now + PORTION_LIFETIME + CLOCK_DRIFT_MARGIN;
        self.nodes.insert(request.vm.clone(), expires);
        self.next_expiry.get_or_insert(expires);
        for (name, demand) in &request.demands {
            let lent = self.organisations.entry(name.clone()).or_default();
            lent.update(&request.vm, |node| node.demand = demand.max(0.0));
        }
        for (name, held) in &request.held {
            let lent = self.organisations.entry(name.clone()).or_default();
            lent.update(&request.vm, |node| node.held = held.max(0.0));
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        if self.next_expiry.is_none_or(|at| now < at) {
            return;
        }
        let expired = self.nodes.iter().filter(|(_, expires)| now >= **expires);
        let expired: Vec<VmId> = expired.map(|(vm, _)| vm.clone()).collect();
        for vm in expired {
            self.nodes.remove(&vm);
            self.forget(&vm);
        }
        self.next_expiry = self.nodes.values().min().copied();
    }

    /// Removes what is recorded of a node from all organisations.
    fn forget(&mut self, vm: &VmId) {
        for lent in self.organisations.values_mut() {
            lent.remove(vm);
        }
        self.organisations.retain(|_, lent| !lent.nodes.is_empty());
    }

    /// Returns the portion of an organisation's limit that a node gets, after recording it as held.
    fn grant(
        &mut self,
        vm: &VmId,
        organisation: &OrganisationId,
        limit: Rate,
        now: Instant,
    ) -> f64 {
        let target = if *vm == self.own_vm {
            self.holder_target(organisation, limit)
        } else {
            self.node_target(vm, organisation, limit)
        };
        let withheld = self.unconfirmed(organisation, now) + self.emergency_reserve;
        if target <= 0.0 && !self.organisations.contains_key(organisation) {
            return 0.0;
        }
        let lent = self.organisations.entry(organisation.clone()).or_default();
        let free = (1.0 - lent.held - withheld).max(0.0);
        let held = lent.nodes.get(vm).map_or(0.0, |node| node.held);
        let granted = target.min(held + free);
        let before = lent.held;
        // A smaller portion counts only once the node has confirmed it in its next request.
        if granted > held {
            lent.update(vm, |node| node.held = granted);
        }
        invariant!(
            "portions-within-whole",
            lent.held <= before.max(1.0) + PORTION_TOLERANCE,
            "portions of {organisation} add up to {}",
            lent.held
        );
        granted
    }

    /// Returns the portion that another node should have, as far as it is stored for a successor.
    fn node_target(&self, vm: &VmId, organisation: &OrganisationId, limit: Rate) -> f64 {
        let Some(lent) = self.organisations.get(organisation) else {
            return 0.0;
        };
        let Some(node) = lent.nodes.get(vm) else {
            return 0.0;
        };
        let bound = self.stored.nodes.get(vm).copied().unwrap_or_default();
        let stored = self.stored.lent.as_ref();
        let stored = stored.map_or(1.0, |lent| lent.get(organisation).copied().unwrap_or(0.0));
        let own = lent.nodes.get(&self.own_vm).map_or(0.0, |node| node.held);
        let others = lent.held - own - node.held;
        portion_for(node.demand, lent.demand, limit)
            .min(bound)
            .min((stored - others).max(0.0))
    }

    /// Returns the portion that the lease holder itself should have: what the others should not.
    fn holder_target(&self, organisation: &OrganisationId, limit: Rate) -> f64 {
        let lent = self.organisations.get(organisation);
        let wanted = lent.map_or(0.0, |lent| {
            let others = lent.nodes.iter().filter(|(vm, _)| **vm != self.own_vm);
            others
                .map(|(_, node)| portion_for(node.demand, lent.demand, limit))
                .sum()
        });
        (1.0 - wanted - self.emergency_reserve).max(0.0)
    }

    /// Returns the portion of an organisation that nodes without a request may still use, granted by
    /// an earlier lease holder.
    fn unconfirmed(&self, organisation: &OrganisationId, now: Instant) -> f64 {
        let earlier = self.earlier_grants.as_ref().filter(|one| now < one.until);
        earlier.map_or(0.0, |grants| grants.unconfirmed(organisation))
    }
}

impl LentPortions {
    /// Changes the record of a node and with it the sums.
    fn update(&mut self, vm: &VmId, change: impl FnOnce(&mut NodePortion)) {
        let node = self.nodes.entry(vm.clone()).or_default();
        let before = *node;
        change(node);
        self.demand += node.demand - before.demand;
        self.held += node.held - before.held;
    }

    fn remove(&mut self, vm: &VmId) {
        if let Some(node) = self.nodes.remove(vm) {
            self.demand -= node.demand;
            self.held -= node.held;
        }
    }

    /// Sums all nodes anew, so that rounding errors don't accumulate.
    fn recount(&mut self) {
        self.demand = self.nodes.values().map(|node| node.demand).sum();
        self.held = self.nodes.values().map(|node| node.held).sum();
    }
}

impl EarlierGrants {
    /// Records that a node has stated which portions it still holds.
    fn confirm(&mut self, request: &PortionRequest) {
        if self.nodes.remove(&request.vm).is_none() {
            return;
        }
        for (name, portion) in self.lent.iter_mut().flatten() {
            let held = request.held.get(name).copied().unwrap_or_default();
            *portion = (*portion - held.max(0.0)).max(0.0);
        }
    }

    fn unconfirmed(&self, organisation: &OrganisationId) -> f64 {
        let by_nodes: f64 = self.nodes.values().sum();
        let lent = self.lent.as_ref();
        let lent = lent.map_or(1.0, |lent| lent.get(organisation).copied().unwrap_or(0.0));
        by_nodes.min(lent)
    }
}

/// Returns up to `MAX_GRANTEES` nodes: first those that hold a portion, then those with the largest
/// ones.
fn largest_grantees<'a>(nodes: &BTreeMap<&'a VmId, (bool, f64)>) -> BTreeSet<&'a VmId> {
    let mut ordered: Vec<(&'a VmId, (bool, f64))> =
        nodes.iter().map(|(vm, node)| (*vm, *node)).collect();
    ordered.sort_by(|(_, one), (_, other)| {
        let by_size = other.1.total_cmp(&one.1);
        Reverse(one.0).cmp(&Reverse(other.0)).then(by_size)
    });
    let holding = ordered.iter().filter(|(_, (holds, _))| *holds).count();
    let kept = ordered.into_iter().take(MAX_GRANTEES.max(holding));
    kept.map(|(vm, _)| vm).collect()
}
