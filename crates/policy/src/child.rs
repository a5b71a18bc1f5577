//! A ledger's record of one child.

use std::collections::BTreeMap;
use std::time::Instant;

use filbertwheel_core::{Heartbeat, Incarnation, OrganisationId, Rate, invariant};

use crate::term::CLOCK_DRIFT_MARGIN;
use crate::{FULL_PORTION, SHARE_LIFETIME};

/// Portions by organisation, in billionths.
pub(crate) type Portions = BTreeMap<OrganisationId, u64>;

/// A child as described by its latest heartbeat.
#[derive(Debug)]
pub(crate) struct Child {
    pub incarnation: Incarnation,
    /// Number of its first heartbeat to this parent.
    pub first_number: u64,
    pub number: u64,
    /// Stamp of the reply to its latest heartbeat.
    pub stamp: u64,
    pub replied_at: Instant,
    /// Latest time at which it is known to have followed this root.
    pub followed_at: Option<Instant>,
    pub expires: Instant,
    /// When its shares were added to this ledger.
    pub recorded_at: Option<Instant>,
    /// Upper bound of what the child holds.
    pub held: Portions,
    pub demands: BTreeMap<OrganisationId, f64>,
}

/// Shares that an earlier run of a child may still hold.
#[derive(Debug)]
pub(crate) struct FormerShares {
    pub expires: Instant,
    pub held: Portions,
}

impl Child {
    pub fn from_heartbeat(heartbeat: &Heartbeat, now: Instant) -> Self {
        let demands = heartbeat.demands.iter();
        Self {
            incarnation: heartbeat.member.incarnation,
            first_number: heartbeat.since,
            number: heartbeat.number,
            stamp: rand::random_range(1..=u64::MAX),
            replied_at: now,
            followed_at: None,
            expires: now + SHARE_LIFETIME + CLOCK_DRIFT_MARGIN,
            recorded_at: None,
            held: Portions::new(),
            demands: demands
                .map(|one| (one.organisation.clone(), one.rate))
                .collect(),
        }
    }

    /// Carries the state over from the previous heartbeat. The child has one heartbeat in flight
    /// and drops late replies, so it holds what it reports.
    pub fn carry_over(&mut self, heartbeat: &Heartbeat, previous: &Self) {
        self.followed_at = if heartbeat.heard == previous.stamp {
            Some(previous.replied_at)
        } else {
            previous.followed_at
        };
        self.recorded_at = previous.recorded_at;
        // Before the child has received a reply of this ledger, its report may be outdated.
        if self.recorded_at.is_some() && self.followed_at >= self.recorded_at {
            self.held = held_portions(heartbeat);
            self.check_held(previous);
        }
    }

    pub fn check_held(&self, previous: &Self) {
        for (organisation, portion) in &self.held {
            let given = previous.held.get(organisation).copied().unwrap_or(0);
            invariant!(
                "held-as-granted",
                *portion <= given,
                "{portion} billionths of {organisation} are held, {given} were granted"
            );
        }
    }

    pub fn clear(&mut self) {
        self.held.clear();
        self.recorded_at = None;
    }

    /// Returns whether the child neither restarted nor changed its parent in between.
    pub fn is_same_session(&self, next: &Self) -> bool {
        (self.incarnation, self.first_number) == (next.incarnation, next.first_number)
    }

    pub fn is_newer_than(&self, heartbeat: &Heartbeat) -> bool {
        (self.incarnation, self.number) >= (heartbeat.member.incarnation, heartbeat.number)
    }

    pub fn demanded_portion(&self, organisation: &OrganisationId, limit: Rate) -> u64 {
        let rate = self.demands.get(organisation).copied().unwrap_or_default();
        ((rate / limit.rate) * FULL_PORTION as f64) as u64
    }
}

impl From<Child> for FormerShares {
    fn from(child: Child) -> Self {
        Self {
            expires: child.expires,
            held: child.held,
        }
    }
}

pub(crate) fn held_portions(heartbeat: &Heartbeat) -> Portions {
    let held = heartbeat.demands.iter().filter(|one| one.held > 0);
    held.map(|one| (one.organisation.clone(), one.held))
        .collect()
}
