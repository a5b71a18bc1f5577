//! What a ledger knows of one child.

use std::collections::BTreeMap;
use std::time::Instant;

use filbertwheel_core::{Heartbeat, Incarnation, OrganisationId, Rate, invariant};

use crate::term::CLOCK_MARGIN;
use crate::{FULL_PORTION, SHARE_LIFETIME};

/// Portions by organisation, in billionths.
pub(crate) type Portions = BTreeMap<OrganisationId, u64>;

/// A child as its latest beat described it.
#[derive(Debug)]
pub(crate) struct Child {
    pub incarnation: Incarnation,
    /// Number of its first beat since it chose this parent.
    pub since: u64,
    pub number: u64,
    /// Stamp of the answer to its latest beat.
    pub stamp: u64,
    pub answered: Instant,
    /// When it followed this root for certain.
    pub support: Option<Instant>,
    pub expires: Instant,
    /// Since when its shares are in this ledger.
    pub known: Option<Instant>,
    /// The most that the child can hold.
    pub held: Portions,
    pub demands: BTreeMap<OrganisationId, f64>,
}

/// What an earlier run of a child may still hold.
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

    /// Takes over from the beat before. The child sends one beat at a time and drops late answers,
    /// so it holds what it says.
    pub fn follows(&mut self, beat: &Heartbeat, last: &Self) {
        self.support = if beat.heard == last.stamp {
            Some(last.answered)
        } else {
            last.support
        };
        self.known = last.known;
        // Until it has heard from this ledger, what it says may be long out of date.
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
                "{portion} billionths of {organisation} are held, {given} were given"
            );
        }
    }

    pub fn forget(&mut self) {
        self.held.clear();
        self.known = None;
    }

    /// Whether nothing came between: neither a restart nor another parent.
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
