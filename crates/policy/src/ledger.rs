//! A parent's record of the shares that its children hold.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use derive_more::{Display, Error};
use filbertwheel_core::{
    Demand, Grant, Heartbeat, OrganisationId, Rate, Share, Status, VmId, copy_value, invariant,
};

use crate::FULL_PORTION;
use crate::child::{Child, FormerShares, Portions, held_portions};
use crate::max_min::max_min_shares;
use crate::term::CLOCK_DRIFT_MARGIN;

/// How long a share may be used without a renewal.
pub const SHARE_LIFETIME: Duration = Duration::from_secs(15);

/// Percentage of an organisation's rate limit that the root reserves for claims.
const CLAIM_RESERVE_PERCENT: u64 = 10;

/// Shares that were granted and may still be held.
#[derive(Debug)]
pub struct ShareLedger {
    local_vm: VmId,
    children: BTreeMap<VmId, Child>,
    /// Shares that children may still hold from an earlier run or an earlier attachment.
    former: Vec<FormerShares>,
    supply: Supply,
}

/// What a ledger may grant.
#[derive(Debug)]
enum Supply {
    /// The full rate limits, at a root.
    Full,
    /// At a new root, only what children still hold from an earlier root.
    Takeover(Takeover),
    /// The node's own share, below the root.
    Share {
        expires: Instant,
        portions: Portions,
    },
}

/// Shares of an earlier root, which stay reserved until they expire or are adopted.
#[derive(Debug)]
struct Takeover {
    until: Instant,
    adopted: Portions,
    /// Children whose shares come from a parent that may grant the same portions to others.
    excluded: BTreeSet<VmId>,
}

/// Why a heartbeat is rejected.
#[copy_value]
#[derive(Display, Error)]
pub enum ShareLedgerError {
    /// A later heartbeat was recorded already.
    #[display("the heartbeat is out of order")]
    OutOfOrder,
}

impl ShareLedger {
    /// Creates the ledger of the root on VM `local_vm`.
    pub fn open(local_vm: VmId) -> Self {
        Self {
            local_vm,
            children: BTreeMap::new(),
            former: Vec::new(),
            supply: Supply::Full,
        }
    }

    /// Creates the ledger of a node below the root. It grants nothing until the node has a share.
    pub fn below_root(local_vm: VmId, now: Instant) -> Self {
        let supply = Supply::Share {
            expires: now,
            portions: Portions::new(),
        };
        Self {
            supply,
            ..Self::open(local_vm)
        }
    }

    /// Replaces the node's own shares, from which its children's shares are granted.
    pub fn set_supply(&mut self, shares: &[Share], expires: Instant, now: Instant) {
        if self.lifetime(now).is_zero() {
            // The children's shares expire with the node's own, so none is held any more.
            self.former.clear();
            self.children.values_mut().for_each(Child::clear);
        }
        let portions = shares.iter();
        self.supply = Supply::Share {
            expires,
            portions: portions
                .map(|share| (share.organisation.clone(), share.portion))
                .collect(),
        };
    }

    /// Reserves what an earlier root has granted, except what is adopted. The earlier root grants
    /// nothing from `predecessors_ended_at` on. Nothing is adopted from the `excluded` children.
    pub fn reserve_earlier_grants(
        &mut self,
        predecessors_ended_at: Instant,
        excluded: BTreeSet<VmId>,
    ) {
        self.supply = Supply::Takeover(Takeover {
            until: predecessors_ended_at + SHARE_LIFETIME + CLOCK_DRIFT_MARGIN,
            adopted: Portions::new(),
            excluded,
        });
    }

    /// Returns the stamp for the reply to a child's latest heartbeat.
    pub fn stamp(&self, vm: &VmId) -> u64 {
        self.children.get(vm).map_or(0, |child| child.stamp)
    }

    /// Returns the VMs of the children.
    pub fn children(&self) -> impl Iterator<Item = &VmId> {
        self.children.keys()
    }

    /// Returns how long shares granted now may be used.
    pub fn lifetime(&self, now: Instant) -> Duration {
        match &self.supply {
            Supply::Share { expires, .. } => expires.saturating_duration_since(now),
            _ => SHARE_LIFETIME,
        }
    }

    /// Returns the demand of the node and its children, and an upper bound of what they hold
    /// together.
    pub fn demands(&self, now: Instant) -> Vec<Demand> {
        let mut rates: BTreeMap<&OrganisationId, f64> = BTreeMap::new();
        for child in self.children.values() {
            for (organisation, rate) in &child.demands {
                *rates.entry(organisation).or_default() += rate;
            }
        }
        if let Supply::Share { portions, .. } = &self.supply {
            for organisation in portions.keys() {
                rates.entry(organisation).or_default();
            }
        }
        rates
            .into_iter()
            .map(|(organisation, rate)| Demand {
                organisation: organisation.clone(),
                rate,
                held: self.held(organisation, now),
            })
            .collect()
    }

    /// Records a child's heartbeat. Returns the latest time at which the child is known to have
    /// followed this root.
    pub fn record_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> Result<Option<Instant>, ShareLedgerError> {
        self.expire(now);
        let known = self.children.get(&heartbeat.member.vm);
        if known.is_some_and(|child| child.is_newer_than(heartbeat)) {
            return Err(ShareLedgerError::OutOfOrder);
        }
        let mut child = Child::from_heartbeat(heartbeat, now);
        match self.children.remove(&heartbeat.member.vm) {
            Some(last) if last.is_same_session(&child) => child.carry_over(heartbeat, &last),
            Some(last) => self.former.push(last.into()),
            None => {}
        }
        let followed_at = child.followed_at;
        if heartbeat.member.status == Status::Gone && child.held.is_empty() {
            return Ok(followed_at);
        }
        self.children.insert(heartbeat.member.vm.clone(), child);
        Ok(followed_at)
    }

    /// Returns the shares of a child whose heartbeat was recorded at `now`. They expire
    /// `SHARE_LIFETIME` after the child sent the heartbeat.
    pub fn allocate(
        &mut self,
        heartbeat: &Heartbeat,
        limits: &BTreeMap<OrganisationId, Rate>,
        predecessors_ended_at: Instant,
        now: Instant,
    ) -> Option<Grant> {
        let fresh = self.adopt(heartbeat, predecessors_ended_at, now)?;
        let shares = limits
            .iter()
            .filter_map(|(name, limit)| self.share(&heartbeat.member.vm, name, *limit, now))
            .collect();
        self.check_totals();
        Some(Grant { fresh, shares })
    }

    /// Returns an upper bound of what all children hold of an organisation's rate limit.
    pub fn outstanding(&self, organisation: &OrganisationId) -> u64 {
        let former = self.former.iter().map(|former| &former.held);
        let children = self.children.values().map(|child| &child.held);
        children
            .chain(former)
            .filter_map(|held| held.get(organisation))
            .sum()
    }

    /// Adds a child's shares to the ledger. Shares of an earlier root are adopted only after the
    /// child has followed this root past the earlier one's end: before that, the earlier root may
    /// have granted them to another node. Returns whether the child is not yet known to hold a
    /// grant of this ledger, or `None` if its shares cannot be adopted yet.
    fn adopt(
        &mut self,
        heartbeat: &Heartbeat,
        predecessors_ended_at: Instant,
        now: Instant,
    ) -> Option<bool> {
        let vm = &heartbeat.member.vm;
        let child = self.children.get_mut(vm)?;
        if child.recorded_at.is_some() {
            return Some(child.followed_at < child.recorded_at);
        }
        if let Supply::Takeover(takeover) = &mut self.supply
            && now < takeover.until
            && !takeover.excluded.contains(vm)
        {
            if child
                .followed_at
                .is_none_or(|at| at < predecessors_ended_at)
            {
                return None;
            }
            child.held = held_portions(heartbeat);
            for (organisation, portion) in &child.held {
                *takeover.adopted.entry(organisation.clone()).or_default() += portion;
            }
            child.recorded_at = child.followed_at;
            return Some(false);
        }
        child.recorded_at = Some(now);
        Some(true)
    }

    /// Returns what this ledger may grant now of an organisation's rate limit.
    fn capacity(&self, organisation: &OrganisationId, now: Instant) -> u64 {
        let portion = |portions: &Portions| portions.get(organisation).copied().unwrap_or(0);
        match &self.supply {
            Supply::Takeover(takeover) if now < takeover.until => portion(&takeover.adopted),
            Supply::Share { expires, .. } if now >= *expires => 0,
            Supply::Share { portions, .. } => portion(portions),
            Supply::Full | Supply::Takeover(_) => FULL_PORTION,
        }
    }

    /// Returns an upper bound of what the node and its children hold of the node's share.
    fn held(&self, organisation: &OrganisationId, now: Instant) -> u64 {
        if self.lifetime(now).is_zero() {
            return 0;
        }
        self.capacity(organisation, now)
            .max(self.outstanding(organisation))
    }

    /// Returns what the ledger allocates of an organisation's rate limit, and how much of it is
    /// reserved for claims.
    fn total(&self, organisation: &OrganisationId, now: Instant) -> (u64, u64) {
        match &self.supply {
            Supply::Share { .. } => (self.capacity(organisation, now), 0),
            _ => (FULL_PORTION, FULL_PORTION / 100 * CLAIM_RESERVE_PERCENT),
        }
    }

    fn share(
        &mut self,
        vm: &VmId,
        organisation: &OrganisationId,
        limit: Rate,
        now: Instant,
    ) -> Option<Share> {
        let target = self.target(vm, organisation, limit, now);
        let free = self
            .capacity(organisation, now)
            .saturating_sub(self.outstanding(organisation));
        let child = self.children.get_mut(vm)?;
        let held = child.held.get(organisation).copied().unwrap_or_default();
        let granted = target.min(held + free);
        // A reduction counts only after the child has confirmed it in its next heartbeat.
        child.held.insert(organisation.clone(), held.max(granted));
        (granted > 0).then(|| Share {
            organisation: organisation.clone(),
            portion: granted,
        })
    }

    /// Returns the portion that a child's share converges to.
    fn target(&self, vm: &VmId, organisation: &OrganisationId, limit: Rate, now: Instant) -> u64 {
        let demanded: Vec<(&VmId, u64)> = self
            .children
            .iter()
            .map(|(child, state)| (child, state.demanded_portion(organisation, limit)))
            .collect();
        let (total, reserve) = self.total(organisation, now);
        let allocated = max_min_shares(
            total - reserve,
            demanded.iter().map(|(_, portion)| *portion),
        );
        let smallest = smallest_portion(limit);
        let usable = |portion: u64| if portion < smallest { 0 } else { portion };
        if *vm == self.local_vm {
            // The root keeps the reserve and the remainder, for claims.
            let others = demanded.iter().zip(&allocated);
            let given = others
                .filter(|((other, _), _)| **other != self.local_vm)
                .map(|(_, portion)| usable(*portion));
            return total.saturating_sub(given.sum());
        }
        let index = demanded.iter().position(|(other, _)| *other == vm);
        index.map_or(0, |index| usable(allocated[index]))
    }

    fn expire(&mut self, now: Instant) {
        self.children.retain(|_, child| now < child.expires);
        self.former.retain(|former| now < former.expires);
    }

    fn check_totals(&self) {
        for child in self.children.values() {
            for organisation in child.held.keys() {
                let outstanding = self.outstanding(organisation);
                invariant!(
                    "shares-within-whole",
                    outstanding <= FULL_PORTION,
                    "{outstanding} billionths of {organisation} are granted"
                );
            }
        }
    }
}

/// Returns the smallest portion whose burst holds one token.
fn smallest_portion(limit: Rate) -> u64 {
    if limit.burst <= 1.0 {
        FULL_PORTION
    } else {
        (FULL_PORTION as f64 / limit.burst).ceil() as u64
    }
}
