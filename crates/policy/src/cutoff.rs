//! Cut-offs: the ranks above which a gate sheds calls, published so that callers can refuse them
//! before any work is done.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use filbertwheel_core::{Criticality, CutOff, OrganisationId};

/// Interval between two adjustments of an admission level.
const ADJUST_INTERVAL: Duration = Duration::from_millis(100);
/// How long a cut-off is valid.
pub const CUT_OFF_LIFETIME: Duration = Duration::from_secs(1);
/// Factor on the admitted fraction, so that slightly more calls arrive than run and the queue does
/// not run empty.
const ADMIT_HEADROOM: f64 = 1.01;
/// Smallest factor that one interval applies to a level.
const MIN_DECREASE_FACTOR: f64 = 0.3;
/// Admitted calls that are added to each interval's counts, so that a single refusal among few
/// calls has little effect.
const PRIOR_ADMITTED_CALLS: f64 = 10.0;
/// Growth factor of a level per interval without a refusal and without a queue.
const GROWTH_PER_INTERVAL: f64 = 1.02;
/// Number of clean intervals up to which growth accelerates.
const MAX_GROWTH_INTERVALS: f64 = 10.0;
/// Minimum level, so that a few calls always probe whether there is capacity again.
const MIN_ADMITTED_FRACTION: f64 = 0.001;

/// The admission levels of one gate.
#[derive(Debug, Default)]
pub(crate) struct AdmissionLevels {
    levels: HashMap<(Option<OrganisationId>, Criticality), AdmissionLevel>,
    pruned_at: Option<Instant>,
}

/// Fraction of an organisation's calls of one criticality that is admitted.
#[derive(Debug)]
struct AdmissionLevel {
    admitted_fraction: f64,
    offered: u32,
    refused: u32,
    queued: bool,
    /// Intervals without a refusal and without a queue since the last refusal.
    clean_intervals: f64,
    started: Instant,
}

impl AdmissionLevels {
    /// Records an offered call. `queued` is set if others of the same organisation and criticality
    /// are queued.
    pub fn record_offer(
        &mut self,
        organisation: &Option<OrganisationId>,
        criticality: Criticality,
        queued: bool,
        now: Instant,
    ) {
        self.prune(now);
        let level = self.level(organisation, criticality, now);
        level.offered += 1;
        level.queued |= queued;
    }

    /// Records a call that was shed.
    pub fn record_refusal(
        &mut self,
        organisation: &Option<OrganisationId>,
        criticality: Criticality,
        now: Instant,
    ) {
        self.level(organisation, criticality, now).refused += 1;
    }

    /// Returns the cut-off of an organisation's calls, if any are shed.
    pub fn cut_off(
        &self,
        organisation: &Option<OrganisationId>,
        criticality: Criticality,
        now: Instant,
    ) -> Option<CutOff> {
        let level = self.levels.get(&(organisation.clone(), criticality))?;
        (level.admitted_fraction < 1.0).then(|| CutOff {
            criticality,
            rank: (level.admitted_fraction * f64::from(u32::MAX)) as u32,
            expires: now + CUT_OFF_LIFETIME,
        })
    }

    fn level(
        &mut self,
        organisation: &Option<OrganisationId>,
        criticality: Criticality,
        now: Instant,
    ) -> &mut AdmissionLevel {
        let level = self.levels.entry((organisation.clone(), criticality));
        let level = level.or_insert_with(|| AdmissionLevel::unrestricted(now));
        level.end_interval(now);
        level
    }

    fn prune(&mut self, now: Instant) {
        let pruned_at = *self.pruned_at.get_or_insert(now);
        if now.saturating_duration_since(pruned_at) < CUT_OFF_LIFETIME {
            return;
        }
        self.pruned_at = Some(now);
        self.levels
            .retain(|_, level| now.saturating_duration_since(level.started) < CUT_OFF_LIFETIME);
    }
}

impl AdmissionLevel {
    fn unrestricted(now: Instant) -> Self {
        Self {
            admitted_fraction: 1.0,
            offered: 0,
            refused: 0,
            queued: false,
            clean_intervals: 0.0,
            started: now,
        }
    }

    fn end_interval(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.started);
        if elapsed < ADJUST_INTERVAL {
            return;
        }
        if self.refused > 0 {
            let offered = f64::from(self.offered.max(self.refused));
            let admitted = offered - f64::from(self.refused);
            let admitted_fraction =
                (admitted + PRIOR_ADMITTED_CALLS) / (offered + PRIOR_ADMITTED_CALLS);
            self.admitted_fraction *=
                (admitted_fraction * ADMIT_HEADROOM).clamp(MIN_DECREASE_FACTOR, 1.0);
            self.clean_intervals = 0.0;
        } else if !self.queued {
            let intervals = elapsed.as_secs_f64() / ADJUST_INTERVAL.as_secs_f64();
            self.clean_intervals += intervals;
            self.admitted_fraction *= GROWTH_PER_INTERVAL
                .powf(intervals * self.clean_intervals.min(MAX_GROWTH_INTERVALS));
        }
        self.admitted_fraction = self.admitted_fraction.clamp(MIN_ADMITTED_FRACTION, 1.0);
        *self = Self {
            admitted_fraction: self.admitted_fraction,
            clean_intervals: self.clean_intervals,
            ..Self::unrestricted(now)
        };
    }
}

/// Cut-offs received from other gates, by the key that they apply to.
#[derive(Debug)]
pub struct CutOffs<K> {
    received: HashMap<K, [Option<CutOff>; CRITICALITIES]>,
    pruned_at: Option<Instant>,
}

/// Number of criticalities.
const CRITICALITIES: usize = 3;

impl<K> Default for CutOffs<K> {
    fn default() -> Self {
        Self {
            received: HashMap::new(),
            pruned_at: None,
        }
    }
}

impl<K: Hash + Eq> CutOffs<K> {
    /// Records a received cut-off, or that none applies to calls of `criticality`.
    pub fn record(
        &mut self,
        key: K,
        criticality: Criticality,
        cut_off: Option<CutOff>,
        now: Instant,
    ) {
        self.prune(now);
        if let Some(cut_off) = cut_off {
            let cut_offs = self.received.entry(key).or_default();
            cut_offs[cut_off.criticality as usize] = Some(cut_off);
        } else if let Some(cut_offs) = self.received.get_mut(&key) {
            cut_offs[criticality as usize] = None;
        }
    }

    /// Returns the cut-off that sheds a call, if there is one.
    pub fn sheds(
        &self,
        key: &K,
        criticality: Criticality,
        rank: u32,
        now: Instant,
    ) -> Option<CutOff> {
        let cut_offs = self.received.get(key)?.iter().flatten();
        let mut live = cut_offs.filter(|cut_off| cut_off.expires > now);
        live.find(|cut_off| cut_off.sheds(criticality, rank))
            .copied()
    }

    fn prune(&mut self, now: Instant) {
        let pruned_at = *self.pruned_at.get_or_insert(now);
        if now.saturating_duration_since(pruned_at) < CUT_OFF_LIFETIME {
            return;
        }
        self.pruned_at = Some(now);
        self.received.retain(|_, cut_offs| {
            let mut live = cut_offs.iter().flatten();
            live.any(|cut_off| cut_off.expires > now)
        });
    }
}
