//! Token buckets of a node's own portions.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbertwheel_core::{OrganisationId, Rate, VmId};

use super::{
    EMERGENCY_FRACTION, PORTION_LIFETIME, PortionGrant, PortionRequest, RateLimits, portion_for,
    scaled,
};
use crate::{TokenBucket, TokenReceipt};

/// How long a claimed token occupies room in the lease holder's bucket. Its node spends it on
/// arrival or not at all.
const CLAIM_RESERVATION: Duration = Duration::from_millis(120);
/// Time constant with which a rising demand is followed.
const DEMAND_RISE: Duration = Duration::from_millis(700);
/// Time constant with which a falling demand is followed.
const DEMAND_FALL: Duration = Duration::from_millis(4_700);
/// Calls per second below which a demand is not reported.
const MIN_DEMAND: f64 = 0.01;

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
    pub fn fill_emergency(&mut self, limits: &RateLimits, now: Instant) {
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

    /// Updates the demand of all organisations that have a limit by the requests since the last
    /// update.
    pub fn update_demand(&mut self, limits: &RateLimits, now: Instant) {
        let elapsed = self
            .demand_updated
            .map_or(1.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.demand_updated = Some(now);
        for name in limits.keys() {
            self.account(name, now).update_demand(elapsed.max(0.001));
        }
        self.accounts.retain(|name, _| limits.contains_key(name));
    }

    /// Returns whether this node has a portion, or enough demand to get one.
    pub fn needs_portions(&self, limits: &RateLimits, now: Instant) -> bool {
        self.accounts.iter().any(|(name, account)| {
            let wanted = limits
                .get(name)
                .map_or(0.0, |limit| portion_for(account.demand, 0.0, *limit));
            wanted > 0.0 || account.portion_at(now) > 0.0
        })
    }

    /// Returns the next portion request.
    pub fn next_request(&mut self, vm: &VmId, leaving: bool, now: Instant) -> PortionRequest {
        self.number += 1;
        self.request_sent = Some(now);
        let accounts = self.accounts.iter();
        let demands = accounts
            .clone()
            .filter(|(_, one)| one.demand >= MIN_DEMAND)
            .map(|(name, one)| (name.clone(), one.demand));
        let held = accounts
            .map(|(name, one)| (name.clone(), one.portion_at(now)))
            .filter(|(_, portion)| *portion > 0.0);
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
        limits: &RateLimits,
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
        let constant = if rate > self.demand {
            DEMAND_RISE
        } else {
            DEMAND_FALL
        };
        let weight = 1.0 - (-elapsed / constant.as_secs_f64()).exp();
        self.demand += (rate - self.demand) * weight;
    }
}
