//! Fleet-wide rate limits of organisations, divided into portions.
//!
//! The lease holder, one node at a time, records which portion of each organisation's rate and
//! burst is lent to every node. A node spends tokens from the buckets of its own portions without
//! contacting other nodes. Portions expire, so that a partitioned node eventually stops spending.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbertwheel_core::{OrganisationId, Rate, VmId, invariant, message};

use crate::{TokenBucket, TokenReceipt};

/// Lifetime of a portion, measured by its node from when it sent the request for it.
pub const PORTION_LIFETIME: Duration = Duration::from_secs(10);
/// Additional time that the lease holder waits, for clocks that run at different rates.
const CLOCK_DRIFT_MARGIN: Duration = Duration::from_secs(1);
/// Fraction of a rate that the lease holder keeps for claims. The portion of a node is then well
/// below its demand, so that no token is lost in a full bucket while other nodes lack tokens.
const CLAIM_RESERVE_FRACTION: f64 = 0.5;
/// Minimum burst of a portion in tokens. Smaller buckets overflow whenever requests arrive
/// unevenly.
const MIN_BURST_TOKENS: f64 = 8.0;
/// How long a claimed token occupies room in the lease holder's bucket. Its node spends it on
/// arrival or not at all.
const CLAIM_RESERVATION: Duration = Duration::from_millis(300);
/// Rounding error allowed in a sum of portions.
const PORTION_TOLERANCE: f64 = 1e-6;
/// Weight of the newest interval in a falling demand.
const DEMAND_FALL_WEIGHT: f64 = 0.1;

/// Portion of each organisation's rate and burst, as a fraction from 0 to 1.
pub type Portions = BTreeMap<OrganisationId, f64>;

/// Nodes that may have portions, each with the largest portion that it may have of any
/// organisation.
pub type Grantees = BTreeMap<VmId, f64>;

/// Request of a node for new portions from the lease holder.
#[message]
pub struct PortionRequest {
    /// VM of the node.
    pub vm: VmId,
    /// Sequence number within the run of the node. Only the grant for the latest one is applied.
    pub number: u64,
    /// Demand by organisation, in calls per second.
    pub demands: BTreeMap<OrganisationId, f64>,
    /// Portions that the node may use until it receives the grant.
    pub held: Portions,
    /// Whether the node is shutting down and needs no more portions.
    pub leaving: bool,
}

/// Response of the lease holder to a portion request.
#[message]
pub struct PortionGrant {
    /// Sequence number of the request.
    pub number: u64,
    /// Portions of the node, which replace all earlier ones.
    pub portions: Portions,
}

/// Lease holder's record of the portions lent to all nodes.
#[derive(Debug)]
pub struct PortionLedger {
    own_vm: VmId,
    nodes: BTreeMap<VmId, NodePortions>,
    /// Portions granted by an earlier lease holder, which nodes that haven't sent a request to this
    /// one may still be using.
    earlier_grants: Option<EarlierGrants>,
    /// Grantees as stored for a successor.
    stored_grantees: Grantees,
    /// Fraction of each rate that is reserved for unreachable nodes.
    emergency_reserve: f64,
}

#[derive(Debug)]
struct NodePortions {
    demands: BTreeMap<OrganisationId, f64>,
    /// Largest portions that the node may be using.
    held: Portions,
    expires: Instant,
}

#[derive(Debug)]
struct EarlierGrants {
    until: Instant,
    /// Nodes that haven't sent a request yet.
    unconfirmed: Grantees,
}

impl PortionLedger {
    /// Creates the ledger of a lease holder on VM `own_vm`. The `earlier` nodes may have portions
    /// from an earlier lease holder that granted nothing after `since`.
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

    /// Returns the nodes that have portions or are due to get some. They must be stored for a
    /// successor before they receive a grant.
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

    /// Records the grantees that are now stored for a successor.
    pub fn record_grantees(&mut self, grantees: Grantees) {
        self.stored_grantees = grantees;
    }

    /// Reserves the tokens that unreachable nodes may spend without a lease holder. `nodes` is the
    /// size of the fleet.
    pub fn reserve_emergency(&mut self, unreachable: usize, nodes: usize) {
        self.emergency_reserve = EMERGENCY_FRACTION * unreachable as f64 / nodes.max(1) as f64;
    }

    /// Returns whether all portions that may be in use are known.
    pub fn all_portions_known(&self, now: Instant) -> bool {
        self.unconfirmed(now) <= 0.0
    }

    /// Returns the maximum portion that nodes without a request may still use, granted by an
    /// earlier lease holder.
    fn unconfirmed(&self, now: Instant) -> f64 {
        let earlier_grants = self
            .earlier_grants
            .as_ref()
            .filter(|grants| now < grants.until);
        earlier_grants.map_or(0.0, |grants| grants.unconfirmed.values().sum())
    }

    /// Handles a portion request and returns the grant for it.
    pub fn handle_request(
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

    /// Returns the portion of an organisation's limit that a node gets, after recording it as held.
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
        // A smaller portion counts only once the node has confirmed it in its next request.
        node.held.insert(organisation.clone(), held.max(granted));
        let total_held = total - held + held.max(granted);
        invariant!(
            "portions-within-whole",
            total_held <= total.max(1.0) + PORTION_TOLERANCE,
            "portions of {organisation} add up to {total_held}"
        );
        granted
    }

    /// Returns the portion that a node should have. The lease holder gets what the others don't.
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

/// Fraction of a rate that all nodes together may spend while no lease holder is reachable. It is
/// lower than the excess over a rate that operators tolerate when some nodes are partitioned from
/// an active lease holder.
const EMERGENCY_FRACTION: f64 = 0.35;

/// Token buckets of a node's own portions, with the demand for them.
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
    /// Spends one token of an organisation, or returns the time until one is available. That is
    /// `None` without a portion.
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

    /// Creates the emergency buckets of all organisations with a limit, so that they can fill up
    /// before the lease holder is unreachable.
    pub fn fill_emergency(&mut self, limits: &BTreeMap<OrganisationId, Rate>, now: Instant) {
        self.emergency.retain(|name, _| limits.contains_key(name));
        for name in limits.keys() {
            let bucket = self.emergency.entry(name.clone());
            bucket.or_insert_with(|| TokenBucket::empty(now));
        }
    }

    /// Spends one token of the emergency bucket, which is used while no lease holder is reachable.
    /// `nodes` is the size of the fleet.
    pub fn charge_emergency(
        &mut self,
        organisation: &OrganisationId,
        limit: Rate,
        nodes: usize,
        now: Instant,
    ) -> Result<(), Duration> {
        let mut share = scaled(limit, EMERGENCY_FRACTION / nodes.max(1) as f64);
        // A bucket with a burst below one token would never yield one.
        share.burst = share.burst.max(1.0);
        let bucket = self.emergency.entry(organisation.clone());
        let bucket = bucket.or_insert_with(|| TokenBucket::empty(now));
        bucket.take(share, now).map(|_| ())
    }

    /// Drops all portions.
    pub fn clear(&mut self) {
        for account in self.accounts.values_mut() {
            account.portion = 0.0;
        }
        self.request_sent = None;
    }

    /// Spends up to `count` tokens for the claim of another node. Returns how many were spent and,
    /// if not all, the time until the next one is available.
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
            let until = now + CLAIM_RESERVATION;
            if let Err(wait) = account.bucket.send(scaled(limit, portion), now, until) {
                return (granted, Some(wait));
            }
        }
        (count, None)
    }

    /// Refunds the token of a request that didn't run.
    pub fn refund(&mut self, organisation: &OrganisationId, receipt: TokenReceipt) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.bucket.refund(receipt);
        }
    }

    /// Returns the next portion request. `limits` are the rate limits of all organisations that
    /// have one.
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

    /// Applies the grant for the latest request. Returns whether it was applied.
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
            // Tokens accrued so far are added at the old portion, then limited to the new burst.
            let before = scaled(*limit, account.portion_at(now));
            account.bucket.refill(before, now);
            account.portion = grant.portions.get(name).copied().unwrap_or_default();
            account.expires = request_sent + PORTION_LIFETIME;
            let after = scaled(*limit, account.portion);
            account.bucket.refill(after, now);
        }
        true
    }

    /// Returns portion and demand of each organisation.
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
    /// Returns the portion, or 0 if it has expired.
    fn portion_at(&self, now: Instant) -> f64 {
        if now < self.expires {
            self.portion
        } else {
            0.0
        }
    }

    /// Updates the demand. A rise is followed faster than a fall.
    fn update_demand(&mut self, elapsed: f64) {
        let rate = self.requests as f64 / elapsed;
        self.requests = 0;
        self.demand += (rate - self.demand)
            * if rate > self.demand {
                0.5
            } else {
                DEMAND_FALL_WEIGHT
            };
    }
}

/// Returns the part of a rate limit that a portion amounts to.
fn scaled(limit: Rate, portion: f64) -> Rate {
    Rate {
        rate: limit.rate * portion,
        burst: limit.burst * portion,
    }
}
