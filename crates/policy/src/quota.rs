//! Organisations' rates over the fleet, divided into portions.
//!
//! One node at a time, the holder of a lease, records which portion of each organisation's rate and
//! burst every node may have. A node spends from buckets of its own portions and needs nobody for
//! it. Portions end by themselves, so that a node that's cut off stops spending in the end.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbertwheel_core::{OrganisationId, Rate, VmId, invariant, message};

use crate::{TokenBucket, TokenReceipt};

/// How long a portion may be used, counted by its node from when it asked for it.
pub const PORTION_LIFETIME: Duration = Duration::from_secs(10);
/// What the holder waits beyond that, for clocks that run unevenly.
const CLOCK_DRIFT_MARGIN: Duration = Duration::from_secs(1);
/// Part of a rate that the holder keeps for claims. A node's own portion is then well below what
/// it's asked for, so that no token is lost in a full bucket while others are short.
const CLAIM_RESERVE_FRACTION: f64 = 0.5;
/// Tokens that the burst of a portion must hold to be of use. Smaller ones lose tokens whenever
/// requests come unevenly.
const MIN_BURST_TOKENS: f64 = 8.0;
/// How long the holder keeps room for a claimed token, which its node spends on arrival or not at
/// all.
const CLAIM_TRANSIT_TIME: Duration = Duration::from_millis(300);
/// Rounding error that's allowed in a sum of portions.
const PORTION_TOLERANCE: f64 = 1e-6;
/// Weight of the newest interval in a demand that falls.
const FALLING_DEMAND_WEIGHT: f64 = 0.1;

/// A portion of each organisation's rate and burst, from 0 to 1.
pub type Portions = BTreeMap<OrganisationId, f64>;

/// Nodes that may have portions, each with the largest that it may have of any organisation.
pub type Grantees = BTreeMap<VmId, f64>;

/// What a node asks of the holder.
#[message]
pub struct PortionRequest {
    /// The node.
    pub vm: VmId,
    /// Number of the ask within the run. Only the answer to the latest one counts.
    pub number: u64,
    /// Calls a second that were asked for, by organisation.
    pub demands: BTreeMap<OrganisationId, f64>,
    /// What the node may be spending until this ask is answered.
    pub held: Portions,
    /// Whether the node is leaving and wants nothing any more.
    pub leaving: bool,
}

/// What the holder answers.
#[message]
pub struct PortionGrant {
    /// Number of the ask that's answered.
    pub number: u64,
    /// What the node may spend from now on, in place of all earlier portions.
    pub portions: Portions,
}

/// The holder's record.
#[derive(Debug)]
pub struct PortionLedger {
    own_vm: VmId,
    nodes: BTreeMap<VmId, NodePortions>,
    /// Until when portions of an earlier holder may be in use by nodes that weren't heard yet.
    earlier_grants: Option<EarlierGrants>,
    /// Nodes that may have portions, as a successor will know them.
    stored_grantees: Grantees,
    /// Part of each rate that's left to nodes which the holder can't reach.
    emergency_reserve: f64,
}

#[derive(Debug)]
struct NodePortions {
    demands: BTreeMap<OrganisationId, f64>,
    /// The most that the node can hold.
    held: Portions,
    expires: Instant,
}

#[derive(Debug)]
struct EarlierGrants {
    until: Instant,
    /// Nodes that weren't heard yet.
    unconfirmed: Grantees,
}

impl PortionLedger {
    /// The record of a holder on VM `own`. The `earlier` nodes may have portions from a holder
    /// that granted nothing after `since`.
    pub fn open(own_vm: VmId, mut earlier: Grantees, since: Instant) -> Self {
        earlier.remove(&own_vm);
        let earlier_grants = (!earlier.is_empty()).then(|| EarlierGrants {
            until: since + PORTION_LIFETIME + CLOCK_DRIFT_MARGIN,
            unconfirmed: earlier.clone(),
        });
        Self {
            own_vm,
            nodes: BTreeMap::new(),
            earlier_grants,
            stored_grantees: earlier,
            emergency_reserve: 0.0,
        }
    }

    /// Nodes that have portions or are to have some. A successor must know them before they do.
    pub fn grantees(&self, limits: &BTreeMap<OrganisationId, Rate>) -> Grantees {
        let largest = |vm: &VmId, held: &NodePortions| {
            let wanted = limits
                .iter()
                .map(|(name, limit)| self.target(vm, name, *limit).max(held.of(name)));
            wanted.fold(0.0, f64::max)
        };
        let others = self.nodes.iter().filter(|(vm, _)| **vm != self.own_vm);
        let known = others.map(|(vm, held)| (vm.clone(), largest(vm, held)));
        let earlier_grants = self
            .earlier_grants
            .iter()
            .flat_map(|grants| grants.unconfirmed.clone());
        earlier_grants
            .chain(known)
            .filter(|(_, largest)| *largest > 0.0)
            .collect()
    }

    /// Takes note of the nodes that a successor will know of.
    pub fn record_grantees(&mut self, grantees: Grantees) {
        self.stored_grantees = grantees;
    }

    /// Leaves to the nodes that can't be reached what they may spend without a holder. `nodes` is
    /// the size of the fleet.
    pub fn reserve_emergency(&mut self, unreachable: usize, nodes: usize) {
        self.emergency_reserve = EMERGENCY_FRACTION * unreachable as f64 / nodes.max(1) as f64;
    }

    /// Whether all that's in use is known.
    pub fn all_portions_known(&self, now: Instant) -> bool {
        self.unconfirmed(now) <= 0.0
    }

    /// The most that nodes may hold from an earlier holder which weren't heard yet.
    fn unconfirmed(&self, now: Instant) -> f64 {
        let earlier_grants = self
            .earlier_grants
            .as_ref()
            .filter(|grants| now < grants.until);
        earlier_grants.map_or(0.0, |grants| grants.unconfirmed.values().sum())
    }

    /// Answers a node.
    pub fn answer(
        &mut self,
        request: &PortionRequest,
        limits: &BTreeMap<OrganisationId, Rate>,
        now: Instant,
    ) -> PortionGrant {
        self.nodes.retain(|_, held| now < held.expires);
        if let Some(earlier_grants) = &mut self.earlier_grants {
            earlier_grants.unconfirmed.remove(&request.vm);
        }
        let held = NodePortions {
            demands: request.demands.clone(),
            held: request.held.clone(),
            expires: now + PORTION_LIFETIME + CLOCK_DRIFT_MARGIN,
        };
        self.nodes.insert(request.vm.clone(), held);
        if request.leaving {
            return PortionGrant {
                number: request.number,
                portions: Portions::new(),
            };
        }
        let portions = limits
            .iter()
            .map(|(name, limit)| (name.clone(), self.grant(&request.vm, name, *limit, now)))
            .filter(|(_, portion)| *portion > 0.0)
            .collect();
        PortionGrant {
            number: request.number,
            portions,
        }
    }

    /// What a node gets of an organisation, which is recorded as held.
    fn grant(
        &mut self,
        vm: &VmId,
        organisation: &OrganisationId,
        limit: Rate,
        now: Instant,
    ) -> f64 {
        let bound = if *vm == self.own_vm {
            1.0
        } else {
            self.stored_grantees.get(vm).copied().unwrap_or_default()
        };
        let target = self.target(vm, organisation, limit).min(bound);
        let total: f64 = self.nodes.values().map(|held| held.of(organisation)).sum();
        let free = (1.0 - total - self.unconfirmed(now) - self.emergency_reserve).max(0.0);
        let Some(node) = self.nodes.get_mut(vm) else {
            return 0.0;
        };
        let held = node.of(organisation);
        let granted = target.min(held + free);
        // A smaller portion counts only once the node has said that it holds no more.
        node.held.insert(organisation.clone(), held.max(granted));
        let total_held = total - held + held.max(granted);
        invariant!(
            "portions-within-whole",
            total_held <= total.max(1.0) + PORTION_TOLERANCE,
            "portions of {organisation} add up to {total_held}"
        );
        granted
    }

    /// What a node should have in the end. The holder has what the others have no use for.
    fn target(&self, vm: &VmId, organisation: &OrganisationId, limit: Rate) -> f64 {
        let demand =
            |held: &NodePortions| held.demands.get(organisation).copied().unwrap_or_default();
        let total: f64 = self.nodes.values().map(demand).sum();
        let part = |held: &NodePortions| {
            if total <= 0.0 {
                return 0.0;
            }
            let part = (1.0 - CLAIM_RESERVE_FRACTION) * demand(held) / total;
            if part * limit.burst < MIN_BURST_TOKENS {
                0.0
            } else {
                part
            }
        };
        if *vm != self.own_vm {
            return self.nodes.get(vm).map_or(0.0, part);
        }
        let others = self.nodes.iter().filter(|(other, _)| *other != vm);
        let lent: f64 = others.map(|(_, held)| part(held)).sum();
        (1.0 - lent - self.emergency_reserve).max(0.0)
    }
}

impl NodePortions {
    fn of(&self, organisation: &OrganisationId) -> f64 {
        self.held.get(organisation).copied().unwrap_or_default()
    }
}

/// Part of a rate that the nodes may spend together while no holder can be reached. It stays below
/// what operators tolerate beyond a rate where some nodes are cut off from a holder that goes on.
const EMERGENCY_FRACTION: f64 = 0.35;

/// A node's own portions, and what was asked of them.
#[derive(Debug, Default)]
pub struct PortionBuckets {
    accounts: BTreeMap<OrganisationId, Account>,
    emergency: BTreeMap<OrganisationId, TokenBucket>,
    number: u64,
    request_sent: Option<Instant>,
    demand_updated: Option<Instant>,
}

#[derive(Debug)]
struct Account {
    portion: f64,
    expires: Instant,
    bucket: TokenBucket,
    requests: u64,
    demand: f64,
}

impl PortionBuckets {
    /// Spends one token of an organisation, or says how long it takes until there is one.
    pub fn charge(
        &mut self,
        organisation: &OrganisationId,
        limit: Rate,
        now: Instant,
    ) -> Result<TokenReceipt, Option<Duration>> {
        let account = self.account(organisation, now);
        account.requests += 1;
        let portion = account.portion_at(now);
        if portion <= 0.0 {
            account.bucket.drain(now);
            return Err(None);
        }
        account
            .bucket
            .take(scaled(limit, portion), now)
            .map_err(Some)
    }

    /// Lets what's kept for the time without a holder come in, so that it's there when it's needed.
    pub fn fill_emergency(&mut self, limits: &BTreeMap<OrganisationId, Rate>, now: Instant) {
        self.emergency.retain(|name, _| limits.contains_key(name));
        for name in limits.keys() {
            let bucket = self.emergency.entry(name.clone());
            bucket.or_insert_with(|| TokenBucket::empty(now));
        }
    }

    /// Spends one token of what's kept for the time without a holder. `nodes` is the size of the
    /// fleet.
    pub fn charge_emergency(
        &mut self,
        organisation: &OrganisationId,
        limit: Rate,
        nodes: usize,
        now: Instant,
    ) -> Result<(), Duration> {
        let mut share = scaled(limit, EMERGENCY_FRACTION / nodes.max(1) as f64);
        // A bucket that holds no whole token would never give one.
        share.burst = share.burst.max(1.0);
        let bucket = self.emergency.entry(organisation.clone());
        let bucket = bucket.or_insert_with(|| TokenBucket::empty(now));
        bucket.take(share, now).map(|_| ())
    }

    /// Gives up all portions at once.
    pub fn clear(&mut self) {
        for account in self.accounts.values_mut() {
            account.portion = 0.0;
        }
        self.request_sent = None;
    }

    /// Spends up to `count` tokens for another node's claim. Returns how many were spent, and how
    /// long it takes until there is another.
    pub fn grant_tokens(
        &mut self,
        organisation: &OrganisationId,
        limit: Rate,
        count: u32,
        now: Instant,
    ) -> (u32, Option<Duration>) {
        let account = self.account(organisation, now);
        let portion = account.portion_at(now);
        if portion <= 0.0 {
            return (0, None);
        }
        for granted in 0..count {
            let until = now + CLAIM_TRANSIT_TIME;
            if let Err(wait) = account.bucket.send(scaled(limit, portion), now, until) {
                return (granted, Some(wait));
            }
        }
        (count, None)
    }

    /// Gives back the token of a request that didn't run.
    pub fn refund(&mut self, organisation: &OrganisationId, receipt: TokenReceipt) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.bucket.refund(receipt);
        }
    }

    /// The next ask. `limits` are those of the organisations that have one.
    pub fn next_request(
        &mut self,
        vm: &VmId,
        limits: &BTreeMap<OrganisationId, Rate>,
        leaving: bool,
        now: Instant,
    ) -> PortionRequest {
        let elapsed = self
            .demand_updated
            .map_or(1.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.demand_updated = Some(now);
        for name in limits.keys() {
            self.account(name, now).update_demand(elapsed.max(0.001));
        }
        self.accounts.retain(|name, _| limits.contains_key(name));
        self.number += 1;
        self.request_sent = Some(now);
        let accounts = self.accounts.iter();
        let demands = accounts
            .clone()
            .map(|(name, one)| (name.clone(), one.demand));
        let held = accounts.map(|(name, one)| (name.clone(), one.portion_at(now)));
        PortionRequest {
            vm: vm.clone(),
            number: self.number,
            demands: demands.collect(),
            held: held.collect(),
            leaving,
        }
    }

    /// Takes over the answer to the latest ask.
    pub fn set_portions(
        &mut self,
        grant: &PortionGrant,
        limits: &BTreeMap<OrganisationId, Rate>,
        now: Instant,
    ) -> bool {
        if grant.number != self.number {
            return false;
        }
        let Some(request_sent) = self.request_sent.take() else {
            return false;
        };
        for (name, limit) in limits {
            let account = self.account(name, now);
            // What came in so far is counted at the old portion, then cut to the new burst.
            let before = scaled(*limit, account.portion_at(now));
            account.bucket.refill(before, now);
            account.portion = grant.portions.get(name).copied().unwrap_or_default();
            account.expires = request_sent + PORTION_LIFETIME;
            let after = scaled(*limit, account.portion);
            account.bucket.refill(after, now);
        }
        true
    }

    /// Portion and demand of each organisation.
    pub fn portions(&self, now: Instant) -> Vec<(OrganisationId, f64, f64)> {
        let accounts = self.accounts.iter();
        accounts
            .map(|(name, account)| (name.clone(), account.portion_at(now), account.demand))
            .collect()
    }

    fn account(&mut self, organisation: &OrganisationId, now: Instant) -> &mut Account {
        let new_account = || Account {
            portion: 0.0,
            expires: now,
            bucket: TokenBucket::empty(now),
            requests: 0,
            demand: 0.0,
        };
        self.accounts
            .entry(organisation.clone())
            .or_insert_with(new_account)
    }
}

impl Account {
    fn portion_at(&self, now: Instant) -> f64 {
        if now < self.expires {
            self.portion
        } else {
            0.0
        }
    }

    /// A rise of the demand counts at once, a fall is smoothed.
    fn update_demand(&mut self, elapsed: f64) {
        let rate = self.requests as f64 / elapsed;
        self.requests = 0;
        self.demand += (rate - self.demand)
            * if rate > self.demand {
                0.5
            } else {
                FALLING_DEMAND_WEIGHT
            };
    }
}

fn scaled(limit: Rate, portion: f64) -> Rate {
    Rate {
        rate: limit.rate * portion,
        burst: limit.burst * portion,
    }
}
