//! What a node plans with: demand, costs and capacity over the fleet.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use filbertwheel_core::{Rank, RouteId, ServiceId, Status};
use filbertwheel_policy::{
    AdmissionPlan, AdmissionPlanner, CallGraph, Capacity, RouteDemand, RouteProfile, ShedThreshold,
};

use super::state::Control;
use crate::engine::rates;
use crate::snapshots::Snapshot;

/// Weight of the newest interval in the demand of callers.
const ASKED_WEIGHT: f64 = 0.4;
/// Requests a second below which a demand is forgotten.
const ASKED_FLOOR: f32 = 0.05;

/// Runs that what was remembered counts as, so that it gives way to what is seen.
const REMEMBERED_RUNS: f32 = 5.0;

/// Change of what is kept, in thousandths, that's worth a log line.
const LOGGED_CHANGE: u32 = 150;

/// What a node has measured itself, and what it plans by.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    pub own_asked: Vec<RouteDemand>,
    pub own_profiles: Vec<RouteProfile>,
    /// What an earlier life of the fleet has learnt.
    remembered: Vec<RouteProfile>,
    planner: AdmissionPlanner,
    /// The cuts as they were logged last.
    logged_cuts: BTreeMap<ServiceId, ShedThreshold>,
}

impl Control {
    /// Takes up what callers asked for since the last time.
    pub(super) fn measure(&mut self, interval: Duration) {
        let counts = self.parts.engine.take_asked();
        let mut smoothed: HashMap<(RouteId, Rank), f32> = self
            .plan
            .own_asked
            .drain(..)
            .map(|asked| ((asked.route, asked.rank), asked.rate))
            .collect();
        for rate in smoothed.values_mut() {
            *rate *= 1.0 - ASKED_WEIGHT as f32;
        }
        for asked in rates(counts, interval) {
            // The first requests of a route count in full.
            let known = smoothed.entry((asked.route, asked.rank));
            known
                .and_modify(|rate| *rate += asked.rate * ASKED_WEIGHT as f32)
                .or_insert(asked.rate);
        }
        let known = smoothed
            .into_iter()
            .filter(|(_, rate)| *rate >= ASKED_FLOOR);
        self.plan.own_asked = known
            .map(|((route, rank), rate)| RouteDemand { route, rank, rate })
            .collect();
        self.parts.engine.shed().end_interval();
    }

    /// Plans which requests are refused, and publishes it.
    pub(super) fn replan(&mut self) {
        let snapshot = self.parts.snapshots.load_full();
        let Some(rules) = &snapshot.rules else {
            return;
        };
        let graph = self.graph();
        let costs = graph.costs(rules);
        let elapsed = rules
            .routes()
            .filter_map(|path| Some((path.id.clone(), graph.elapsed(&path.id)?)))
            .collect();
        let capacities = self.capacities();
        let asked = self.others.values().flat_map(|other| &other.asked);
        let asked: Vec<RouteDemand> = asked.chain(&self.plan.own_asked).cloned().collect();
        let cuts = self.plan.planner.plan(&asked, &costs, &capacities);
        self.log_cuts(&cuts, &capacities);
        self.parts.snapshots.store(Arc::new(Snapshot {
            cuts: Arc::new(cuts),
            costs: Arc::new(costs),
            elapsed: Arc::new(elapsed),
            ..Snapshot::clone(&self.parts.snapshots.load())
        }));
    }

    /// What all nodes together know of the routes.
    fn graph(&self) -> CallGraph {
        let others = self.others.values();
        let profiles = others.flat_map(|other| &other.profiles);
        let profiles = profiles.chain(&self.plan.own_profiles);
        CallGraph::merge(profiles.chain(&self.plan.remembered))
    }

    /// Takes up what an earlier life of the fleet has learnt.
    pub(super) fn remember(&mut self, profiles: Vec<RouteProfile>) {
        let profiles = profiles.into_iter().map(|profile| RouteProfile {
            runs: profile.runs.min(REMEMBERED_RUNS),
            ..profile
        });
        self.plan.remembered = profiles.collect();
    }

    /// What's worth keeping of what was learnt, where this node holds the lease.
    pub(super) fn learnt(&self) -> Vec<RouteProfile> {
        if self.ledger.is_none() {
            return Vec::new();
        }
        self.graph().profiles()
    }

    /// Logs cuts that begin, end or change by much.
    fn log_cuts(&mut self, cuts: &AdmissionPlan, capacities: &BTreeMap<ServiceId, Capacity>) {
        let known = &self.plan.logged_cuts;
        let moved = |service: &ServiceId, cut: &ShedThreshold| {
            known.get(service).is_none_or(|before| {
                before.rank != cut.rank
                    || before.admitted_permille.abs_diff(cut.admitted_permille) > LOGGED_CHANGE
            })
        };
        for (service, cut) in &cuts.services {
            if moved(service, cut) {
                let capacity = capacities.get(service).copied().unwrap_or_default();
                tracing::info!(
                    service = %service,
                    rank = %cut.rank,
                    kept = cut.admitted_permille,
                    slots = capacity.slots,
                    busy = capacity.in_flight,
                    "control: A service is short; requests of this rank are cut."
                );
            }
        }
        for service in known.keys() {
            if !cuts.services.contains_key(service) {
                tracing::info!(service = %service, "control: A service is short no longer.");
            }
        }
        let logged = cuts.services.iter().map(|(service, cut)| {
            let before = known.get(service).filter(|_| !moved(service, cut));
            (service.clone(), *before.unwrap_or(cut))
        });
        self.plan.logged_cuts = logged.collect();
    }

    /// Slots and load of each service, as far as its nodes are heard.
    fn capacities(&self) -> BTreeMap<ServiceId, Capacity> {
        let mut capacities: BTreeMap<ServiceId, Capacity> = BTreeMap::new();
        let own = (&self.me, self.parts.engine.runner.load());
        let others = self.others.values().filter(|other| other.link.is_up());
        let loads = others.map(|other| (&other.member, other.link.load()));
        for (member, load) in loads.chain([own]) {
            if let (Some(service), Status::Serving) = (&member.service, member.status) {
                let capacity = capacities.entry(service.clone()).or_default();
                capacity.slots += f64::from(member.slots);
                capacity.in_flight += f64::from(load.running + load.queued);
            }
        }
        capacities
    }
}
