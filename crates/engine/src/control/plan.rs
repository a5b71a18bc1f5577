//! Plans load shedding from the demand, the request costs and the capacity of the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertwheel_core::{Member, ServiceId};
use filbertwheel_policy::{
    AdmissionPlan, AdmissionPlanner, BackendLoad, CallGraph, Capacity, DemandMeter, DemandTrend,
    FleetSums, RouteProfile, ShedThreshold, WarmupPlan, demanded_slots, plan_warmup,
};

use super::state::Control;
use crate::snapshots::Snapshot;

/// Maximum number of runs that a stored profile counts as, so that new measurements soon outweigh
/// it.
const STORED_RUNS: f32 = 5.0;

/// Change of the admitted part, in thousandths, above which a shed threshold is logged again.
const LOGGED_CHANGE_PERMILLE: u32 = 150;

/// Measurements of this node, and the state of its planning.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    pub demand: DemandMeter,
    pub own_profiles: Vec<RouteProfile>,
    /// Route profiles that were read from the store, if this node holds the lease.
    stored_profiles: Option<Vec<RouteProfile>>,
    trend: DemandTrend,
    planner: AdmissionPlanner,
    /// Time of the last plan.
    planned: Option<Instant>,
    /// Shed thresholds as they were last logged.
    logged_thresholds: BTreeMap<ServiceId, ShedThreshold>,
    /// Services whose warm-up was logged as the reason of refusals.
    logged_warmups: BTreeSet<ServiceId>,
}

impl Control {
    /// Updates the smoothed demand by the requests that callers sent in the last interval.
    pub(super) fn measure_demand(&mut self, interval: Duration) {
        let counts = self.parts.engine.take_demand();
        self.plan.demand.update(counts, interval);
        self.parts.engine.shedder().end_interval();
    }

    /// Updates the profiles of the routes that run at this node.
    pub(super) fn measure_profiles(&mut self) {
        self.plan.own_profiles = self.parts.engine.runner.profiles();
    }

    /// Plans which requests are shed, and publishes the plan. Without sums over the fleet, a node
    /// plans for itself.
    pub(super) fn replan(&mut self, now: Instant) {
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
        let fleet = self.sums.fleet(now);
        let (sums, age) = fleet.map_or_else(
            || (self.sample(), Duration::ZERO),
            |(sums, age)| (sums.clone(), age),
        );
        self.parts.engine.metrics.record_sums(sums.nodes, age);
        let capacities = capacities(&sums);
        let demanded_slots = demanded_slots(&sums.demand, &costs);
        let before = self.plan.planned.replace(now).unwrap_or(now);
        let since = now.saturating_duration_since(before);
        let demand = self.plan.trend.update(&sums.demand, since);
        let planner = &mut self.plan.planner;
        let admission_plan = planner.plan(&demand, &costs, &capacities, since);
        self.log_thresholds(&admission_plan, &capacities, sums.nodes, age);
        let warmup_plan = plan_warmup(&sums.demand, &costs, &sums.capacities);
        self.log_warmups(&warmup_plan);
        self.parts.snapshots.store(Arc::new(Snapshot {
            admission_plan: Arc::new(admission_plan),
            warmup_plan: Arc::new(warmup_plan),
            costs: Arc::new(costs),
            demanded_slots: Arc::new(demanded_slots),
            elapsed: Arc::new(elapsed),
            ..Snapshot::clone(&self.parts.snapshots.load())
        }));
    }

    /// Merges the route profiles of all nodes.
    fn call_graph(&self) -> CallGraph {
        let fleet = self.sums.profiles();
        let own = self.profiles();
        CallGraph::merge(if fleet.is_empty() { &own } else { fleet })
    }

    /// Returns the profiles that this node contributes to those of the fleet: its own and, at the
    /// lease holder, the stored ones.
    pub(super) fn profiles(&self) -> Vec<RouteProfile> {
        let stored = self.plan.stored_profiles.iter().flatten();
        CallGraph::merge(self.plan.own_profiles.iter().chain(stored)).profiles()
    }

    /// Sets the route profiles that were read from the store.
    pub(super) fn set_stored_profiles(&mut self, profiles: Option<Vec<RouteProfile>>) {
        self.plan.stored_profiles = profiles.map(|profiles| {
            let profiles = profiles.into_iter().map(|profile| RouteProfile {
                runs: profile.runs.min(STORED_RUNS),
                ..profile
            });
            profiles.collect()
        });
    }

    /// Returns whether this node is to contribute the stored profiles.
    pub(super) fn keeps_profiles(&self) -> bool {
        self.lease.is_some() || self.holder.is_none() && self.watching
    }

    /// Returns whether the stored profiles were read.
    pub(super) fn has_stored_profiles(&self) -> bool {
        self.plan.stored_profiles.is_some()
    }

    /// Returns the route profiles to store; none unless this node holds the lease.
    pub(super) fn profiles_to_store(&self) -> Vec<RouteProfile> {
        if self.lease.is_none() {
            return Vec::new();
        }
        self.call_graph().profiles()
    }

    /// Logs the services whose warm-up begins or ends to be a reason to refuse requests.
    fn log_warmups(&mut self, plan: &WarmupPlan) {
        let known = std::mem::take(&mut self.plan.logged_warmups);
        let mut warming = BTreeSet::new();
        for ((route, rank), share) in plan.shares() {
            if warming.insert(share.service.clone()) && !known.contains(&share.service) {
                tracing::info!(
                    service = %share.service,
                    route = %route,
                    rank = %rank,
                    kept = share.admitted_permille,
                    left_ms = share.left.as_millis() as u64,
                    "control: A service warms up; requests that need it are refused."
                );
            }
        }
        for service in known.difference(&warming) {
            tracing::info!(
                service = %service,
                "control: No requests are refused any more because a service warms up."
            );
        }
        self.plan.logged_warmups = warming;
    }

    /// Logs shed thresholds that are new, have ended or have changed significantly, with the number
    /// of nodes whose measurements they are based on and the mean age of these.
    fn log_thresholds(
        &mut self,
        admission_plan: &AdmissionPlan,
        capacities: &BTreeMap<ServiceId, Capacity>,
        nodes: u32,
        age: Duration,
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
                    learnt = !admission_plan.unlearnt.contains(service),
                    nodes,
                    age_ms = age.as_millis() as u64,
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
}

/// Returns the slots and the load of each service, without those that warm up, which the warm-up plan
/// is for.
fn capacities(sums: &FleetSums) -> BTreeMap<ServiceId, Capacity> {
    let capacities = sums.capacities.iter();
    let capacities = capacities.filter(|one| !one.is_warming_up()).map(|one| {
        let capacity = Capacity {
            slots: f64::from(one.slots),
            in_flight: f64::from(one.in_flight),
        };
        (one.service.clone(), capacity)
    });
    capacities.collect()
}

/// Returns the slots that a backend server can use at present. Its node reports fewer than it has
/// while the backend server limits its requests, and none before its first report.
pub(crate) fn usable_slots(member: &Member, load: &BackendLoad) -> u32 {
    match load.slots {
        0 => member.slots,
        usable => usable.min(member.slots),
    }
}
