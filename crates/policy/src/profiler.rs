//! Estimates which calls the runs of each route make at one backend server.
//!
//! The calls of a backend server carry no reference to the request that they belong to. Each node
//! attributes a call to the routes running at that time, in proportion to the estimated rate of
//! such calls per second of work. Repeated, this converges on the calls per run of each route
//! (expectation maximisation for a sum of Poisson processes). Time in which a run waits for a call
//! doesn't count as work: the run makes no other call in that time, so a slow service would lower
//! its estimated rate.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use filbertwheel_core::{RouteId, message};

/// Factor by which the weight of earlier observations decays per interval.
const DECAY_PER_INTERVAL: f64 = 0.85;
/// Calls, and seconds of work, that the estimate for a pair of routes starts with.
const PRIOR_WEIGHT: f64 = 0.05;
/// Minimum number of runs that calls are divided by.
pub(crate) const MIN_RUNS: f64 = 0.05;
/// Minimum number of finished runs, decayed, for a profile to be reported. Profiles are merged by
/// their runs, so that few runs at each of many nodes count as much as many at one.
const MIN_REPORTED_RUNS: f64 = 0.2;
/// Minimum fraction of the runs in progress that counts as working, for runs that make several
/// concurrent calls.
const MIN_WORKING_FRACTION: f64 = 0.02;
/// Calls per run below which a pair of routes is omitted.
pub(crate) const MIN_CALLS_PER_RUN: f64 = 0.02;

/// Estimates the calls and the duration of the runs at one backend server.
#[derive(Debug, Default)]
pub struct Profiler {
    routes: HashMap<RouteId, RouteStats>,
}

#[derive(Debug, Default)]
struct RouteStats {
    running: usize,
    /// Started runs, decayed.
    started_runs: f64,
    /// Finished runs, decayed.
    finished_runs: f64,
    /// Total duration of the finished runs in seconds, decayed.
    run_seconds: f64,
    /// Seconds of work up to `work_counted`, including runs in progress, decayed.
    work_seconds: f64,
    /// When `work_seconds` was last updated.
    work_counted: Option<Instant>,
    /// Calls in progress that are attributed to this route.
    pending_calls: f64,
    calls: HashMap<RouteId, f64>,
}

/// Call in progress, with the part attributed to each route that may have made it.
#[derive(Debug)]
pub struct PendingCall(Vec<(RouteId, f64)>);

/// Profile of a route as measured by one node.
#[message]
pub struct RouteProfile {
    /// Profiled route.
    pub route: RouteId,
    /// Number of finished runs that the profile is based on.
    pub runs: f32,
    /// Mean duration of a run in seconds.
    pub elapsed: f32,
    /// Mean number of calls per run, by the route of the call.
    pub calls: Vec<(RouteId, f32)>,
}

/// Longest mean run, and most calls per run, of a plausible profile.
const MAX_PROFILE_SECONDS: f32 = 3_600.0;
const MAX_PROFILE_CALLS: f32 = 10_000.0;

impl RouteProfile {
    /// Returns whether the figures can come from a measurement. Others would spoil the sums over
    /// all nodes.
    pub fn is_plausible(&self) -> bool {
        let calls = self.calls.iter().map(|(_, per_run)| *per_run);
        // Not a number is in no range.
        (0.0..=f32::MAX).contains(&self.runs)
            && (0.0..=MAX_PROFILE_SECONDS).contains(&self.elapsed)
            && calls
                .into_iter()
                .all(|calls| (0.0..=MAX_PROFILE_CALLS).contains(&calls))
    }
}

impl Profiler {
    /// Records the start of a run.
    pub fn begin_run(&mut self, route: &RouteId, now: Instant) {
        let stats = self.stats(route);
        stats.update_work(now);
        stats.running += 1;
        stats.started_runs += 1.0;
    }

    /// Records the end of a run. `elapsed` is `None` for an aborted run, which doesn't count
    /// towards the profile.
    pub fn end_run(&mut self, route: &RouteId, elapsed: Option<Duration>, now: Instant) {
        let stats = self.stats(route);
        stats.update_work(now);
        stats.running = stats.running.saturating_sub(1);
        if let Some(elapsed) = elapsed {
            stats.finished_runs += 1.0;
            stats.run_seconds += elapsed.as_secs_f64();
        }
    }

    /// Records a call that the backend server makes, and attributes it to the routes in progress.
    pub fn begin_call(&mut self, called: &RouteId, now: Instant) -> PendingCall {
        let running = self.routes.values_mut();
        running
            .filter(|stats| stats.running > 0)
            .for_each(|stats| stats.update_work(now));
        let weight = |stats: &RouteStats| {
            let calls = stats.calls.get(called).copied().unwrap_or_default();
            // Calls per second rather than per run, since long runs are in progress more often
            // anyway.
            stats.working_runs() * (calls + PRIOR_WEIGHT) / (stats.work_seconds + PRIOR_WEIGHT)
        };
        let total: f64 = self.routes.values().map(weight).sum();
        let mut parts = Vec::new();
        for (route, stats) in &mut self.routes {
            let part = weight(stats) / total;
            if part > 0.0 {
                *stats.calls.entry(called.clone()).or_default() += part;
                stats.pending_calls += part;
                parts.push((route.clone(), part));
            }
        }
        PendingCall(parts)
    }

    /// Records the return of a call.
    pub fn end_call(&mut self, pending: PendingCall, now: Instant) {
        for (route, part) in pending.0 {
            if let Some(stats) = self.routes.get_mut(&route) {
                stats.update_work(now);
                stats.pending_calls = (stats.pending_calls - part).max(0.0);
            }
        }
    }

    /// Decays the weight of earlier observations. Called once per interval.
    pub fn decay(&mut self) {
        for stats in self.routes.values_mut() {
            stats.started_runs *= DECAY_PER_INTERVAL;
            stats.finished_runs *= DECAY_PER_INTERVAL;
            stats.run_seconds *= DECAY_PER_INTERVAL;
            stats.work_seconds *= DECAY_PER_INTERVAL;
            stats
                .calls
                .values_mut()
                .for_each(|calls| *calls *= DECAY_PER_INTERVAL);
        }
        self.routes
            .retain(|_, stats| stats.running > 0 || stats.finished_runs > 0.1);
    }

    /// Returns the profiles of the routes with enough finished runs.
    pub fn profiles(&self) -> Vec<RouteProfile> {
        let known = self.routes.iter();
        known
            .filter(|(_, stats)| stats.finished_runs >= MIN_REPORTED_RUNS)
            .map(|(route, stats)| stats.profile(route))
            .collect()
    }

    /// Returns the mean duration of a run of a route at this backend server.
    pub fn mean_run_time(&self, route: &RouteId) -> Option<Duration> {
        let stats = self.routes.get(route)?;
        (stats.finished_runs > 0.0)
            .then(|| Duration::from_secs_f64(stats.run_seconds / stats.finished_runs))
    }

    fn stats(&mut self, route: &RouteId) -> &mut RouteStats {
        self.routes.entry(route.clone()).or_default()
    }
}

impl RouteStats {
    /// Adds the work of the runs in progress since the last update.
    fn update_work(&mut self, now: Instant) {
        if let Some(work_counted) = self.work_counted {
            let passed = now.saturating_duration_since(work_counted).as_secs_f64();
            self.work_seconds += passed * self.working_runs();
        }
        self.work_counted = Some(now);
    }

    /// Returns the number of runs that aren't waiting for a call.
    fn working_runs(&self) -> f64 {
        let running = self.running as f64;
        (running - self.pending_calls).max(running * MIN_WORKING_FRACTION)
    }

    fn profile(&self, route: &RouteId) -> RouteProfile {
        let calls = self.calls.iter().map(|(called, calls)| {
            // Runs in progress have made calls too, so the started runs are the divisor.
            (called.clone(), calls / self.started_runs.max(MIN_RUNS))
        });
        RouteProfile {
            route: route.clone(),
            runs: self.finished_runs as f32,
            elapsed: (self.run_seconds / self.finished_runs) as f32,
            calls: calls
                .filter(|(_, per_run)| *per_run >= MIN_CALLS_PER_RUN)
                .map(|(called, per_run)| (called, per_run as f32))
                .collect(),
        }
    }
}
