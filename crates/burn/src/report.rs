//! Burn rates and remaining error budgets.

use std::time::Duration;

use filbertwheel_core::Text;
use serde::Serialize;

use crate::{BurnSettings, History, Objective, ObjectiveKind, Window};

/// Counter of calls by outcome and reason.
const CALLS_TOTAL: &str = "filbertwheel_calls_total";
/// Histogram buckets of the durations of complete responses.
const DURATION_BUCKETS: &str = "filbertwheel_call_duration_seconds_bucket";
/// Number of complete responses in the histogram.
const DURATION_COUNT: &str = "filbertwheel_call_duration_seconds_count";
/// Refusal reasons that are the caller's fault, and so spend no error budget.
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
/// Difference of burn rates that rounding alone can cause.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// Number of intervals between the points of a chart.
const CHART_POINTS: u32 = 120;

/// Burn rates and error budgets of all objectives.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Seconds from the first to the last scrape.
    pub covered_s: u64,
    /// Budget period in seconds.
    pub budget_s: u64,
    /// Report of each objective.
    #[serde(rename = "lines")]
    pub objectives: Vec<ObjectiveReport>,
}

/// Burn rates and error budget of one objective.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ObjectiveReport {
    /// Name of the objective.
    pub name: Text,
    /// The service.
    pub service: Text,
    /// The organisation; all organisations if absent.
    pub organisation: Option<Text>,
    /// What the objective measures.
    pub kind: ObjectiveKind,
    /// Maximum duration in milliseconds of a response that meets the objective.
    pub threshold_ms: Option<u64>,
    /// Fraction of calls that must meet the objective.
    pub target: f64,
    /// Number of calls that count towards the objective.
    pub total: f64,
    /// Number of calls that missed the objective.
    pub bad: f64,
    /// Fraction of the error budget that is left; negative if overspent. The part of the period
    /// that the scrapes do not cover is assumed to have the same traffic without misses.
    #[serde(rename = "left")]
    pub budget_left: f64,
    /// Burn rates of each pair of windows.
    pub burns: Vec<WindowBurn>,
    /// Burn rate over time, in the short window of the first pair.
    pub chart: Vec<Point>,
}

/// Burn rates of a pair of windows. A rate of 1 spends the budget in exactly its period.
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
    /// Burn rate that both windows must exceed to alert.
    pub limit: f64,
    /// Whether both windows exceed the limit.
    pub alert: bool,
    /// Whether the scrapes cover only part of the long window.
    pub partial: bool,
}

/// The burn rate at one time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Point {
    /// Seconds since the first scrape.
    pub at_s: f64,
    /// Burn rate.
    pub burn: f64,
}

/// Number of calls that missed an objective, and of all that count towards it.
#[derive(Debug, Clone, Copy)]
struct CallCounts {
    bad: f64,
    total: f64,
}

/// Computes the report as of the last scrape.
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
    /// Returns whether the alert of any objective fires.
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
    /// Returns the ratio of the share of misses to the share that the target allows.
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

/// Returns the largest bucket bound up to the threshold, as it is written in the metrics.
fn bucket_bound(objective: &Objective, history: &History) -> Option<String> {
    let threshold = objective.threshold_ms? as f64 / 1_000.0;
    let bounds = history.values("le", &[("", DURATION_BUCKETS)]).into_iter();
    bounds
        .filter_map(|bound| Some((bound.parse::<f64>().ok()?, bound)))
        .filter(|(seconds, _)| *seconds <= threshold)
        .max_by(|(left, _), (right, _)| left.total_cmp(right))
        .map(|(_, bound)| bound)
}
