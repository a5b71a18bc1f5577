//! Burn rates and what's left of the budgets.

use std::time::Duration;

use filbertwheel_core::Text;
use serde::Serialize;

use crate::{BurnSettings, History, Objective, ObjectiveKind, Window};

/// Name of the counter of calls.
const CALLS_TOTAL: &str = "filbertwheel_calls_total";
/// Name of the counters of whole answers by their time.
const DURATION_BUCKETS: &str = "filbertwheel_call_duration_seconds_bucket";
/// Name of the counter of whole answers that have a time.
const DURATION_COUNT: &str = "filbertwheel_call_duration_seconds_count";
/// Reasons that lie with the caller, and so spend no budget.
const CALLER_REASONS: [&str; 8] = [
    "no-key",
    "bad-key",
    "bad-token",
    "malformed",
    "too-large",
    "no-route",
    "over-rate",
    "repeated",
];
/// Difference of burn rates that comes from rounding alone.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// Points of a chart.
const CHART_POINTS: u32 = 120;

/// Where all objectives stand.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Seconds from the first to the last scrape.
    pub covered_s: u64,
    /// Seconds that a budget covers.
    pub budget_s: u64,
    /// An objective each.
    #[serde(rename = "lines")]
    pub objectives: Vec<ObjectiveReport>,
}

/// Where one objective stands.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ObjectiveReport {
    /// Name of the objective.
    pub name: Text,
    /// The service.
    pub service: Text,
    /// The organisation, or all together.
    pub organisation: Option<Text>,
    /// What it counts as good.
    pub kind: ObjectiveKind,
    /// Milliseconds within which an answer is good.
    pub threshold_ms: Option<u64>,
    /// Portion that must be good.
    pub target: f64,
    /// Calls that counted.
    pub total: f64,
    /// Calls that weren't good.
    pub bad: f64,
    /// Portion of the budget that's left; below 0 where it's overspent. Traffic outside the
    /// scrapes counts as even and good.
    #[serde(rename = "left")]
    pub budget_left: f64,
    /// Burn rates over each pair of windows.
    pub burns: Vec<WindowBurn>,
    /// Burn rate over time, in the first pair's short window.
    pub chart: Vec<Point>,
}

/// Burn rates over a pair of windows. A rate of 1 spends the budget exactly in its period.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct WindowBurn {
    /// Name of the alert.
    pub name: Text,
    /// Seconds of the long window.
    pub long_s: u64,
    /// Burn rate in the long window.
    pub long: f64,
    /// Seconds of the short window.
    pub short_s: u64,
    /// Burn rate in the short window.
    pub short: f64,
    /// Rate above which both windows alert.
    pub limit: f64,
    /// Whether both windows are above the limit.
    pub alert: bool,
    /// Whether the scrapes cover less than the long window.
    pub partial: bool,
}

/// A burn rate at one time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Point {
    /// Seconds since the first scrape.
    pub at_s: f64,
    /// Burn rate.
    pub burn: f64,
}

/// Calls that weren't good, of all that counted.
#[derive(Debug, Clone, Copy)]
struct CallCounts {
    bad: f64,
    total: f64,
}

/// Computes where all objectives stand at the last scrape.
pub fn build_report(settings: &BurnSettings, history: &History) -> Report {
    let covered = history.end().saturating_sub(history.start());
    let objectives = settings.objective.iter();
    Report {
        covered_s: covered.as_secs(),
        budget_s: settings.budget_s,
        objectives: objectives
            .map(|objective| objective_report(settings, objective, history))
            .collect(),
    }
}

impl Report {
    /// Whether any objective alerts.
    pub fn has_alert(&self) -> bool {
        let mut burns = self.objectives.iter().flat_map(|line| &line.burns);
        burns.any(|burn| burn.alert)
    }
}

fn objective_report(
    settings: &BurnSettings,
    objective: &Objective,
    history: &History,
) -> ObjectiveReport {
    let counts = count_calls(objective, history, history.end(), settings.budget());
    let covered = history.end().saturating_sub(history.start());
    let covered = covered.min(settings.budget()).as_secs_f64() / settings.budget().as_secs_f64();
    let windows = settings.window.iter();
    ObjectiveReport {
        name: objective.name.clone(),
        service: objective.service.clone(),
        organisation: objective.organisation.clone(),
        kind: objective.kind,
        threshold_ms: objective.threshold_ms,
        target: objective.target,
        total: counts.total,
        bad: counts.bad,
        budget_left: 1.0 - counts.burn_rate(objective.target) * covered,
        burns: windows
            .map(|window| window_burn(window, objective, history))
            .collect(),
        chart: burn_chart(settings, objective, history),
    }
}

fn window_burn(window: &Window, objective: &Objective, history: &History) -> WindowBurn {
    let rate = |seconds| {
        let window = Duration::from_secs(seconds);
        count_calls(objective, history, history.end(), window).burn_rate(objective.target)
    };
    let (long, short) = (rate(window.long_s), rate(window.short_s));
    let covered = history.end().saturating_sub(history.start());
    WindowBurn {
        name: window.name.clone(),
        long_s: window.long_s,
        long,
        short_s: window.short_s,
        short,
        limit: window.burn,
        alert: [long, short]
            .iter()
            .all(|rate| *rate > window.burn + ROUNDING_TOLERANCE),
        partial: covered < Duration::from_secs(window.long_s),
    }
}

fn burn_chart(settings: &BurnSettings, objective: &Objective, history: &History) -> Vec<Point> {
    let Some(window) = settings.window.first() else {
        return Vec::new();
    };
    let covered = history.end().saturating_sub(history.start());
    let window = Duration::from_secs(window.short_s);
    (0..=CHART_POINTS)
        .map(|index| {
            let after = covered * index / CHART_POINTS;
            let counts = count_calls(objective, history, history.start() + after, window);
            Point {
                at_s: after.as_secs_f64(),
                burn: counts.burn_rate(objective.target),
            }
        })
        .collect()
}

impl CallCounts {
    /// How many times faster than allowed the budget is spent.
    fn burn_rate(self, target: f64) -> f64 {
        if self.total > 0.0 {
            self.bad / self.total / (1.0 - target)
        } else {
            0.0
        }
    }
}

fn count_calls(
    objective: &Objective,
    history: &History,
    end: Duration,
    window: Duration,
) -> CallCounts {
    let service = objective.service.to_string();
    let organisation = objective.organisation.as_ref().map(ToString::to_string);
    let mut labels = vec![("service", service.as_str())];
    labels.extend(
        organisation
            .iter()
            .map(|name| ("organisation", name.as_str())),
    );
    let increase = |name, more: &[(&str, &str)]| {
        let wanted = [&[("", name)], labels.as_slice(), more].concat();
        history.increase(&wanted, end, window)
    };
    match objective.kind {
        ObjectiveKind::Availability => {
            let caller_errors =
                CALLER_REASONS.map(|reason| increase(CALLS_TOTAL, &[("reason", reason)]));
            let total = increase(CALLS_TOTAL, &[]) - caller_errors.iter().sum::<f64>();
            let bad = total - increase(CALLS_TOTAL, &[("outcome", "whole")]);
            CallCounts { bad, total }
        }
        ObjectiveKind::Latency => {
            let total = increase(DURATION_COUNT, &[]);
            let bound = bucket_bound(objective, history);
            let good = bound.map_or(0.0, |bound| increase(DURATION_BUCKETS, &[("le", &bound)]));
            let bad = total - good;
            CallCounts { bad, total }
        }
    }
}

/// The largest bound of a bucket that isn't above the threshold.
fn bucket_bound(objective: &Objective, history: &History) -> Option<String> {
    let threshold = objective.threshold_ms? as f64 / 1_000.0;
    let bounds = history.values("le", &[("", DURATION_BUCKETS)]).into_iter();
    bounds
        .filter_map(|bound| Some((bound.parse::<f64>().ok()?, bound)))
        .filter(|(seconds, _)| *seconds <= threshold)
        .max_by(|(left, _), (right, _)| left.total_cmp(right))
        .map(|(_, bound)| bound)
}
