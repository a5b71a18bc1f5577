//! Load and health of a backend server, as used to balance calls.

use std::time::{Duration, Instant};

use filbertwheel_core::{message, value};

/// Cost of sending a call to another failure domain, in units of occupancy.
const OTHER_DOMAIN_COST: f64 = 0.12;
/// Cost of sending a call to another VM in the same failure domain, in units of occupancy.
const OTHER_VM_COST: f64 = 0.04;
/// Cost of a backend server at which all runs fail, in units of occupancy.
const FAILURE_COST: f64 = 3.0;
/// Failure rate above which a backend server is hardly used, also if the others are full.
pub(crate) const BROKEN_RATE: f64 = 0.5;
/// Cost of a further failure rate above that of 1, in units of occupancy.
const BROKEN_COST: f64 = 40.0;
/// Cost of a backend server that is avoided, in units of occupancy.
const AVOID_COST: f64 = 10.0;
/// How long a backend server is avoided after a failed connection.
const AVOID_TIME: Duration = Duration::from_millis(400);
/// Largest random cost. It keeps senders with the same view from choosing the same backend server.
pub(crate) const JITTER_COST: f64 = 0.06;
/// Maximum slowness that counts.
const MAX_SLOWNESS: f64 = 20.0;

/// Load of a backend server as reported by its node.
#[message]
#[derive(Copy, Default)]
pub struct BackendLoad {
    /// Running calls.
    pub running: u32,
    /// Queued calls.
    pub queued: u32,
    /// Calls that may run concurrently.
    pub slots: u32,
    /// Duration of its runs relative to the mean over all backend servers, which is 1.
    pub slowness: f32,
    /// The same apart from changes of a moment.
    pub usual_slowness: f32,
    /// Fraction of its runs that fail.
    pub failing: f32,
    /// Seconds for which its running and queued calls are expected to occupy all its slots; 0 if its
    /// node only counts calls.
    pub backlog: f32,
    /// Seconds until a call that arrives now is expected to start.
    pub delay: f32,
    /// Whether it has had no call for some time, so that nothing is known of it.
    pub idle: bool,
}

impl BackendLoad {
    /// Returns the number of running and queued calls per slot.
    pub fn occupancy(&self) -> f64 {
        (f64::from(self.running) + f64::from(self.queued)) / f64::from(self.slots.max(1))
    }
}

/// Network distance to another node.
#[value]
#[derive(Copy, Default)]
pub enum Distance {
    /// On the same VM.
    #[default]
    SameVm,
    /// In the same failure domain.
    SameDomain,
    /// In another failure domain.
    OtherDomain,
}

/// State of one backend server as seen by a sending node.
#[derive(Debug, Clone, Copy, Default)]
pub struct BackendView {
    /// Load that its node reported last.
    pub load: BackendLoad,
    /// When that report arrived; `None` if none has.
    pub reported: Option<Instant>,
    /// Unanswered calls that this node has sent there.
    pub in_flight: u32,
    /// Unanswered calls that this node has sent there since that report.
    pub pending: u32,
    /// Expected work of the latter in seconds at a server of usual speed.
    pub pending_work: f64,
    /// Distance to its node.
    pub distance: Distance,
    /// When a connection to it last failed.
    pub last_failure: Option<Instant>,
}

impl BackendView {
    /// Returns the cost of sending a call there by the number of calls, where the lowest cost wins.
    /// `jitter` is a random number from 0 to 1.
    pub fn cost(&self, now: Instant, jitter: f64) -> f64 {
        let slots = f64::from(self.load.slots.max(1));
        let occupancy = self.load.occupancy() + f64::from(self.in_flight) / slots;
        // Without a free slot, a call waits for others to finish.
        let waiting = (occupancy - 0.9).max(0.0) * 3.0;
        let slowness = f64::from(self.load.slowness.clamp(0.2, MAX_SLOWNESS as f32));
        (0.5 + occupancy + waiting) * slowness.max(0.5)
            + self.other_costs(now)
            + jitter * JITTER_COST
    }

    /// Returns the calls per slot, with those that this node has sent since the report.
    pub fn utilisation(&self) -> f64 {
        let slots = f64::from(self.load.slots.max(1));
        self.load.occupancy() + f64::from(self.pending) / slots
    }

    /// Returns whether a connection to it has just failed.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.last_failure
            .is_some_and(|at| now.saturating_duration_since(at) < AVOID_TIME)
    }

    /// Returns the cost of its distance and of what fails there, in units of occupancy.
    pub(crate) fn other_costs(&self, now: Instant) -> f64 {
        let distance = match self.distance {
            Distance::SameVm => 0.0,
            Distance::SameDomain => OTHER_VM_COST,
            Distance::OtherDomain => OTHER_DOMAIN_COST,
        };
        let failing = f64::from(self.load.failing);
        let failing = failing * FAILURE_COST + (failing - BROKEN_RATE).max(0.0) * BROKEN_COST;
        let avoided = if self.is_avoided(now) {
            AVOID_COST
        } else {
            0.0
        };
        distance + failing + avoided
    }
}

/// Smoothed slowness and failure rate of a backend server.
#[derive(Debug, Clone, Copy)]
pub struct Health {
    slowness: f64,
    failing: f64,
    updated_at: Instant,
}

/// Weight of the newest run in the smoothed values.
const RUN_EWMA_WEIGHT: f64 = 0.08;
/// Time in which slowness and failure rate decay by half.
const HALF_LIFE: Duration = Duration::from_millis(1_500);

impl Health {
    /// Creates the state of a backend server without any recorded run.
    pub fn open(now: Instant) -> Self {
        Self {
            slowness: 1.0,
            failing: 0.0,
            updated_at: now,
        }
    }

    /// Records a successful run that took `ratio` times as long as the mean run of its route.
    pub fn record_success(&mut self, ratio: f64, now: Instant) {
        self.decay(now);
        self.slowness += (ratio.min(MAX_SLOWNESS) - self.slowness) * RUN_EWMA_WEIGHT;
        self.failing -= self.failing * RUN_EWMA_WEIGHT;
    }

    /// Records a failed run.
    pub fn record_failure(&mut self, now: Instant) {
        self.decay(now);
        self.failing += (1.0 - self.failing) * RUN_EWMA_WEIGHT;
    }

    /// Returns the present slowness and failure rate. Both decay with time, so that a backend
    /// server that gets no calls because of them gets some again.
    pub fn read(&mut self, now: Instant) -> (f32, f32) {
        self.decay(now);
        (self.slowness as f32, self.failing as f32)
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let weight = 0.5_f64.powf(elapsed / HALF_LIFE.as_secs_f64());
        self.slowness = 1.0 + (self.slowness - 1.0) * weight;
        self.failing *= weight;
        self.updated_at = now;
    }
}
