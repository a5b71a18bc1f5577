//! Which backend server of a service a call goes to.

use std::time::{Duration, Instant};

use filbertwheel_core::{message, value};

/// What another failure domain costs, in terms of occupancy.
const OTHER_DOMAIN_COST: f64 = 0.12;
/// What another VM costs.
const OTHER_VM_COST: f64 = 0.04;
/// What it costs if all calls of a backend server fail.
const FAILURE_COST: f64 = 3.0;
/// How long a failed connection keeps calls away.
const AVOID_TIME: Duration = Duration::from_millis(400);
/// Spread of the random part, which keeps senders with the same view apart.
const JITTER_COST: f64 = 0.06;
/// Slowness that's reported at most.
const MAX_SLOWNESS: f64 = 20.0;

/// What a node says about its backend server.
#[message]
#[derive(Copy, Default)]
pub struct BackendLoad {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub queued: u32,
    /// Calls that may run at once.
    pub slots: u32,
    /// Time of its runs next to that of all backend servers, 1 being the mean.
    pub slowness: f32,
    /// Part of its runs that fail, from 0 to 1.
    pub failing: f32,
}

impl BackendLoad {
    /// Calls that run or wait, for each slot.
    pub fn occupancy(&self) -> f64 {
        f64::from(self.running + self.queued) / f64::from(self.slots.max(1))
    }
}

/// How far another node is.
#[value]
#[derive(Copy)]
pub enum Distance {
    /// On the same VM.
    SameVm,
    /// In the same failure domain.
    SameDomain,
    /// In another failure domain.
    OtherDomain,
}

/// What a sender knows of one backend server.
#[derive(Debug, Clone, Copy)]
pub struct BackendView {
    /// What its node said last.
    pub load: BackendLoad,
    /// Own calls that were sent since and aren't answered.
    pub pending: u32,
    /// How far it is.
    pub distance: Distance,
    /// When a connection to it failed last.
    pub failed: Option<Instant>,
}

impl BackendView {
    /// What a call costs there; less is better. `jitter` is random, from 0 to 1.
    pub fn cost(&self, now: Instant, jitter: f64) -> f64 {
        let slots = f64::from(self.load.slots.max(1));
        let occupancy = self.load.occupancy() + f64::from(self.pending) / slots;
        // Behind the last slot a call waits for others to end.
        let waiting = (occupancy - 0.9).max(0.0) * 3.0;
        let slowness = f64::from(self.load.slowness.clamp(0.2, MAX_SLOWNESS as f32));
        let distance = match self.distance {
            Distance::SameVm => 0.0,
            Distance::SameDomain => OTHER_VM_COST,
            Distance::OtherDomain => OTHER_DOMAIN_COST,
        };
        let is_avoided = self
            .failed
            .is_some_and(|at| now.saturating_duration_since(at) < AVOID_TIME);
        let failing = f64::from(self.load.failing) * FAILURE_COST;
        (0.5 + occupancy + waiting) * slowness.max(0.5)
            + distance
            + failing
            + if is_avoided { 10.0 } else { 0.0 }
            + jitter * JITTER_COST
    }
}

/// Smooths the outcomes of a backend server's runs.
#[derive(Debug, Clone, Copy)]
pub struct Health {
    slowness: f64,
    failing: f64,
    at: Instant,
}

/// Weight of the newest run.
const RUN_EWMA_WEIGHT: f64 = 0.08;
/// Time after which half of a bad name is forgotten.
const HALF_LIFE: Duration = Duration::from_millis(1_500);

impl Health {
    /// A backend server that nothing is known of.
    pub fn open(now: Instant) -> Self {
        Self {
            slowness: 1.0,
            failing: 0.0,
            at: now,
        }
    }

    /// Takes note of a run that took `ratio` times as long as such runs take on the whole.
    pub fn record_success(&mut self, ratio: f64, now: Instant) {
        self.decay(now);
        self.slowness += (ratio.min(MAX_SLOWNESS) - self.slowness) * RUN_EWMA_WEIGHT;
        self.failing -= self.failing * RUN_EWMA_WEIGHT;
    }

    /// Takes note of a run that failed.
    pub fn record_failure(&mut self, now: Instant) {
        self.decay(now);
        self.failing += (1.0 - self.failing) * RUN_EWMA_WEIGHT;
    }

    /// Slowness and failing part at present. Both are forgotten with time, so that a backend
    /// server that gets no calls is tried again.
    pub fn read(&mut self, now: Instant) -> (f32, f32) {
        self.decay(now);
        (self.slowness as f32, self.failing as f32)
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        let weight = 0.5_f64.powf(elapsed / HALF_LIFE.as_secs_f64());
        self.slowness = 1.0 + (self.slowness - 1.0) * weight;
        self.failing *= weight;
        self.at = now;
    }
}
