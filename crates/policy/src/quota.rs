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
const LIFETIME_MARGIN: Duration = Duration::from_secs(1);
/// Part of a rate that the holder keeps for claims. A node's own portion is then well below what
/// it's asked for, so that no token is lost in a full bucket while others are short.
const RESERVE: f64 = 0.5;
/// Tokens that the burst of a portion must hold to be of use. Smaller ones lose tokens whenever
/// requests come unevenly.
const USEFUL_BURST: f64 = 8.0;
/// How long the holder keeps room for a claimed token, which its node spends on arrival or not at
/// all.
const CLAIM_ROOM: Duration = Duration::from_millis(300);
/// Rounding error that's allowed in a sum of portions.
const TOLERANCE: f64 = 1e-6;
/// Weight of the newest interval in a demand that falls.
const FALL_WEIGHT: f64 = 0.1;

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
    own: VmId,
    nodes: BTreeMap<VmId, Held>,
    /// Until when portions of an earlier holder may be in use by nodes that weren't heard yet.
    unknown: Option<Unknown>,
    /// Nodes that may have portions, as a successor will know them.
    recorded: Grantees,
    /// Part of each rate that's left to nodes which the holder can't reach.
    withheld: f64,
}

#[derive(Debug)]
struct Held {
    demands: BTreeMap<OrganisationId, f64>,
    /// The most that the node can hold.
    held: Portions,
    expires: Instant,
}

#[derive(Debug)]
struct Unknown {
    until: Instant,
    /// Nodes that weren't heard yet.
    missing: Grantees,
}

impl PortionLedger {
    /// The record of a holder on VM `own`. The `earlier` nodes may have portions from a holder
    /// that granted nothing after `since`.
    pub fn open(own: VmId, mut earlier: Grantees, since: Instant) -> Self {
        earlier.remove(&own);
        let unknown = (!earlier.is_empty()).then(|| Unknown {
            until: since + PORTION_LIFETIME + LIFETIME_MARGIN,
            missing: earlier.clone(),
        });
        Self {
            own,
            nodes: BTreeMap::new(),
            unknown,
            recorded: earlier,
            withheld: 0.0,
        }
    }

    /// Nodes that have portions or are to have some. A successor must know them before they do.
    pub fn grantees(&self, limits: &BTreeMap<OrganisationId, Rate>) -> Grantees {
        let most = |vm: &VmId, held: &Held| {
            let wanted = limits
                .iter()
                .map(|(name, limit)| self.target(vm, name, *limit).max(held.of(name)));
            wanted.fold(0.0, f64::max)
        };
        let others = self.nodes.iter().filter(|(vm, _)| **vm != self.own);
        let known = others.map(|(vm, held)| (vm.clone(), most(vm, held)));
        let unknown = self
            .unknown
            .iter()
            .flat_map(|unknown| unknown.missing.clone());
        unknown
            .chain(known)
            .filter(|(_, most)| *most > 0.0)
            .collect()
    }

    /// Takes note of the nodes that a successor will know of.
    pub fn record_grantees(&mut self, grantees: Grantees) {
        self.recorded = grantees;
    }

    /// Leaves to the nodes that can't be reached what they may spend without a holder. `nodes` is
    /// the size of the fleet.
    pub fn reserve_emergency(&mut self, unreached: usize, nodes: usize) {
        self.withheld = EMERGENCY_PART * unreached as f64 / nodes.max(1) as f64;
    }

    /// Whether all that's in use is known.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.missing(now) <= 0.0
    }

    /// The most that nodes may hold from an earlier holder which weren't heard yet.
    fn missing(&self, now: Instant) -> f64 {
        let unknown = self.unknown.as_ref().filter(|unknown| now < unknown.until);
        unknown.map_or(0.0, |unknown| unknown.missing.values().sum())
    }

    /// Answers a node.
    pub fn answer(
        &mut self,
        ask: &PortionRequest,
        limits: &BTreeMap<OrganisationId, Rate>,
        now: Instant,
    ) -> PortionGrant {
        self.nodes.retain(|_, held| now < held.expires);
        if let Some(unknown) = &mut self.unknown {
            unknown.missing.remove(&ask.vm);
        }
        let held = Held {
            demands: ask.demands.clone(),
            held: ask.held.clone(),
            expires: now + PORTION_LIFETIME + LIFETIME_MARGIN,
        };
        self.nodes.insert(ask.vm.clone(), held);
        if ask.leaving {
            return PortionGrant {
                number: ask.number,
                portions: Portions::new(),
            };
        }
        let portions = limits
            .iter()
            .map(|(name, limit)| (name.clone(), self.grant(&ask.vm, name, *limit, now)))
            .filter(|(_, portion)| *portion > 0.0)
            .collect();
        PortionGrant {
            number: ask.number,
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
        let bound = if *vm == self.own {
            1.0
        } else {
            self.recorded.get(vm).copied().unwrap_or_default()
        };
        let target = self.target(vm, organisation, limit).min(bound);
        let total: f64 = self.nodes.values().map(|held| held.of(organisation)).sum();
        let free = (1.0 - total - self.missing(now) - self.withheld).max(0.0);
        let Some(node) = self.nodes.get_mut(vm) else {
            return 0.0;
        };
        let held = node.of(organisation);
        let granted = target.min(held + free);
        // A smaller portion counts only once the node has said that it holds no more.
        node.held.insert(organisation.clone(), held.max(granted));
        let given = total - held + held.max(granted);
        invariant!(
            "portions-within-whole",
            given <= total.max(1.0) + TOLERANCE,
            "{organisation} has {given} given out"
        );
        granted
    }

    /// What a node should have in the end. The holder has what the others have no use for.
    fn target(&self, vm: &VmId, organisation: &OrganisationId, limit: Rate) -> f64 {
        let asked = |held: &Held| held.demands.get(organisation).copied().unwrap_or_default();
        let total: f64 = self.nodes.values().map(asked).sum();
        let part = |held: &Held| {
            if total <= 0.0 {
                return 0.0;
            }
            let part = (1.0 - RESERVE) * asked(held) / total;
            if part * limit.burst < USEFUL_BURST {
                0.0
            } else {
                part
            }
        };
        if *vm != self.own {
            return self.nodes.get(vm).map_or(0.0, part);
        }
        let others = self.nodes.iter().filter(|(other, _)| *other != vm);
        let given: f64 = others.map(|(_, held)| part(held)).sum();
        (1.0 - given - self.withheld).max(0.0)
    }
}

impl Held {
    fn of(&self, organisation: &OrganisationId) -> f64 {
        self.held.get(organisation).copied().unwrap_or_default()
    }
}

/// Part of a rate that the nodes may spend together while no holder can be reached. It stays below
/// what operators tolerate beyond a rate where some nodes are cut off from a holder that goes on.
const EMERGENCY_PART: f64 = 0.35;

/// A node's own portions, and what was asked of them.
#[derive(Debug, Default)]
pub struct PortionBuckets {
    accounts: BTreeMap<OrganisationId, Account>,
    emergency: BTreeMap<OrganisationId, TokenBucket>,
    number: u64,
    sent: Option<Instant>,
    measured: Option<Instant>,
}

#[derive(Debug)]
struct Account {
    portion: f64,
    expires: Instant,
    bucket: TokenBucket,
    asked: u64,
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
        account.asked += 1;
        let portion = account.live(now);
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
        let mut share = scaled(limit, EMERGENCY_PART / nodes.max(1) as f64);
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
        self.sent = None;
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
        let portion = account.live(now);
        if portion <= 0.0 {
            return (0, None);
        }
        for paid in 0..count {
            let until = now + CLAIM_ROOM;
            if let Err(wait) = account.bucket.send(scaled(limit, portion), now, until) {
                return (paid, Some(wait));
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
            .measured
            .map_or(1.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.measured = Some(now);
        for name in limits.keys() {
            self.account(name, now).measure(elapsed.max(0.001));
        }
        self.accounts.retain(|name, _| limits.contains_key(name));
        self.number += 1;
        self.sent = Some(now);
        let accounts = self.accounts.iter();
        let demands = accounts
            .clone()
            .map(|(name, one)| (name.clone(), one.demand));
        let held = accounts.map(|(name, one)| (name.clone(), one.live(now)));
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
        let Some(sent) = self.sent.take() else {
            return false;
        };
        for (name, limit) in limits {
            let account = self.account(name, now);
            // What came in so far is counted at the old portion, then cut to the new burst.
            let before = scaled(*limit, account.live(now));
            account.bucket.refill(before, now);
            account.portion = grant.portions.get(name).copied().unwrap_or_default();
            account.expires = sent + PORTION_LIFETIME;
            let after = scaled(*limit, account.portion);
            account.bucket.refill(after, now);
        }
        true
    }

    /// Portion and demand of each organisation.
    pub fn portions(&self, now: Instant) -> Vec<(OrganisationId, f64, f64)> {
        let accounts = self.accounts.iter();
        accounts
            .map(|(name, account)| (name.clone(), account.live(now), account.demand))
            .collect()
    }

    fn account(&mut self, organisation: &OrganisationId, now: Instant) -> &mut Account {
        let opened = || Account {
            portion: 0.0,
            expires: now,
            bucket: TokenBucket::empty(now),
            asked: 0,
            demand: 0.0,
        };
        self.accounts
            .entry(organisation.clone())
            .or_insert_with(opened)
    }
}

impl Account {
    fn live(&self, now: Instant) -> f64 {
        if now < self.expires {
            self.portion
        } else {
            0.0
        }
    }

    /// A rise of the demand counts at once, a fall is smoothed.
    fn measure(&mut self, elapsed: f64) {
        let rate = self.asked as f64 / elapsed;
        self.asked = 0;
        self.demand += (rate - self.demand) * if rate > self.demand { 0.5 } else { FALL_WEIGHT };
    }
}

fn scaled(limit: Rate, portion: f64) -> Rate {
    Rate {
        rate: limit.rate * portion,
        burst: limit.burst * portion,
    }
}
