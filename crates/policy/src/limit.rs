//! Concurrency limits of a backend server, adapted to the measured latency.

use std::fmt::Debug;
use std::time::{Duration, Instant};

use filbertwheel_core::value;

/// Minimum number of calls in a window.
const WINDOW_SAMPLES: u32 = 50;
/// Minimum duration of a window.
const WINDOW: Duration = Duration::from_millis(100);
/// Ratio of latency to baseline above which the limit decreases.
const TOLERANCE: f64 = 2.0;
/// Factor of a decrease of the AIMD limit.
const DECREASE: f64 = 0.8;
/// Fraction of the maximum that the AIMD limit increases by, with a minimum of one call.
const INCREASE: f64 = 0.02;
/// Smallest factor of a decrease of the gradient limit.
const GRADIENT_FLOOR: f64 = 0.5;
/// Time without measurement after a decrease, in multiples of the latency.
const SETTLING: f64 = 2.0;
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
    fn resize(&mut self, ceiling: usize);

    /// Records a call that ended while `running` calls were in flight, itself included.
    fn observe(&mut self, spent: &RunTime, running: usize, now: Instant);
}

/// A constant limit.
#[derive(Debug)]
pub struct FixedLimit(pub usize);

impl ConcurrencyLimit for FixedLimit {
    fn current(&self) -> usize {
        self.0
    }

    fn resize(&mut self, ceiling: usize) {
        self.0 = ceiling;
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
    answering: LimitAlgorithm,
    ceiling: usize,
    level: f64,
    baseline: Option<f64>,
    window: Window,
    /// Limit and latency before the first of the current run of decreases.
    descent: Option<Descent>,
    settled: Option<Instant>,
}

#[derive(Debug)]
struct Descent {
    level: f64,
    latency: f64,
}

#[derive(Debug, Default)]
struct Window {
    began: Option<Instant>,
    count: u32,
    seconds: f64,
    peak: usize,
}

impl LatencyLimit {
    /// Creates a limit that starts at its maximum.
    pub fn open(answering: LimitAlgorithm, ceiling: usize) -> Self {
        Self {
            answering,
            ceiling,
            level: ceiling as f64,
            baseline: None,
            window: Window::default(),
            descent: None,
            settled: None,
        }
    }

    fn close_window(&mut self, now: Instant) {
        let window = std::mem::take(&mut self.window);
        let latency = window.seconds / f64::from(window.count);
        let full = window.peak + 1 >= self.current();
        self.judge(latency);
        let baseline = self.followed(latency, full);
        if latency > baseline * TOLERANCE {
            self.settled = Some(now + Duration::from_secs_f64(latency * SETTLING));
            let level = self.level;
            self.descent.get_or_insert(Descent { level, latency });
            let floor = (self.ceiling as f64).min(1.0);
            self.level = (level * self.part(latency, baseline)).max(floor);
        } else {
            self.descent = None;
            if full {
                self.level = (self.level + self.step()).min(self.ceiling as f64);
            }
        }
    }

    /// Restores the limit from before the current run of decreases if latency did not fall with it.
    fn judge(&mut self, latency: f64) {
        let Some(descent) = &self.descent else {
            return;
        };
        let due = descent.latency * self.level / descent.level;
        if latency > due.midpoint(descent.latency) {
            self.level = descent.level.min(self.ceiling as f64);
            self.baseline = self.baseline.map(|baseline| baseline.max(latency));
            self.descent = None;
        }
    }

    /// Updates and returns the baseline. It rises only while the limit is not reached, or when a
    /// decrease is undone.
    fn followed(&mut self, latency: f64, full: bool) -> f64 {
        let baseline = self.baseline.unwrap_or(latency);
        let follows = latency < baseline || !full;
        let weight = if follows { BASELINE_WEIGHT } else { 0.0 };
        let baseline = baseline + (latency - baseline) * weight;
        self.baseline = Some(baseline);
        baseline
    }

    /// Returns the factor of a decrease after a window with high latency.
    fn part(&self, latency: f64, baseline: f64) -> f64 {
        match self.answering {
            LimitAlgorithm::Aimd => DECREASE,
            LimitAlgorithm::Gradient => (baseline * TOLERANCE / latency).max(GRADIENT_FLOOR),
        }
    }

    fn step(&self) -> f64 {
        match self.answering {
            LimitAlgorithm::Aimd => (self.ceiling as f64 * INCREASE).max(1.0),
            LimitAlgorithm::Gradient => self.level.sqrt(),
        }
    }
}

impl ConcurrencyLimit for LatencyLimit {
    fn current(&self) -> usize {
        self.level as usize
    }

    fn resize(&mut self, ceiling: usize) {
        if ceiling == self.ceiling {
            return;
        }
        let full = self.level >= self.ceiling as f64;
        self.ceiling = ceiling;
        if full || self.level > ceiling as f64 {
            self.level = ceiling as f64;
        }
    }

    fn observe(&mut self, spent: &RunTime, running: usize, now: Instant) {
        // Calls that started under the previous limit do not measure the current one. All calls are
        // skipped for a while: skipping only those that started earlier would bias the sample
        // towards short calls.
        if self.settled.is_some_and(|settled| now < settled) {
            return;
        }
        let window = &mut self.window;
        let opened = *window.began.get_or_insert(now);
        window.count += 1;
        window.seconds += spent.self_time.as_secs_f64();
        window.peak = window.peak.max(running);
        let long = now.saturating_duration_since(opened) >= WINDOW;
        // A window holds at least as many calls as run at once, so that slow kinds of call are
        // included.
        let enough = WINDOW_SAMPLES.max(self.level as u32);
        if long && window.count >= enough {
            self.close_window(now);
        }
    }
}
