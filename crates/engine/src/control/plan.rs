//! Plans load shedding from the demand, the request costs and the capacity of the fleet.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use filbertwheel_core::{Member, Rank, RouteId, ServiceId, Status};
use filbertwheel_policy::{
    AdmissionPlan, AdmissionPlanner, BackendLoad, CallGraph, Capacity, RouteDemand, RouteProfile,
    ShedThreshold,
};

use super::state::Control;
use crate::engine::demand_rates;
use crate::snapshots::Snapshot;

/// Weight of the newest interval in the smoothed demand of callers.
const DEMAND_WEIGHT: f64 = 0.4;
/// Requests per second below which a demand is dropped.
const MIN_DEMAND: f32 = 0.05;

/// Maximum number of runs that a stored profile counts as, so that new measurements soon outweigh
/// it.
const STORED_RUNS: f32 = 5.0;

/// Change of the admitted part, in thousandths, above which a shed threshold is logged again.
const LOGGED_CHANGE_PERMILLE: u32 = 150;

/// Measurements of this node, and the state of its planning.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    pub own_demand: Vec<RouteDemand>,
    pub own_profiles: Vec<RouteProfile>,
    /// Route profiles that were read from the store at the start.
    stored_profiles: Vec<RouteProfile>,
    planner: AdmissionPlanner,
    /// Shed thresholds as they were last logged.
    logged_thresholds: BTreeMap<ServiceId, ShedThreshold>,
}

impl Control {
    /// Updates the smoothed demand by the requests that callers sent in the last interval.
    pub(super) fn measure_demand(&mut self, interval: Duration) {
        let counts = self.parts.engine.take_demand();
        let mut smoothed: HashMap<(RouteId, Rank), f32> = self
            .plan
            .own_demand
            .drain(..)
            .map(|demand| ((demand.route, demand.rank), demand.rate))
            .collect();
        for rate in smoothed.values_mut() {
            *rate *= 1.0 - DEMAND_WEIGHT as f32;
        }
        for demand in demand_rates(counts, interval) {
            // The first interval of a route counts in full.
            let known = smoothed.entry((demand.route, demand.rank));
            known
                .and_modify(|rate| *rate += demand.rate * DEMAND_WEIGHT as f32)
                .or_insert(demand.rate);
        }
        let known = smoothed.into_iter().filter(|(_, rate)| *rate >= MIN_DEMAND);
        self.plan.own_demand = known
            .map(|((route, rank), rate)| RouteDemand { route, rank, rate })
            .collect();
        self.parts.engine.shedder().end_interval();
    }

    /// Plans which requests are shed, and publishes the plan.
    pub(super) fn replan(&mut self) {
        let snapshot = self.parts.snapshots.load_full();
        let Some(rules) = &snapshot.rules else {
            return;
        };
        let call_graph = self.call_graph();
        let costs = call_graph.costs(rules);
        let elapsed = rules
            .routes()
            .filter_map(|rule| Some((rule.id.clone(), call_graph.mean_run_seconds(&rule.id)?)))
            .collect();
        let capacities = self.capacities();
        let demand = self.peers.values().flat_map(|peer| &peer.demand);
        let demand: Vec<RouteDemand> = demand.chain(&self.plan.own_demand).cloned().collect();
        let admission_plan = self.plan.planner.plan(&demand, &costs, &capacities);
        self.log_thresholds(&admission_plan, &capacities);
        self.parts.snapshots.store(Arc::new(Snapshot {
            admission_plan: Arc::new(admission_plan),
            costs: Arc::new(costs),
            elapsed: Arc::new(elapsed),
            ..Snapshot::clone(&self.parts.snapshots.load())
        }));
    }

    /// Merges the route profiles of all nodes.
    fn call_graph(&self) -> CallGraph {
        let peers = self.peers.values();
        let profiles = peers.flat_map(|peer| &peer.profiles);
        let profiles = profiles.chain(&self.plan.own_profiles);
        CallGraph::merge(profiles.chain(&self.plan.stored_profiles))
    }

    /// Sets the route profiles that were read from the store.
    pub(super) fn set_stored_profiles(&mut self, profiles: Vec<RouteProfile>) {
        let profiles = profiles.into_iter().map(|profile| RouteProfile {
            runs: profile.runs.min(STORED_RUNS),
            ..profile
        });
        self.plan.stored_profiles = profiles.collect();
    }

    /// Returns the route profiles to store; none unless this node holds the lease.
    pub(super) fn profiles_to_store(&self) -> Vec<RouteProfile> {
        if self.lease.is_none() {
            return Vec::new();
        }
        self.call_graph().profiles()
    }

    /// Logs shed thresholds that are new, have ended or have changed significantly.
    fn log_thresholds(
        &mut self,
        admission_plan: &AdmissionPlan,
        capacities: &BTreeMap<ServiceId, Capacity>,
    ) {
        let known = &self.plan.logged_thresholds;
        let has_changed = |service: &ServiceId, threshold: &ShedThreshold| {
            known.get(service).is_none_or(|before| {
                before.rank != threshold.rank
                    || before
                        .admitted_permille
                        .abs_diff(threshold.admitted_permille)
                        > LOGGED_CHANGE_PERMILLE
            })
        };
        for (service, threshold) in &admission_plan.thresholds {
            if has_changed(service, threshold) {
                let capacity = capacities.get(service).copied().unwrap_or_default();
                tracing::info!(
                    service = %service,
                    rank = %threshold.rank,
                    kept = threshold.admitted_permille,
                    slots = capacity.slots,
                    busy = capacity.in_flight,
                    "control: A service is overloaded; requests of this rank are shed."
                );
            }
        }
        for service in known.keys() {
            if !admission_plan.thresholds.contains_key(service) {
                tracing::info!(service = %service, "control: A service is no longer overloaded.");
            }
        }
        let logged = admission_plan
            .thresholds
            .iter()
            .map(|(service, threshold)| {
                let before = known
                    .get(service)
                    .filter(|_| !has_changed(service, threshold));
                (service.clone(), *before.unwrap_or(threshold))
            });
        self.plan.logged_thresholds = logged.collect();
    }

    /// Returns the slots and the load of each service over all connected nodes.
    fn capacities(&self) -> BTreeMap<ServiceId, Capacity> {
        let mut capacities: BTreeMap<ServiceId, Capacity> = BTreeMap::new();
        let own = (&self.local_member, self.parts.engine.runner.load());
        let peers = self.peers.values().filter(|peer| peer.link.is_up());
        let loads = peers.map(|peer| (&peer.member, peer.link.load()));
        for (member, load) in loads.chain([own]) {
            if let (Some(service), Status::Serving) = (&member.service, member.status) {
                let capacity = capacities.entry(service.clone()).or_default();
                capacity.slots += f64::from(usable_slots(member, &load));
                capacity.in_flight += f64::from(load.running + load.queued);
            }
        }
        capacities
    }
}

/// Returns the slots that a backend server can use at present. Its node reports fewer than it has
/// while the backend server limits its requests, and none before its first report.
fn usable_slots(member: &Member, load: &BackendLoad) -> u32 {
    match load.slots {
        0 => member.slots,
        usable => usable.min(member.slots),
    }
}
