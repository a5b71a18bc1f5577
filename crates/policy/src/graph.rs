//! Cost of a request over its whole call chain, computed from the route profiles of all nodes.

use std::collections::{BTreeMap, HashMap};

use filbertwheel_core::{RouteId, Rules, ServiceId};

use crate::RouteProfile;
use crate::profiler::{MIN_CALLS_PER_RUN, MIN_RUNS};

/// Maximum length of a call chain that is followed.
const MAX_CHAIN_DEPTH: usize = 16;

/// Calls between routes, merged from the profiles of all nodes.
#[derive(Debug, Default)]
pub struct CallGraph {
    routes: BTreeMap<RouteId, MergedProfile>,
}

#[derive(Debug, Default)]
struct MergedProfile {
    runs: f64,
    elapsed: f64,
    calls: BTreeMap<RouteId, f64>,
}

/// Cost of one request of a route at each service, including the service that it targets.
pub type RequestCost = BTreeMap<ServiceId, ServiceCost>;

/// Cost of a request at one service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceCost {
    /// Number of calls.
    pub calls: f64,
    /// Seconds for which these calls occupy a slot.
    pub slot_seconds: f64,
}

impl CallGraph {
    /// Merges profiles, weighted by the number of runs that each is based on.
    pub fn merge<'a>(profiles: impl IntoIterator<Item = &'a RouteProfile>) -> Self {
        let mut routes: BTreeMap<RouteId, MergedProfile> = BTreeMap::new();
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

    /// Returns the merged profiles.
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

    /// Returns the mean duration of a run of a route over all its backend servers, in seconds.
    pub fn mean_run_seconds(&self, route: &RouteId) -> Option<f64> {
        let merged = self.routes.get(route)?;
        (merged.runs > 0.0).then(|| merged.elapsed / merged.runs)
    }

    /// Returns the cost of one request of each route.
    pub fn costs(&self, rules: &Rules) -> HashMap<RouteId, RequestCost> {
        let routes = rules.routes();
        routes
            .map(|rule| (rule.id.clone(), self.cost(&rule.id, rules)))
            .collect()
    }

    /// Follows the calls of a request level by level, so that routes reached over several chains,
    /// or in a cycle, are followed once per level.
    fn cost(&self, route: &RouteId, rules: &Rules) -> RequestCost {
        let mut cost = RequestCost::new();
        let mut level: BTreeMap<RouteId, f64> = BTreeMap::from([(route.clone(), 1.0)]);
        for _ in 0..MAX_CHAIN_DEPTH {
            let mut next: BTreeMap<RouteId, f64> = BTreeMap::new();
            for (route, requests) in &level {
                self.add_service_costs(route, *requests, rules, &mut cost);
                for (called, per_run) in self.calls(route) {
                    *next.entry(called.clone()).or_default() += requests * per_run;
                }
            }
            if next.is_empty() {
                break;
            }
            level = next;
        }
        cost
    }

    /// Adds the cost of a number of requests of a route at the services that it targets.
    fn add_service_costs(
        &self,
        route: &RouteId,
        requests: f64,
        rules: &Rules,
        cost: &mut RequestCost,
    ) {
        let Some(rule) = rules.route_by_id(route) else {
            return;
        };
        let seconds = self.mean_run_seconds(route).unwrap_or_default();
        let total: u32 = rule.targets.iter().map(|target| target.weight).sum();
        for target in &rule.targets {
            let calls = requests * f64::from(target.weight) / f64::from(total.max(1));
            let service_cost = cost.entry(target.service.clone()).or_default();
            service_cost.calls += calls;
            service_cost.slot_seconds += calls * seconds;
        }
    }

    /// Returns the calls per run of a route, without rare ones.
    fn calls(&self, route: &RouteId) -> impl Iterator<Item = (&RouteId, f64)> {
        let merged = self.routes.get(route).into_iter();
        merged
            .flat_map(|merged| {
                let runs = merged.runs.max(MIN_RUNS);
                merged
                    .calls
                    .iter()
                    .map(move |(called, calls)| (called, calls / runs))
            })
            .filter(|(_, per_run)| *per_run >= MIN_CALLS_PER_RUN)
    }
}
