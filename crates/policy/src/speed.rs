//! Speed of one backend server, apart from what its calls cost by nature.
//!
//! Runs show how fast it is over many of them. What it states in its responses shows how fast it is
//! now, as a deviation from its own mean: so it doesn't matter whether the figure holds the usual
//! speed of the server too, nor what it counts in.

use std::time::{Duration, Instant};

/// How long after a response the slowness that it states still counts. Its weight fades linearly.
const STATED_LIFETIME: Duration = Duration::from_millis(500);
/// Largest factor by which a stated slowness changes the measured one.
const MAX_DEVIATION: f64 = 8.0;
/// Range of the slowness of a server.
const MIN_SLOWNESS: f64 = 0.1;
const MAX_SLOWNESS: f64 = 20.0;
/// Weight of the newest run if the server states its slowness, which shows changes sooner.
const RUN_WEIGHT_STATED: f64 = 0.05;
/// Weight of the newest run if it states none.
const RUN_WEIGHT: f64 = 0.08;
/// A run counts as at most this many times the present estimate, since a few long runs among many are
/// not the server's doing.
const MAX_OUTLIER: f64 = 3.0;
/// Weight of the newest run in the comparison of both estimates.
const TRUST_WEIGHT: f64 = 0.05;
/// Mean logarithmic error that a stated slowness may add before it is no longer believed.
const MAX_ADDED_ERROR: f64 = 0.1;
/// How long after the last run the measured slowness stays. Then it decays by half in each half-life,
/// so that a server that gets no calls because of it gets some again.
const HOLD_TIME: Duration = Duration::from_millis(300);
const HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Slowness of a backend server, where 1 is the mean over all servers of its service.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    /// Smoothed ratio of run times to expected ones.
    usual: f64,
    /// Smoothed stated slowness, over the same runs as `usual`.
    stated_mean: Option<f64>,
    stated: Option<(f64, Instant)>,
    /// Smoothed error of the estimate with what is stated, less that of the one without it.
    added_error: f64,
    last_run: Instant,
}

impl Speed {
    /// Creates the state of a server of which nothing is known.
    pub fn open(now: Instant) -> Self {
        Self {
            usual: 1.0,
            stated_mean: None,
            stated: None,
            added_error: 0.0,
            last_run: now,
        }
    }

    /// Records the slowness that a response states. Figures that can't be right are ignored.
    pub fn record_stated(&mut self, slowness: f32, now: Instant) {
        let slowness = f64::from(slowness);
        if slowness.is_finite() && slowness > 0.0 {
            self.stated = Some((slowness, now));
        }
    }

    /// Records a run that took `ratio` times as long as expected.
    pub fn record_run(&mut self, ratio: f64, now: Instant) {
        if !ratio.is_finite() || ratio < 0.0 {
            return;
        }
        self.compare(ratio, now);
        self.usual = self.usual(now);
        self.last_run = now;
        let stated = self.fresh(now).map(|(stated, _)| stated);
        let weight = match stated {
            Some(_) => RUN_WEIGHT_STATED,
            None => RUN_WEIGHT,
        };
        let ratio = ratio.min(self.usual * MAX_OUTLIER);
        self.usual += (ratio - self.usual) * weight;
        self.usual = self.usual.clamp(MIN_SLOWNESS, MAX_SLOWNESS);
        if let Some(stated) = stated {
            let mean = self.stated_mean.get_or_insert(stated);
            *mean += (stated - *mean) * weight;
        }
    }

    /// Returns the slowness that its runs show on average.
    pub fn usual(&self, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.last_run);
        let idle = idle.saturating_sub(HOLD_TIME);
        let weight = 0.5_f64.powf(idle.as_secs_f64() / HALF_LIFE.as_secs_f64());
        1.0 + (self.usual - 1.0) * weight
    }

    /// Returns the present slowness: the usual one, changed by what was stated last if that has
    /// predicted runs.
    pub fn present(&self, now: Instant) -> f64 {
        if self.added_error > MAX_ADDED_ERROR {
            return self.usual(now);
        }
        self.present_as_stated(now)
    }

    fn present_as_stated(&self, now: Instant) -> f64 {
        let usual = self.usual(now);
        let (Some((stated, weight)), Some(mean)) = (self.fresh(now), self.stated_mean) else {
            return usual;
        };
        let deviation = (stated / mean).clamp(1.0 / MAX_DEVIATION, MAX_DEVIATION);
        let present = usual * (1.0 + (deviation - 1.0) * weight);
        present.clamp(MIN_SLOWNESS, MAX_SLOWNESS)
    }

    /// Records whether what was stated has brought the estimate nearer to a run.
    fn compare(&mut self, ratio: f64, now: Instant) {
        let error = |estimate: f64| (ratio.max(MIN_SLOWNESS) / estimate).ln().abs();
        let added = error(self.present_as_stated(now)) - error(self.usual(now));
        self.added_error += (added - self.added_error) * TRUST_WEIGHT;
    }

    /// Returns what was stated last and its weight, if it still counts.
    fn fresh(&self, now: Instant) -> Option<(f64, f64)> {
        let (stated, at) = self.stated?;
        let weight = freshness(now.saturating_duration_since(at));
        (weight > 0.0).then_some((stated, weight))
    }
}

/// Returns the weight, from 1 to 0, of a stated slowness that is this old.
pub(crate) fn freshness(age: Duration) -> f64 {
    1.0 - (age.as_secs_f64() / STATED_LIFETIME.as_secs_f64()).min(1.0)
}
