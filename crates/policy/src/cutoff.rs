//! Cut-offs: the ranks above which a gate sheds calls, published so that callers can refuse them
//! before any work is done.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use filbertwheel_core::{Criticality, CutOff, OrganisationId};

/// Interval between two adjustments of an admission level.
const INTERVAL: Duration = Duration::from_millis(100);
/// How long a cut-off is valid.
pub const CUT_OFF_LIFETIME: Duration = Duration::from_secs(1);
/// Factor on the admitted fraction, so that slightly more calls arrive than run and the queue does
/// not run empty.
const HEADROOM: f64 = 1.01;
/// Smallest factor that one interval applies to a level.
const STEEPEST: f64 = 0.3;
/// Admitted calls that are added to each interval's counts, so that a single refusal among few
/// calls has little effect.
const PRIOR: f64 = 10.0;
/// Growth factor of a level per interval without a refusal and without a queue.
const GROWTH: f64 = 1.02;
/// Number of clean intervals up to which growth accelerates.
const LONGEST_STREAK: f64 = 10.0;
/// Minimum level, so that a few calls always probe whether there is capacity again.
const LEAST: f64 = 0.001;

/// The admission levels of one gate.
#[derive(Debug, Default)]
pub(crate) struct Levels {
    levels: HashMap<(Option<OrganisationId>, Criticality), Level>,
    pruned: Option<Instant>,
}

/// Fraction of an organisation's calls of one criticality that is admitted.
#[derive(Debug)]
struct Level {
    part: f64,
    offered: u32,
    refused: u32,
    queued: bool,
    /// Consecutive intervals without a refusal and without a queue.
    clean: f64,
    began: Instant,
}

impl Levels {
    /// Records an offered call. `queued` is set if others of the same organisation and criticality
    /// are queued.
    pub fn offer(
        &mut self,
        owner: &Option<OrganisationId>,
        criticality: Criticality,
        queued: bool,
        now: Instant,
    ) {
        self.prune(now);
        let level = self.level(owner, criticality, now);
        level.offered += 1;
        level.queued |= queued;
    }

    /// Records a call that was shed.
    pub fn refuse(
        &mut self,
        owner: &Option<OrganisationId>,
        criticality: Criticality,
        now: Instant,
    ) {
        self.level(owner, criticality, now).refused += 1;
    }

    /// Returns the cut-off of an organisation's calls, if any are shed.
    pub fn cut_off(
        &self,
        owner: &Option<OrganisationId>,
        criticality: Criticality,
        now: Instant,
    ) -> Option<CutOff> {
        let level = self.levels.get(&(owner.clone(), criticality))?;
        (level.part < 1.0).then(|| CutOff {
            criticality,
            rank: (level.part * f64::from(u32::MAX)) as u32,
            expires: now + CUT_OFF_LIFETIME,
        })
    }

    fn level(
        &mut self,
        owner: &Option<OrganisationId>,
        criticality: Criticality,
        now: Instant,
    ) -> &mut Level {
        let level = self.levels.entry((owner.clone(), criticality));
        let level = level.or_insert_with(|| Level::full(now));
        level.roll(now);
        level
    }

    fn prune(&mut self, now: Instant) {
        let pruned = *self.pruned.get_or_insert(now);
        if now.saturating_duration_since(pruned) < CUT_OFF_LIFETIME {
            return;
        }
        self.pruned = Some(now);
        self.levels
            .retain(|_, level| now.saturating_duration_since(level.began) < CUT_OFF_LIFETIME);
    }
}

impl Level {
    fn full(now: Instant) -> Self {
        Self {
            part: 1.0,
            offered: 0,
            refused: 0,
            queued: false,
            clean: 0.0,
            began: now,
        }
    }

    fn roll(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.began);
        if elapsed < INTERVAL {
            return;
        }
        if self.refused > 0 {
            let offered = f64::from(self.offered.max(self.refused));
            let admitted = offered - f64::from(self.refused);
            let part = (admitted + PRIOR) / (offered + PRIOR);
            self.part *= (part * HEADROOM).clamp(STEEPEST, 1.0);
            self.clean = 0.0;
        } else if !self.queued {
            let intervals = elapsed.as_secs_f64() / INTERVAL.as_secs_f64();
            self.clean += intervals;
            self.part *= GROWTH.powf(intervals * self.clean.min(LONGEST_STREAK));
        }
        self.part = self.part.clamp(LEAST, 1.0);
        *self = Self {
            part: self.part,
            clean: self.clean,
            ..Self::full(now)
        };
    }
}

/// Cut-offs received from other gates, by the key that they apply to.
#[derive(Debug)]
pub struct CutOffs<K> {
    heard: HashMap<K, [Option<CutOff>; CLASSES]>,
    pruned: Option<Instant>,
}

/// Number of criticalities.
const CLASSES: usize = 3;

impl<K> Default for CutOffs<K> {
    fn default() -> Self {
        Self {
            heard: HashMap::new(),
            pruned: None,
        }
    }
}

impl<K: Hash + Eq> CutOffs<K> {
    /// Records a received cut-off, or that none applies to calls of `criticality`.
    pub fn record(&mut self, key: K, criticality: Criticality, cut: Option<CutOff>, now: Instant) {
        self.prune(now);
        if let Some(cut) = cut {
            let slots = self.heard.entry(key).or_default();
            slots[cut.criticality as usize] = Some(cut);
        } else if let Some(slots) = self.heard.get_mut(&key) {
            slots[criticality as usize] = None;
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
        let slots = self.heard.get(key)?.iter().flatten();
        let mut live = slots.filter(|cut| cut.expires > now);
        live.find(|cut| cut.sheds(criticality, rank)).copied()
    }

    fn prune(&mut self, now: Instant) {
        let pruned = *self.pruned.get_or_insert(now);
        if now.saturating_duration_since(pruned) < CUT_OFF_LIFETIME {
            return;
        }
        self.pruned = Some(now);
        self.heard.retain(|_, slots| {
            let mut live = slots.iter().flatten();
            live.any(|cut| cut.expires > now)
        });
    }
}
