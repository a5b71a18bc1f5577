//! What a request costs further down.
//!
//! The calls of a backend server carry no link to the request that they belong to. Each node
//! attributes a call to the routes that run beside it, in proportion to how many such calls their
//! runs were seen to make in a second of work. Repeated, this converges on what a run of each route
//! calls (expectation maximisation for a sum of Poisson processes). Time in which a run waits for a
//! call doesn't count as work, since it makes no other call then and a slow service would make it
//! look as if it called less.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use filbertwheel_core::{RouteId, Rules, ServiceId, message};

/// Weight that is left of what was learnt one interval ago.
const DECAY: f64 = 0.85;
/// Calls and seconds of work that an unknown pair of routes starts with.
const PRIOR: f64 = 0.05;
/// Runs below which a route counts as unknown.
const LEAST_RUNS: f64 = 0.05;
/// Ended runs after which a profile is worth telling.
const ENOUGH_RUNS: f64 = 3.0;
/// Part of a run that counts as working at least, for runs that make several calls at once.
const LEAST_WORKING: f64 = 0.02;
/// Deepest chain that is followed.
const DEPTH: usize = 16;
/// Calls a run below which a pair of routes is left out.
const RARE_CALLS: f64 = 0.02;

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
pub struct Calling(Vec<(RouteId, f64)>);

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
    pub fn begin(&mut self, route: &RouteId, now: Instant) {
        let learned = self.learned(route);
        learned.count(now);
        learned.running += 1;
        learned.begun += 1.0;
    }

    /// Takes note of a run that ends. One that was broken off teaches nothing.
    pub fn end(&mut self, route: &RouteId, elapsed: Option<Duration>, now: Instant) {
        let learned = self.learned(route);
        learned.count(now);
        learned.running = learned.running.saturating_sub(1);
        if let Some(elapsed) = elapsed {
            learned.ended += 1.0;
            learned.elapsed += elapsed.as_secs_f64();
        }
    }

    /// Takes note of a call that the backend server makes.
    pub fn call(&mut self, called: &RouteId, now: Instant) -> Calling {
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
        Calling(parts)
    }

    /// Takes note of a call that came back.
    pub fn returned(&mut self, calling: Calling, now: Instant) {
        for (route, part) in calling.0 {
            if let Some(learned) = self.routes.get_mut(&route) {
                learned.count(now);
                learned.waiting = (learned.waiting - part).max(0.0);
            }
        }
    }

    /// Lets what was learnt fade. Called at each interval.
    pub fn fade(&mut self) {
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

/// What all nodes together know of the routes.
#[derive(Debug, Default)]
pub struct CallGraph {
    routes: BTreeMap<RouteId, Merged>,
}

#[derive(Debug, Default)]
struct Merged {
    runs: f64,
    elapsed: f64,
    calls: BTreeMap<RouteId, f64>,
}

/// What one request of a route takes of each service, itself included.
pub type Cost = BTreeMap<ServiceId, Visit>;

/// What a request takes of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Visit {
    /// Calls.
    pub calls: f64,
    /// Seconds for which its calls hold a slot.
    pub slot_seconds: f64,
}

impl CallGraph {
    /// Merges the profiles of all nodes, weighted by the runs behind them.
    pub fn merge<'a>(profiles: impl IntoIterator<Item = &'a RouteProfile>) -> Self {
        let mut routes: BTreeMap<RouteId, Merged> = BTreeMap::new();
        for profile in profiles {
            let runs = f64::from(profile.runs);
            let merged = routes.entry(profile.route.clone()).or_default();
            merged.runs += runs;
            merged.elapsed += f64::from(profile.elapsed) * runs;
            for (called, per_run) in &profile.calls {
                let calls = merged.calls.entry(called.clone()).or_default();
                *calls += f64::from(*per_run) * runs;
            }
        }
        Self { routes }
    }

    /// The merged profiles.
    pub fn profiles(&self) -> Vec<RouteProfile> {
        let routes = self.routes.iter().filter(|(_, merged)| merged.runs > 0.0);
        routes
            .map(|(route, merged)| RouteProfile {
                route: route.clone(),
                runs: merged.runs as f32,
                elapsed: (merged.elapsed / merged.runs) as f32,
                calls: self
                    .calls(route)
                    .map(|(called, per_run)| (called.clone(), per_run as f32))
                    .collect(),
            })
            .collect()
    }

    /// Mean seconds of a run of a route over all its backend servers.
    pub fn elapsed(&self, route: &RouteId) -> Option<f64> {
        let merged = self.routes.get(route)?;
        (merged.runs > 0.0).then(|| merged.elapsed / merged.runs)
    }

    /// What one request of each route costs.
    pub fn costs(&self, rules: &Rules) -> HashMap<RouteId, Cost> {
        let routes = rules.paths();
        routes
            .map(|path| (path.id.clone(), self.cost(&path.id, rules)))
            .collect()
    }

    /// Follows the calls of a request level by level, so that chains which meet again, or go round,
    /// are each followed once a level.
    fn cost(&self, route: &RouteId, rules: &Rules) -> Cost {
        let mut cost = Cost::new();
        let mut level: BTreeMap<RouteId, f64> = BTreeMap::from([(route.clone(), 1.0)]);
        for _ in 0..DEPTH {
            let mut next: BTreeMap<RouteId, f64> = BTreeMap::new();
            for (route, times) in &level {
                self.add_visits(route, *times, rules, &mut cost);
                for (called, per_run) in self.calls(route) {
                    *next.entry(called.clone()).or_default() += times * per_run;
                }
            }
            if next.is_empty() {
                break;
            }
            level = next;
        }
        cost
    }

    fn add_visits(&self, route: &RouteId, times: f64, rules: &Rules, cost: &mut Cost) {
        let Some(path) = rules.named(route) else {
            return;
        };
        let seconds = self.elapsed(route).unwrap_or_default();
        let total: u32 = path.targets.iter().map(|target| target.weight).sum();
        for target in &path.targets {
            let part = times * f64::from(target.weight) / f64::from(total.max(1));
            let visit = cost.entry(target.service.clone()).or_default();
            visit.calls += part;
            visit.slot_seconds += part * seconds;
        }
    }

    /// The calls that a run of a route makes, but for rare ones.
    fn calls(&self, route: &RouteId) -> impl Iterator<Item = (&RouteId, f64)> {
        let merged = self.routes.get(route).into_iter();
        merged
            .flat_map(|merged| {
                let runs = merged.runs.max(LEAST_RUNS);
                merged
                    .calls
                    .iter()
                    .map(move |(called, calls)| (called, calls / runs))
            })
            .filter(|(_, per_run)| *per_run >= RARE_CALLS)
    }
}
