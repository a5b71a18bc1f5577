//! A ledger's record of one child.

use std::collections::BTreeMap;
use std::time::Instant;

use filbertwheel_core::{Heartbeat, Incarnation, OrganisationId, Rate, invariant};

use crate::term::CLOCK_MARGIN;
use crate::{FULL_PORTION, SHARE_LIFETIME};

/// Portions by organisation, in billionths.
pub(crate) type Portions = BTreeMap<OrganisationId, u64>;

/// A child as described by its latest heartbeat.
#[derive(Debug)]
pub(crate) struct Child {
    pub incarnation: Incarnation,
    /// Number of its first heartbeat to this parent.
    pub since: u64,
    pub number: u64,
    /// Stamp of the reply to its latest heartbeat.
    pub stamp: u64,
    pub answered: Instant,
    /// Latest time at which it is known to have followed this root.
    pub support: Option<Instant>,
    pub expires: Instant,
    /// When its shares were added to this ledger.
    pub known: Option<Instant>,
    /// Upper bound of what the child holds.
    pub held: Portions,
    pub demands: BTreeMap<OrganisationId, f64>,
}

/// Shares that an earlier run of a child may still hold.
#[derive(Debug)]
pub(crate) struct Past {
    pub expires: Instant,
    pub held: Portions,
}

impl Child {
    pub fn of(beat: &Heartbeat, now: Instant) -> Self {
        let demands = beat.demands.iter();
        Self {
            incarnation: beat.member.incarnation,
            since: beat.since,
            number: beat.number,
            stamp: rand::random_range(1..=u64::MAX),
            answered: now,
            support: None,
            expires: now + SHARE_LIFETIME + CLOCK_MARGIN,
            known: None,
            held: Portions::new(),
            demands: demands
                .map(|one| (one.organisation.clone(), one.rate))
                .collect(),
        }
    }

    /// Carries the state over from the previous heartbeat. The child has one heartbeat in flight
    /// and drops late replies, so it holds what it reports.
    pub fn follows(&mut self, beat: &Heartbeat, last: &Self) {
        self.support = if beat.heard == last.stamp {
            Some(last.answered)
        } else {
            last.support
        };
        self.known = last.known;
        // Before the child has received a reply of this ledger, its report may be outdated.
        if self.known.is_some() && self.support >= self.known {
            self.held = held_of(beat);
            self.check_held(last);
        }
    }

    pub fn check_held(&self, last: &Self) {
        for (organisation, portion) in &self.held {
            let given = last.held.get(organisation).copied().unwrap_or(0);
            invariant!(
                "held-as-granted",
                *portion <= given,
                "{portion} billionths of {organisation} are held, {given} were granted"
            );
        }
    }

    pub fn forget(&mut self) {
        self.held.clear();
        self.known = None;
    }

    /// Returns whether the child neither restarted nor attached anew in between.
    pub fn is_same(&self, next: &Self) -> bool {
        (self.incarnation, self.since) == (next.incarnation, next.since)
    }

    pub fn is_after(&self, beat: &Heartbeat) -> bool {
        (self.incarnation, self.number) >= (beat.member.incarnation, beat.number)
    }

    pub fn wish(&self, organisation: &OrganisationId, limit: Rate) -> u64 {
        let rate = self.demands.get(organisation).copied().unwrap_or_default();
        ((rate / limit.rate) * FULL_PORTION as f64) as u64
    }
}

impl From<Child> for Past {
    fn from(child: Child) -> Self {
        Self {
            expires: child.expires,
            held: child.held,
        }
    }
}

pub(crate) fn held_of(beat: &Heartbeat) -> Portions {
    let held = beat.demands.iter().filter(|one| one.held > 0);
    held.map(|one| (one.organisation.clone(), one.held))
        .collect()
}
