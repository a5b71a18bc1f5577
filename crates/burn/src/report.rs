//! Burn rates and what's left of the budgets.

use std::time::Duration;

use filbertwheel_core::Text;
use serde::Serialize;

use crate::{BurnSettings, History, Kind, Objective, Window};

/// Name of the counter of calls.
const CALLS: &str = "filbertwheel_calls_total";
/// Name of the counters of whole answers by their time.
const BUCKETS: &str = "filbertwheel_call_duration_seconds_bucket";
/// Name of the counter of whole answers that have a time.
const TIMED: &str = "filbertwheel_call_duration_seconds_count";
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
const TOLERANCE: f64 = 1e-9;
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
    pub lines: Vec<Line>,
}

/// Where one objective stands.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Line {
    /// Name of the objective.
    pub name: Text,
    /// The service.
    pub service: Text,
    /// The organisation, or all together.
    pub organisation: Option<Text>,
    /// What it counts as good.
    pub kind: Kind,
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
    pub left: f64,
    /// Burn rates over each pair of windows.
    pub burns: Vec<Burn>,
    /// Burn rate over time, in the first pair's short window.
    pub chart: Vec<Point>,
}

/// Burn rates over a pair of windows. A rate of 1 spends the budget exactly in its period.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Burn {
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
struct Tally {
    bad: f64,
    total: f64,
}

/// Computes where all objectives stand at the last scrape.
pub fn report(settings: &BurnSettings, history: &History) -> Report {
    let covered = history.end().saturating_sub(history.start());
    let objectives = settings.objective.iter();
    Report {
        covered_s: covered.as_secs(),
        budget_s: settings.budget_s,
        lines: objectives
            .map(|objective| line(settings, objective, history))
            .collect(),
    }
}

impl Report {
    /// Whether any objective alerts.
    pub fn alerts(&self) -> bool {
        let mut burns = self.lines.iter().flat_map(|line| &line.burns);
        burns.any(|burn| burn.alert)
    }
}

fn line(settings: &BurnSettings, objective: &Objective, history: &History) -> Line {
    let spent = tally(objective, history, history.end(), settings.budget());
    let covered = history.end().saturating_sub(history.start());
    let covered = covered.min(settings.budget()).as_secs_f64() / settings.budget().as_secs_f64();
    let windows = settings.window.iter();
    Line {
        name: objective.name.clone(),
        service: objective.service.clone(),
        organisation: objective.organisation.clone(),
        kind: objective.kind,
        threshold_ms: objective.threshold_ms,
        target: objective.target,
        total: spent.total,
        bad: spent.bad,
        left: 1.0 - spent.burn(objective.target) * covered,
        burns: windows
            .map(|window| burn(window, objective, history))
            .collect(),
        chart: chart(settings, objective, history),
    }
}

fn burn(window: &Window, objective: &Objective, history: &History) -> Burn {
    let rate = |seconds| {
        let window = Duration::from_secs(seconds);
        tally(objective, history, history.end(), window).burn(objective.target)
    };
    let (long, short) = (rate(window.long_s), rate(window.short_s));
    let covered = history.end().saturating_sub(history.start());
    Burn {
        name: window.name.clone(),
        long_s: window.long_s,
        long,
        short_s: window.short_s,
        short,
        limit: window.burn,
        alert: [long, short]
            .iter()
            .all(|rate| *rate > window.burn + TOLERANCE),
        partial: covered < Duration::from_secs(window.long_s),
    }
}

fn chart(settings: &BurnSettings, objective: &Objective, history: &History) -> Vec<Point> {
    let Some(window) = settings.window.first() else {
        return Vec::new();
    };
    let covered = history.end().saturating_sub(history.start());
    let window = Duration::from_secs(window.short_s);
    (0..=CHART_POINTS)
        .map(|index| {
            let after = covered * index / CHART_POINTS;
            let tally = tally(objective, history, history.start() + after, window);
            Point {
                at_s: after.as_secs_f64(),
                burn: tally.burn(objective.target),
            }
        })
        .collect()
}

impl Tally {
    /// How many times faster than allowed the budget is spent.
    fn burn(self, target: f64) -> f64 {
        if self.total > 0.0 {
            self.bad / self.total / (1.0 - target)
        } else {
            0.0
        }
    }
}

fn tally(objective: &Objective, history: &History, end: Duration, window: Duration) -> Tally {
    let service = objective.service.to_string();
    let organisation = objective.organisation.as_ref().map(ToString::to_string);
    let mut labels = vec![("service", service.as_str())];
    labels.extend(
        organisation
            .iter()
            .map(|name| ("organisation", name.as_str())),
    );
    let gain = |name, more: &[(&str, &str)]| {
        let wanted = [&[("", name)], labels.as_slice(), more].concat();
        history.gain(&wanted, end, window)
    };
    match objective.kind {
        Kind::Availability => {
            let theirs = CALLER_REASONS.map(|reason| gain(CALLS, &[("reason", reason)]));
            let total = gain(CALLS, &[]) - theirs.iter().sum::<f64>();
            let bad = total - gain(CALLS, &[("outcome", "whole")]);
            Tally { bad, total }
        }
        Kind::Latency => {
            let total = gain(TIMED, &[]);
            let bound = bound(objective, history);
            let good = bound.map_or(0.0, |bound| gain(BUCKETS, &[("le", &bound)]));
            let bad = total - good;
            Tally { bad, total }
        }
    }
}

/// The largest bound of a bucket that isn't above the threshold.
fn bound(objective: &Objective, history: &History) -> Option<String> {
    let threshold = objective.threshold_ms? as f64 / 1_000.0;
    let bounds = history.values("le", &[("", BUCKETS)]).into_iter();
    bounds
        .filter_map(|bound| Some((bound.parse::<f64>().ok()?, bound)))
        .filter(|(seconds, _)| *seconds <= threshold)
        .max_by(|(left, _), (right, _)| left.total_cmp(right))
        .map(|(_, bound)| bound)
}
