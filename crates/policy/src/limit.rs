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
/// Least part of the limit that's left after a decrease of the gradient limit.
const GRADIENT_FLOOR: f64 = 0.5;
/// Latency after a decrease, as a part of that before, above which the decrease was in vain.
const IN_VAIN: f64 = 0.9;
/// Weight of the newest window in the baseline.
const BASELINE_WEIGHT: f64 = 0.1;

/// A call that has ended.
#[value]
pub struct Spent {
    /// How long it ran.
    pub elapsed: Duration,
    /// How long it ran without the calls that it made to other services.
    pub own: Duration,
}

/// Follows the number of calls that a backend server can run at once.
pub trait Limit: Debug + Send {
    /// Calls that may run at once.
    fn current(&self) -> usize;

    /// Takes over a new ceiling.
    fn resize(&mut self, ceiling: usize);

    /// Takes note of a call that ended while `running` calls ran, itself included.
    fn observe(&mut self, spent: &Spent, running: usize, now: Instant);
}

/// A limit that stays at its ceiling.
#[derive(Debug)]
pub struct FixedLimit(pub usize);

impl Limit for FixedLimit {
    fn current(&self) -> usize {
        self.0
    }

    fn resize(&mut self, ceiling: usize) {
        self.0 = ceiling;
    }

    fn observe(&mut self, _: &Spent, _: usize, _: Instant) {}
}

/// The way in which a limit answers to a window's latency.
#[value]
#[derive(Copy)]
pub enum Answering {
    /// Adds one, or takes a fixed part away.
    Aimd,
    /// Takes away in proportion to the latency, and adds a square root.
    Gradient,
}

/// A limit that falls while latency is above its baseline, and rises otherwise.
///
/// A decrease that doesn't shorten latency shows that concurrency isn't the cause; the baseline
/// then moves up, so that a slow backend server keeps its slots.
#[derive(Debug)]
pub struct LatencyLimit {
    answering: Answering,
    ceiling: usize,
    level: f64,
    baseline: Option<f64>,
    window: Window,
    /// Latency before the last decrease, if the window right after it isn't over.
    before: Option<f64>,
    changed: Option<Instant>,
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
    pub fn open(answering: Answering, ceiling: usize) -> Self {
        Self {
            answering,
            ceiling,
            level: ceiling as f64,
            baseline: None,
            window: Window::default(),
            before: None,
            changed: None,
        }
    }

    fn close_window(&mut self, now: Instant) {
        let window = std::mem::take(&mut self.window);
        let latency = window.seconds / f64::from(window.count);
        let vain = self
            .before
            .take()
            .is_some_and(|before| latency > before * IN_VAIN);
        let baseline = match self.baseline {
            Some(baseline) if vain => baseline.max(latency),
            Some(baseline) if latency < baseline || window.peak < self.current() => {
                baseline + (latency - baseline) * BASELINE_WEIGHT
            }
            Some(baseline) => baseline,
            None => latency,
        };
        self.baseline = Some(baseline);
        let floor = (self.ceiling as f64).min(1.0);
        if latency > baseline * TOLERANCE {
            self.before = Some(latency);
            self.changed = Some(now);
            self.level = (self.level * self.part(latency, baseline)).max(floor);
        } else if window.peak + 1 >= self.current() {
            self.level = (self.level + self.step()).min(self.ceiling as f64);
        }
    }

    /// Part of the limit that's left after a window that was too slow.
    fn part(&self, latency: f64, baseline: f64) -> f64 {
        match self.answering {
            Answering::Aimd => DECREASE,
            Answering::Gradient => (baseline * TOLERANCE / latency).max(GRADIENT_FLOOR),
        }
    }

    fn step(&self) -> f64 {
        match self.answering {
            Answering::Aimd => 1.0,
            Answering::Gradient => self.level.sqrt(),
        }
    }
}

impl Limit for LatencyLimit {
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

    fn observe(&mut self, spent: &Spent, running: usize, now: Instant) {
        // A call that began under the former limit says nothing about the present one.
        let began = now.checked_sub(spent.elapsed);
        if self.changed.is_some_and(|changed| began < Some(changed)) {
            return;
        }
        let window = &mut self.window;
        let opened = *window.began.get_or_insert(now);
        window.count += 1;
        window.seconds += spent.own.as_secs_f64();
        window.peak = window.peak.max(running);
        let long = now.saturating_duration_since(opened) >= WINDOW;
        if long && window.count >= WINDOW_SAMPLES {
            self.close_window(now);
        }
    }
}
