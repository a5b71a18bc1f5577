//! How long a root may grant shares.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use filbertwheel_core::{DomainId, Member, Status};

use crate::{LEASE_TIME, LeaseRow, Voter};

/// Allowance for clocks that run at different rates.
pub(crate) const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(500);
/// Age at which a voter's support no longer counts.
pub const SUPPORT_LIFETIME: Duration = Duration::from_secs(3);
/// Maximum time that a root continues without a renewal.
pub const OUTAGE_LIMIT: Duration = Duration::from_secs(3_600);
/// Maximum number of voters that a lease names.
const MAX_VOTERS: usize = 8;

/// The period in which one root may grant shares.
///
/// A renewed lease allows it for `LEASE_TIME`. A root that cannot renew the lease, as in an outage
/// of the store, continues while more than half of its voters support it. A successor grants once
/// at least half of the same voters have promised to follow it, and the support of its predecessor
/// has expired. The two sets share a voter, so the two roots never grant at the same time.
#[derive(Debug)]
pub struct LeaseTerm {
    own: Voter,
    acquired_at: Instant,
    renewed_at: Instant,
    voters: Vec<Voter>,
    /// Voters of a renewal whose outcome is unknown.
    pending_voters: Option<Vec<Voter>>,
    supported_at: BTreeMap<Voter, Instant>,
    promises: BTreeSet<Voter>,
    predecessors_ended_at: Option<Instant>,
}

impl LeaseTerm {
    /// Begins the term of a lease that was acquired by a write sent at `sent`. `earlier` is the row
    /// that the write replaced.
    pub fn open(own: Voter, earlier: Option<&LeaseRow>, sent: Instant, now: Instant) -> Self {
        let unopposed = earlier.is_none_or(|row| row.released);
        let mut term = Self {
            promises: BTreeSet::from([own.clone()]),
            own,
            acquired_at: now,
            renewed_at: sent,
            voters: earlier.map(|row| row.voters.clone()).unwrap_or_default(),
            pending_voters: None,
            supported_at: BTreeMap::new(),
            predecessors_ended_at: unopposed.then_some(now),
        };
        if !unopposed {
            term.check_promises(now);
        }
        term
    }

    /// The root itself, as a voter.
    pub fn own(&self) -> &Voter {
        &self.own
    }

    /// Returns the time from which no earlier root can grant, once it is known.
    pub fn predecessors_ended_at(&self) -> Option<Instant> {
        self.predecessors_ended_at
    }

    /// The voters named by the lease.
    pub fn voters(&self) -> &[Voter] {
        &self.voters
    }

    /// Returns whether no earlier root can grant any more.
    pub fn predecessors_ended(&self, now: Instant) -> bool {
        self.predecessors_ended_at.is_some_and(|at| now >= at)
    }

    /// Returns whether this root may grant shares now.
    pub fn may_grant(&self, now: Instant) -> bool {
        self.predecessors_ended(now) && self.is_live(now)
    }

    /// Returns whether no later root can have started to grant.
    pub fn is_live(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.renewed_at);
        let is_leased = age + CLOCK_DRIFT_MARGIN < LEASE_TIME;
        is_leased || age < OUTAGE_LIMIT && self.is_supported(now)
    }

    /// Records that a node follows this root and no earlier one.
    pub fn promise(&mut self, voter: Voter, now: Instant) {
        if self.predecessors_ended_at.is_none() {
            self.promises.insert(voter);
            self.check_promises(now);
        }
    }

    /// Records that a node followed this root at `at`.
    pub fn support(&mut self, voter: Voter, at: Instant) {
        let known = self.supported_at.entry(voter).or_insert(at);
        *known = at.max(*known);
    }

    /// Begins a renewal that names the given voters.
    pub fn renew(&mut self, voters: Vec<Voter>) {
        self.pending_voters = Some(voters);
    }

    /// Completes a renewal whose write was sent at `sent` and is known to have taken effect. No
    /// earlier write can take effect after it.
    pub fn renewed(&mut self, sent: Instant) {
        self.renewed_at = sent.max(self.renewed_at);
        if let Some(voters) = self.pending_voters.take() {
            self.voters = voters;
        }
        self.supported_at
            .retain(|_, at| sent.saturating_duration_since(*at) < SUPPORT_LIFETIME);
    }

    /// Records the voters in the row that was read.
    pub fn set_voters(&mut self, voters: Vec<Voter>) {
        self.voters = voters;
    }

    /// Returns the voters that the next renewal should name. They do not change until the
    /// predecessors have ended, nor while the outcome of a renewal is unknown.
    pub fn next_voters<'a>(
        &self,
        members: impl Iterator<Item = &'a Member>,
        now: Instant,
    ) -> Vec<Voter> {
        if let Some(pending_voters) = &self.pending_voters {
            return pending_voters.clone();
        }
        if !self.predecessors_ended(now) {
            return self.voters.clone();
        }
        choose_voters(&self.own, members)
    }

    fn check_promises(&mut self, now: Instant) {
        let promised = self.voters.iter().filter(|one| self.promises.contains(one));
        let enough = promised.count() * 2 >= self.voters.len();
        let waited =
            now.saturating_duration_since(self.acquired_at) >= OUTAGE_LIMIT + CLOCK_DRIFT_MARGIN;
        if enough {
            self.predecessors_ended_at = Some(now + SUPPORT_LIFETIME + CLOCK_DRIFT_MARGIN);
        } else if waited {
            self.predecessors_ended_at = Some(now);
        }
    }

    fn is_supported(&self, now: Instant) -> bool {
        let pending_voters = self.pending_voters.as_ref();
        self.has_majority(&self.voters, now)
            && pending_voters.is_none_or(|voters| self.has_majority(voters, now))
    }

    fn has_majority(&self, voters: &[Voter], now: Instant) -> bool {
        let supports = |voter: &&Voter| {
            let at = self.supported_at.get(*voter);
            **voter == self.own
                || at.is_some_and(|at| now.saturating_duration_since(*at) < SUPPORT_LIFETIME)
        };
        voters.iter().filter(supports).count() * 2 > voters.len()
    }
}

/// Chooses voters spread over the failure domains.
fn choose_voters<'a>(own: &Voter, members: impl Iterator<Item = &'a Member>) -> Vec<Voter> {
    let mut domains: BTreeMap<&DomainId, Vec<Voter>> = BTreeMap::new();
    for member in members.filter(|member| member.status < Status::Draining) {
        let voter = Voter {
            vm: member.vm.clone(),
            incarnation: member.incarnation,
        };
        let voters = domains.entry(&member.domain).or_default();
        let index = if voter == *own { 0 } else { voters.len() };
        voters.insert(index, voter);
    }
    let per_domain = MAX_VOTERS / domains.len().clamp(1, MAX_VOTERS);
    domains
        .into_values()
        .flat_map(|voters| voters.into_iter().take(per_domain))
        .collect()
}
