//! Concurrency limits of a backend server, adapted to the measured latency.

use std::fmt::Debug;
use std::time::{Duration, Instant};

use filbertwheel_core::value;

/// Minimum number of calls in a window.
const MIN_WINDOW_SAMPLES: u32 = 50;
/// Minimum duration of a window.
const MIN_WINDOW: Duration = Duration::from_millis(100);
/// Ratio of latency to baseline above which the limit decreases.
const MAX_SLOWDOWN: f64 = 2.0;
/// Factor of a decrease of the AIMD limit.
const AIMD_DECREASE_FACTOR: f64 = 0.8;
/// Fraction of the maximum that the AIMD limit increases by, with a minimum of one call.
const AIMD_INCREASE_FRACTION: f64 = 0.02;
/// Smallest factor of a decrease of the gradient limit.
const GRADIENT_FLOOR: f64 = 0.5;
/// Time without measurement after a decrease, in multiples of the latency.
const SETTLING_LATENCIES: f64 = 2.0;
/// Weight of the latest window in the EWMA of the baseline.
const BASELINE_WEIGHT: f64 = 0.1;

/// Duration of a call that has ended.
#[value]
pub struct RunTime {
    /// Total duration.
    pub elapsed: Duration,
    /// Duration without the nested calls to other services.
    pub self_time: Duration,
}

/// Limits the number of calls that a backend server runs at once.
pub trait ConcurrencyLimit: Debug + Send {
    /// Returns the number of calls that may run at once.
    fn current(&self) -> usize;

    /// Changes the maximum.
    fn resize(&mut self, max_limit: usize);

    /// Records a call that ended while `running` calls were in flight, itself included.
    fn observe(&mut self, run_time: &RunTime, running: usize, now: Instant);
}

/// A constant limit.
#[derive(Debug)]
pub struct FixedLimit(pub usize);

impl ConcurrencyLimit for FixedLimit {
    fn current(&self) -> usize {
        self.0
    }

    fn resize(&mut self, max_limit: usize) {
        self.0 = max_limit;
    }

    fn observe(&mut self, _: &RunTime, _: usize, _: Instant) {}
}

/// How a limit adapts to the latency of a window.
#[value]
#[derive(Copy)]
pub enum LimitAlgorithm {
    /// Additive increase, multiplicative decrease.
    Aimd,
    /// Decreases in proportion to the latency and increases by the square root of the limit.
    Gradient,
}

/// A limit that decreases while latency is above its baseline and increases otherwise.
///
/// A decrease that does not lower the latency shows that concurrency is not the cause. The limit is
/// then restored and the baseline raised, so that a slow backend server keeps its slots.
#[derive(Debug)]
pub struct LatencyLimit {
    algorithm: LimitAlgorithm,
    max_limit: usize,
    limit: f64,
    baseline: Option<f64>,
    window: Window,
    /// Limit and latency before the first of the current run of decreases.
    before_decrease: Option<BeforeDecrease>,
    skip_until: Option<Instant>,
}

#[derive(Debug)]
struct BeforeDecrease {
    limit: f64,
    latency: f64,
}

#[derive(Debug, Default)]
struct Window {
    started: Option<Instant>,
    count: u32,
    total_s: f64,
    peak_running: usize,
}

impl LatencyLimit {
    /// Creates a limit that starts at its maximum.
    pub fn open(algorithm: LimitAlgorithm, max_limit: usize) -> Self {
        Self {
            algorithm,
            max_limit,
            limit: max_limit as f64,
            baseline: None,
            window: Window::default(),
            before_decrease: None,
            skip_until: None,
        }
    }

    fn close_window(&mut self, now: Instant) {
        let window = std::mem::take(&mut self.window);
        let latency = window.total_s / f64::from(window.count);
        let at_limit = window.peak_running + 1 >= self.current();
        self.undo_ineffective_decreases(latency);
        let baseline = self.update_baseline(latency, at_limit);
        if latency > baseline * MAX_SLOWDOWN {
            self.skip_until = Some(now + Duration::from_secs_f64(latency * SETTLING_LATENCIES));
            let limit = self.limit;
            self.before_decrease
                .get_or_insert(BeforeDecrease { limit, latency });
            let floor = (self.max_limit as f64).min(1.0);
            self.limit = (limit * self.decrease_factor(latency, baseline)).max(floor);
        } else {
            self.before_decrease = None;
            if at_limit {
                self.limit = (self.limit + self.increase_step()).min(self.max_limit as f64);
            }
        }
    }

    /// Restores the limit from before the current run of decreases if latency did not fall with it.
    fn undo_ineffective_decreases(&mut self, latency: f64) {
        let Some(before_decrease) = &self.before_decrease else {
            return;
        };
        let expected = before_decrease.latency * self.limit / before_decrease.limit;
        if latency > expected.midpoint(before_decrease.latency) {
            self.limit = before_decrease.limit.min(self.max_limit as f64);
            self.baseline = self.baseline.map(|baseline| baseline.max(latency));
            self.before_decrease = None;
        }
    }

    /// Updates and returns the baseline. It rises only while the limit is not reached, or when a
    /// decrease is undone.
    fn update_baseline(&mut self, latency: f64, at_limit: bool) -> f64 {
        let baseline = self.baseline.unwrap_or(latency);
        let adapts = latency < baseline || !at_limit;
        let weight = if adapts { BASELINE_WEIGHT } else { 0.0 };
        let baseline = baseline + (latency - baseline) * weight;
        self.baseline = Some(baseline);
        baseline
    }

    /// Returns the factor of a decrease after a window with high latency.
    fn decrease_factor(&self, latency: f64, baseline: f64) -> f64 {
        match self.algorithm {
            LimitAlgorithm::Aimd => AIMD_DECREASE_FACTOR,
            LimitAlgorithm::Gradient => (baseline * MAX_SLOWDOWN / latency).max(GRADIENT_FLOOR),
        }
    }

    fn increase_step(&self) -> f64 {
        match self.algorithm {
            LimitAlgorithm::Aimd => (self.max_limit as f64 * AIMD_INCREASE_FRACTION).max(1.0),
            LimitAlgorithm::Gradient => self.limit.sqrt(),
        }
    }
}

impl ConcurrencyLimit for LatencyLimit {
    fn current(&self) -> usize {
        self.limit as usize
    }

    fn resize(&mut self, max_limit: usize) {
        if max_limit == self.max_limit {
            return;
        }
        let at_limit = self.limit >= self.max_limit as f64;
        self.max_limit = max_limit;
        if at_limit || self.limit > max_limit as f64 {
            self.limit = max_limit as f64;
        }
    }

    fn observe(&mut self, run_time: &RunTime, running: usize, now: Instant) {
        // Calls that started under the previous limit do not measure the current one. All calls are
        // skipped for a while: skipping only those that started earlier would bias the sample
        // towards short calls.
        if self.skip_until.is_some_and(|skip_until| now < skip_until) {
            return;
        }
        let window = &mut self.window;
        let started = *window.started.get_or_insert(now);
        window.count += 1;
        window.total_s += run_time.self_time.as_secs_f64();
        window.peak_running = window.peak_running.max(running);
        let long_enough = now.saturating_duration_since(started) >= MIN_WINDOW;
        // A window holds at least as many calls as run at once, so that slow kinds of call are
        // included.
        let min_samples = MIN_WINDOW_SAMPLES.max(self.limit as u32);
        if long_enough && window.count >= min_samples {
            self.close_window(now);
        }
    }
}
