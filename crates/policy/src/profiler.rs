//! What the runs at one backend server call.
//!
//! The calls of a backend server carry no link to the request that they belong to. Each node
//! attributes a call to the routes that run beside it, in proportion to how many such calls their
//! runs were seen to make in a second of work. Repeated, this converges on what a run of each route
//! calls (expectation maximisation for a sum of Poisson processes). Time in which a run waits for a
//! call doesn't count as work, since it makes no other call then and a slow service would make it
//! look as if it called less.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use filbertwheel_core::{RouteId, message};

/// Weight that is left of what was learnt one interval ago.
const DECAY_PER_INTERVAL: f64 = 0.85;
/// Calls and seconds of work that an unknown pair of routes starts with.
const PRIOR_WEIGHT: f64 = 0.05;
/// Runs below which a route counts as unknown.
pub(crate) const MIN_RUNS: f64 = 0.05;
/// Ended runs after which a profile is worth telling.
const MIN_REPORTED_RUNS: f64 = 3.0;
/// Part of a run that counts as working at least, for runs that make several calls at once.
const MIN_WORKING_FRACTION: f64 = 0.02;
/// Calls a run below which a pair of routes is left out.
pub(crate) const MIN_CALLS_PER_RUN: f64 = 0.02;

/// Learns what the runs at one backend server call, and how long they take.
#[derive(Debug, Default)]
pub struct Profiler {
    routes: HashMap<RouteId, RouteStats>,
}

#[derive(Debug, Default)]
struct RouteStats {
    running: usize,
    /// Runs that began.
    started_runs: f64,
    /// Runs that ended.
    finished_runs: f64,
    /// Seconds of the runs that ended.
    run_seconds: f64,
    /// Seconds of work so far, that of runs under way included.
    work_seconds: f64,
    /// Until when it's counted.
    work_counted: Option<Instant>,
    /// Calls under way.
    pending_calls: f64,
    calls: HashMap<RouteId, f64>,
}

/// A call under way, as it was attributed to the routes that may have made it.
#[derive(Debug)]
pub struct PendingCall(Vec<(RouteId, f64)>);

/// What one node has learnt of a route.
#[message]
pub struct RouteProfile {
    /// The route.
    pub route: RouteId,
    /// Ended runs that it was learnt from.
    pub runs: f32,
    /// Mean seconds of a run.
    pub elapsed: f32,
    /// Calls that a run makes, by the route of the call.
    pub calls: Vec<(RouteId, f32)>,
}

impl Profiler {
    /// Takes note of a run that begins.
    pub fn begin_run(&mut self, route: &RouteId, now: Instant) {
        let stats = self.stats(route);
        stats.update_work(now);
        stats.running += 1;
        stats.started_runs += 1.0;
    }

    /// Takes note of a run that ends. One that was broken off teaches nothing.
    pub fn end_run(&mut self, route: &RouteId, elapsed: Option<Duration>, now: Instant) {
        let stats = self.stats(route);
        stats.update_work(now);
        stats.running = stats.running.saturating_sub(1);
        if let Some(elapsed) = elapsed {
            stats.finished_runs += 1.0;
            stats.run_seconds += elapsed.as_secs_f64();
        }
    }

    /// Takes note of a call that the backend server makes.
    pub fn begin_call(&mut self, called: &RouteId, now: Instant) -> PendingCall {
        let running = self.routes.values_mut();
        running
            .filter(|stats| stats.running > 0)
            .for_each(|stats| stats.update_work(now));
        let weight = |stats: &RouteStats| {
            let calls = stats.calls.get(called).copied().unwrap_or_default();
            // Calls by the second, not by the run: long runs are seen running more often anyway.
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

    /// Takes note of a call that came back.
    pub fn end_call(&mut self, pending: PendingCall, now: Instant) {
        for (route, part) in pending.0 {
            if let Some(stats) = self.routes.get_mut(&route) {
                stats.update_work(now);
                stats.pending_calls = (stats.pending_calls - part).max(0.0);
            }
        }
    }

    /// Lets what was learnt fade. Called at each interval.
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

    /// What's worth telling others.
    pub fn profiles(&self) -> Vec<RouteProfile> {
        let known = self.routes.iter();
        known
            .filter(|(_, stats)| stats.finished_runs >= MIN_REPORTED_RUNS)
            .map(|(route, stats)| stats.profile(route))
            .collect()
    }

    /// Mean time of a run of a route here.
    pub fn elapsed(&self, route: &RouteId) -> Option<Duration> {
        let stats = self.routes.get(route)?;
        (stats.finished_runs > 0.0)
            .then(|| Duration::from_secs_f64(stats.run_seconds / stats.finished_runs))
    }

    fn stats(&mut self, route: &RouteId) -> &mut RouteStats {
        self.routes.entry(route.clone()).or_default()
    }
}

impl RouteStats {
    /// Counts the work of the runs under way up to now.
    fn update_work(&mut self, now: Instant) {
        if let Some(work_counted) = self.work_counted {
            let passed = now.saturating_duration_since(work_counted).as_secs_f64();
            self.work_seconds += passed * self.working_runs();
        }
        self.work_counted = Some(now);
    }

    /// Runs that don't wait for a call.
    fn working_runs(&self) -> f64 {
        let running = self.running as f64;
        (running - self.pending_calls).max(running * MIN_WORKING_FRACTION)
    }

    fn profile(&self, route: &RouteId) -> RouteProfile {
        let calls = self.calls.iter().map(|(called, calls)| {
            // Runs under way have made calls too, so those that began count.
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
