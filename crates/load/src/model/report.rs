//! Report of a run, as JSON and as HTML.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use filbertwheel_core::Criticality;
use serde::Serialize;

use super::arrivals::{GREEDY_ORGANISATION, best_rate, full_rate, steady_rate};
use super::plot::{Line, plot};
use super::profile::{ORGANISATION_PARTS, SCALE};
use super::situation::{DISTURBANCE_END, DISTURBANCE_START, RUN_LENGTH, Situation};
use super::tally::{BIN, Bin, FailureKind, Tally};
use super::world::{RATE_MARGIN, Setup};

/// Part of the requests that must succeed for the fleet to count as recovered.
const RECOVERY_PART: f64 = 0.95;
/// Number of consecutive bins in which `RECOVERY_PART` must be reached.
const RECOVERY_BINS: usize = 4;
/// Time after the start of the disturbance that is excluded from its goodput.
const SETTLING_TIME: Duration = Duration::from_secs(2);
/// Time before the end of the run in which requests may still be in flight.
const TAIL_TIME: Duration = Duration::from_secs(4);

/// Report of a run.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Name of the deployment.
    pub profile: String,
    /// Name of the overload policy.
    pub policy: String,
    /// Name of the situation.
    pub situation: String,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Divisor of the slots of each backend server.
    pub scale: u32,
    /// Requests per second at which the bottleneck service is fully occupied.
    pub full_rate: f64,
    /// Complete responses per second during the disturbance.
    pub goodput: f64,
    /// Goodput as a part of the maximum that the capacity allows.
    pub goodput_of_best: f64,
    /// Seconds from the end of the disturbance until recovery, if the fleet recovered.
    pub recovery_s: Option<f64>,
    /// Smallest part of requests that succeeded for an organisation within its rate limit.
    pub worst_organisation: f64,
    /// Attempts refused by a gate, a cut-off or a rate limit, as a part of all attempts.
    pub refused_part: f64,
    /// Part of the work that was done for attempts that failed.
    pub wasted_part: f64,
    /// Maximum number of retries inside the fleet for one attempt by a caller.
    pub most_retries: u32,
    /// Attempts by callers per request.
    pub attempts_per_request: f64,
    /// Part of the requests sent during the disturbance that succeeded, by criticality.
    pub classes: BTreeMap<Criticality, f64>,
    /// Time series of the run.
    pub samples: Vec<Sample>,
}

/// Figures of one bin.
#[derive(Debug, Serialize)]
pub struct Sample {
    /// Seconds from the start of the run.
    pub at_s: f64,
    /// Scheduled requests per second.
    pub asked: f64,
    /// Complete responses per second.
    pub goodput: f64,
    /// Median latency of complete responses in seconds, from the scheduled send time.
    pub p50_s: f64,
    /// 99th percentile of the same latency.
    pub p99_s: f64,
    /// Attempts by callers per scheduled request.
    pub attempts: f64,
    /// Failed attempts per second, by kind.
    pub misses: BTreeMap<FailureKind, f64>,
    /// Part of each organisation's requests that succeeded.
    pub organisations: Vec<f64>,
}

impl Report {
    /// Summarises the counts of a run.
    pub fn new(setup: Setup, tally: &Tally) -> Self {
        let profile = setup.profile;
        let disturbed = bins(tally, DISTURBANCE_START, DISTURBANCE_END);
        let settled = bins(tally, DISTURBANCE_START + SETTLING_TIME, DISTURBANCE_END);
        let seconds = settled.len() as f64 * BIN.as_secs_f64();
        let completed: u64 = settled.iter().map(|bin| bin.completed).sum();
        let goodput = completed as f64 / seconds;
        let best = best_rate(
            profile,
            setup.situation,
            DISTURBANCE_START + SETTLING_TIME,
            rate_within_limits(setup),
        );
        let attempts: u64 = tally.bins.iter().map(|bin| bin.attempts).sum();
        let asked: u64 = tally.bins.iter().map(|bin| bin.offered).sum();
        let refused: u64 = tally.bins.iter().map(refusals).sum();
        let classes = tally.classes.iter();
        Self {
            profile: profile.to_string(),
            policy: setup.policy.to_string(),
            situation: setup.situation.to_string(),
            seed: setup.seed,
            scale: SCALE,
            full_rate: full_rate(profile),
            goodput,
            goodput_of_best: goodput / best,
            recovery_s: recovery(tally),
            worst_organisation: worst_organisation(setup.situation, disturbed),
            refused_part: part(refused, attempts),
            wasted_part: tally.wasted_seconds / (tally.wasted_seconds + tally.useful_seconds),
            most_retries: tally.most_retries,
            attempts_per_request: part(attempts, asked),
            classes: classes
                .map(|(class, (asked, whole))| (*class, part(*whole, *asked)))
                .collect(),
            samples: tally.bins.iter().enumerate().map(sample).collect(),
        }
    }
}

/// Returns the demand during the disturbance that is within the organisations' rate limits, in
/// requests per second.
fn rate_within_limits(setup: Setup) -> f64 {
    let parts = ORGANISATION_PARTS.iter().enumerate();
    let factor: f64 = parts
        .map(|(index, part)| {
            let limit = RATE_MARGIN * setup.situation.limit_factor();
            part * setup
                .situation
                .demand_factor(DISTURBANCE_START, index == GREEDY_ORGANISATION)
                .min(limit)
        })
        .sum();
    steady_rate(setup.profile) * factor
}

fn bins(tally: &Tally, from: Duration, to: Duration) -> &[Bin] {
    let index = |at: Duration| (at.as_nanos() / BIN.as_nanos()) as usize;
    let end = index(to).min(tally.bins.len());
    &tally.bins[index(from).min(end)..end]
}

fn recovery(tally: &Tally) -> Option<f64> {
    let after = bins(tally, DISTURBANCE_END, RUN_LENGTH - TAIL_TIME);
    let is_recovered = |bin: &Bin| bin.succeeded as f64 >= bin.offered as f64 * RECOVERY_PART;
    let first = after
        .windows(RECOVERY_BINS)
        .position(|window| window.iter().all(is_recovered))?;
    Some(first as f64 * BIN.as_secs_f64())
}

fn worst_organisation(situation: Situation, bins: &[Bin]) -> f64 {
    let organisations = 0..ORGANISATION_PARTS.len();
    organisations
        .filter(|index| situation != Situation::Greedy || *index != GREEDY_ORGANISATION)
        .map(|index| {
            let asked = bins.iter().map(|bin| bin.organisations[index].0).sum();
            let whole = bins.iter().map(|bin| bin.organisations[index].1).sum();
            part(whole, asked)
        })
        .fold(1.0, f64::min)
}

fn refusals(bin: &Bin) -> u64 {
    let kinds = [
        FailureKind::Overloaded,
        FailureKind::CutOff,
        FailureKind::OverRate,
    ];
    kinds.iter().filter_map(|kind| bin.misses.get(kind)).sum()
}

fn part(count: u64, of: u64) -> f64 {
    if of == 0 {
        return 1.0;
    }
    count as f64 / of as f64
}

fn sample((index, bin): (usize, &Bin)) -> Sample {
    let second = |count: u64| count as f64 / BIN.as_secs_f64();
    let mut latencies = bin.latencies.clone();
    latencies.sort_by(f64::total_cmp);
    let at = |quantile: f64| {
        let last = latencies.len().saturating_sub(1) as f64;
        let index = (last * quantile) as usize;
        latencies.get(index).copied().unwrap_or_default()
    };
    let misses = bin.misses.iter();
    Sample {
        at_s: index as f64 * BIN.as_secs_f64(),
        asked: second(bin.offered),
        goodput: second(bin.completed),
        p50_s: at(0.5),
        p99_s: at(0.99),
        attempts: part(bin.attempts, bin.offered),
        misses: misses
            .map(|(kind, count)| (*kind, second(*count)))
            .collect(),
        organisations: bin
            .organisations
            .iter()
            .map(|(a, w)| part(*w, *a))
            .collect(),
    }
}

/// Returns an HTML page with plots that compare `reports`.
pub fn html(reports: &[Report]) -> String {
    let mut page = String::from("<!doctype html><meta charset=\"utf-8\"><title>Model runs</title>");
    page.push_str(
        "<style>body{font-family:sans-serif}td,th{padding:2px 8px;text-align:right}</style>",
    );
    page.push_str(&table(reports));
    page.push_str(&plot_all(reports, "Whole requests a second", |s| s.goodput));
    page.push_str(&plot_all(reports, "Latency of 99 in 100, seconds", |s| {
        s.p99_s
    }));
    page.push_str(&plot_all(
        reports,
        "Attempts of callers for each request",
        |s| s.attempts,
    ));
    for report in reports {
        page.push_str(&failure_plot(report));
        page.push_str(&organisation_plot(report));
    }
    page
}

fn table(reports: &[Report]) -> String {
    let mut rows = String::from(
        "<table><tr><th>profile<th>situation<th>policy<th>seed<th>goodput/s<th>of best\
         <th>recovery s<th>worst organisation<th>refused<th>wasted<th>most retries</tr>",
    );
    for r in reports {
        let recovery = r.recovery_s.map_or("none".into(), |s| format!("{s:.2}"));
        let _infallible = write!(
            rows,
            "<tr><td>{}<td>{}<td>{}<td>{}<td>{:.0}<td>{:.3}<td>{recovery}<td>{:.3}<td>{:.4}<td>{:.4}<td>{}</tr>",
            r.profile,
            r.situation,
            r.policy,
            r.seed,
            r.goodput,
            r.goodput_of_best,
            r.worst_organisation,
            r.refused_part,
            r.wasted_part,
            r.most_retries,
        );
    }
    rows + "</table>"
}

fn plot_all(reports: &[Report], title: &str, value: impl Fn(&Sample) -> f64) -> String {
    let lines = reports.iter().map(|report| {
        let points = report.samples.iter().map(|s| (s.at_s, value(s))).collect();
        Line {
            name: report.policy.clone(),
            points,
        }
    });
    plot(title, &lines.collect::<Vec<_>>())
}

fn failure_plot(report: &Report) -> String {
    let kinds = [
        FailureKind::Overloaded,
        FailureKind::CutOff,
        FailureKind::OverRate,
        FailureKind::TimedOut,
        FailureKind::Lost,
    ];
    let lines = kinds.map(|kind| {
        let samples = report.samples.iter();
        let value = |s: &Sample| s.misses.get(&kind).copied().unwrap_or_default();
        Line {
            name: format!("{kind:?}"),
            points: samples.map(|s| (s.at_s, value(s))).collect(),
        }
    });
    plot(&format!("Misses a second, {}", report.policy), &lines)
}

fn organisation_plot(report: &Report) -> String {
    let lines = (0..ORGANISATION_PARTS.len()).map(|index| Line {
        name: format!("organisation {index}"),
        points: report
            .samples
            .iter()
            .map(|s| (s.at_s, s.organisations[index]))
            .collect(),
    });
    let title = format!("Part answered by organisation, {}", report.policy);
    plot(&title, &lines.collect::<Vec<_>>())
}
