//! How many calls a backend server runs at once, from the latency that's measured.

use std::fmt::Debug;
use std::time::{Duration, Instant};

use filbertwheel_core::value;

/// Samples that make a window.
const WINDOW_SAMPLES: u32 = 50;
/// Shortest window.
const WINDOW: Duration = Duration::from_millis(100);
/// Latency over the baseline at which there are too many calls.
const TOLERANCE: f64 = 2.0;
/// Part of the limit that's left after a decrease of the AIMD limit.
const DECREASE: f64 = 0.8;
/// Part of the ceiling that an increase of the AIMD limit adds, one call at least.
const INCREASE: f64 = 0.02;
/// Least part of the limit that's left after a decrease of the gradient limit.
const GRADIENT_FLOOR: f64 = 0.5;
/// Latencies that pass after a decrease until calls are measured again.
const SETTLING: f64 = 2.0;
/// Weight of the newest window in the baseline.
const BASELINE_WEIGHT: f64 = 0.1;

/// A call that has ended.
#[value]
pub struct RunTime {
    /// How long it ran.
    pub elapsed: Duration,
    /// How long it ran without the calls that it made to other services.
    pub self_time: Duration,
}

/// Follows the number of calls that a backend server can run at once.
pub trait ConcurrencyLimit: Debug + Send {
    /// Calls that may run at once.
    fn current(&self) -> usize;

    /// Takes over a new ceiling.
    fn resize(&mut self, ceiling: usize);

    /// Takes note of a call that ended while `running` calls ran, itself included.
    fn observe(&mut self, spent: &RunTime, running: usize, now: Instant);
}

/// A limit that stays at its ceiling.
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

/// The way in which a limit answers to a window's latency.
#[value]
#[derive(Copy)]
pub enum LimitAlgorithm {
    /// Adds one, or takes a fixed part away.
    Aimd,
    /// Takes away in proportion to the latency, and adds a square root.
    Gradient,
}

/// A limit that falls while latency is above its baseline, and rises otherwise.
///
/// Decreases that don't shorten latency show that concurrency isn't the cause. They're undone and
/// the baseline moves up, so that a slow backend server keeps its slots.
#[derive(Debug)]
pub struct LatencyLimit {
    answering: LimitAlgorithm,
    ceiling: usize,
    level: f64,
    baseline: Option<f64>,
    window: Window,
    /// How things stood before the first of the decreases that are under way.
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
    /// A limit that starts at its ceiling.
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

    /// Undoes the decreases since the first one, if latency didn't follow them.
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

    /// The baseline after a window. It rises only while there's room, or where a judgement lifts it.
    fn followed(&mut self, latency: f64, full: bool) -> f64 {
        let baseline = self.baseline.unwrap_or(latency);
        let follows = latency < baseline || !full;
        let weight = if follows { BASELINE_WEIGHT } else { 0.0 };
        let baseline = baseline + (latency - baseline) * weight;
        self.baseline = Some(baseline);
        baseline
    }

    /// Part of the limit that's left after a window that was too slow.
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
        // Calls that began under the former limit say nothing about the present one. All of
        // them are left out for a while: to leave out only those that began earlier would keep
        // the short ones and drop the long ones.
        if self.settled.is_some_and(|settled| now < settled) {
            return;
        }
        let window = &mut self.window;
        let opened = *window.began.get_or_insert(now);
        window.count += 1;
        window.seconds += spent.self_time.as_secs_f64();
        window.peak = window.peak.max(running);
        let long = now.saturating_duration_since(opened) >= WINDOW;
        // As many calls as run at once, so that slow kinds of call are among them.
        let enough = WINDOW_SAMPLES.max(self.level as u32);
        if long && window.count >= enough {
            self.close_window(now);
        }
    }
}
