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
const DECAY: f64 = 0.85;
/// Calls and seconds of work that an unknown pair of routes starts with.
const PRIOR: f64 = 0.05;
/// Runs below which a route counts as unknown.
pub(crate) const LEAST_RUNS: f64 = 0.05;
/// Ended runs after which a profile is worth telling.
const ENOUGH_RUNS: f64 = 3.0;
/// Part of a run that counts as working at least, for runs that make several calls at once.
const LEAST_WORKING: f64 = 0.02;
/// Calls a run below which a pair of routes is left out.
pub(crate) const RARE_CALLS: f64 = 0.02;

/// Learns what the runs at one backend server call, and how long they take.
#[derive(Debug, Default)]
pub struct Profiler {
    routes: HashMap<RouteId, Learned>,
}

#[derive(Debug, Default)]
struct Learned {
    running: usize,
    /// Runs that began.
    begun: f64,
    /// Runs that ended.
    ended: f64,
    /// Seconds of the runs that ended.
    elapsed: f64,
    /// Seconds of work so far, that of runs under way included.
    work: f64,
    /// Until when it's counted.
    counted: Option<Instant>,
    /// Calls under way.
    waiting: f64,
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
        let learned = self.learned(route);
        learned.count(now);
        learned.running += 1;
        learned.begun += 1.0;
    }

    /// Takes note of a run that ends. One that was broken off teaches nothing.
    pub fn end_run(&mut self, route: &RouteId, elapsed: Option<Duration>, now: Instant) {
        let learned = self.learned(route);
        learned.count(now);
        learned.running = learned.running.saturating_sub(1);
        if let Some(elapsed) = elapsed {
            learned.ended += 1.0;
            learned.elapsed += elapsed.as_secs_f64();
        }
    }

    /// Takes note of a call that the backend server makes.
    pub fn begin_call(&mut self, called: &RouteId, now: Instant) -> PendingCall {
        let running = self.routes.values_mut();
        running
            .filter(|learned| learned.running > 0)
            .for_each(|learned| learned.count(now));
        let weight = |learned: &Learned| {
            let calls = learned.calls.get(called).copied().unwrap_or_default();
            // Calls by the second, not by the run: long runs are seen running more often anyway.
            learned.working() * (calls + PRIOR) / (learned.work + PRIOR)
        };
        let total: f64 = self.routes.values().map(weight).sum();
        let mut parts = Vec::new();
        for (route, learned) in &mut self.routes {
            let part = weight(learned) / total;
            if part > 0.0 {
                *learned.calls.entry(called.clone()).or_default() += part;
                learned.waiting += part;
                parts.push((route.clone(), part));
            }
        }
        PendingCall(parts)
    }

    /// Takes note of a call that came back.
    pub fn end_call(&mut self, calling: PendingCall, now: Instant) {
        for (route, part) in calling.0 {
            if let Some(learned) = self.routes.get_mut(&route) {
                learned.count(now);
                learned.waiting = (learned.waiting - part).max(0.0);
            }
        }
    }

    /// Lets what was learnt fade. Called at each interval.
    pub fn decay(&mut self) {
        for learned in self.routes.values_mut() {
            learned.begun *= DECAY;
            learned.ended *= DECAY;
            learned.elapsed *= DECAY;
            learned.work *= DECAY;
            learned.calls.values_mut().for_each(|calls| *calls *= DECAY);
        }
        self.routes
            .retain(|_, learned| learned.running > 0 || learned.ended > 0.1);
    }

    /// What's worth telling others.
    pub fn profiles(&self) -> Vec<RouteProfile> {
        let known = self.routes.iter();
        known
            .filter(|(_, learned)| learned.ended >= ENOUGH_RUNS)
            .map(|(route, learned)| learned.profile(route))
            .collect()
    }

    /// Mean time of a run of a route here.
    pub fn elapsed(&self, route: &RouteId) -> Option<Duration> {
        let learned = self.routes.get(route)?;
        (learned.ended > 0.0).then(|| Duration::from_secs_f64(learned.elapsed / learned.ended))
    }

    fn learned(&mut self, route: &RouteId) -> &mut Learned {
        self.routes.entry(route.clone()).or_default()
    }
}

impl Learned {
    /// Counts the work of the runs under way up to now.
    fn count(&mut self, now: Instant) {
        if let Some(counted) = self.counted {
            let passed = now.saturating_duration_since(counted).as_secs_f64();
            self.work += passed * self.working();
        }
        self.counted = Some(now);
    }

    /// Runs that don't wait for a call.
    fn working(&self) -> f64 {
        let running = self.running as f64;
        (running - self.waiting).max(running * LEAST_WORKING)
    }

    fn profile(&self, route: &RouteId) -> RouteProfile {
        let calls = self.calls.iter().map(|(called, calls)| {
            // Runs under way have made calls too, so those that began count.
            (called.clone(), calls / self.begun.max(LEAST_RUNS))
        });
        RouteProfile {
            route: route.clone(),
            runs: self.ended as f32,
            elapsed: (self.elapsed / self.ended) as f32,
            calls: calls
                .filter(|(_, per_run)| *per_run >= RARE_CALLS)
                .map(|(called, per_run)| (called, per_run as f32))
                .collect(),
        }
    }
}
