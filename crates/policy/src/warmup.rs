//! Load shedding while the backend servers of a service warm up.
//!
//! A cold backend server takes a number of requests per second, however short they are. So requests
//! are counted here, not slots: whole requests are admitted as far as each service on their way can
//! run its calls, in the order of their ranks. The routes of one rank are admitted in equal parts,
//! until a service that they use is full.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use filbertwheel_core::{Rank, RequestRate, RouteId, ServiceId};

use crate::{RequestCost, RouteDemand, ServiceCapacity};

/// Fraction of what a service takes that the plan assigns. The rest absorbs calls that come in groups.
const PLANNED_PART: f64 = 0.9;
/// Calls per request below which a route does not count as using a service.
const MIN_CALLS: f64 = 0.01;
/// Part of a request below which a service counts as full.
const MIN_PART: f64 = 1e-9;
/// Shortest time after which callers return, before it is spread: plans are about as old.
const MIN_RETURN_TIME: Duration = Duration::from_millis(250);
/// Time over which callers return after a warm-up, relative to what was left of it when they were
/// refused.
const RETURN_SPREAD: f64 = 0.5;

/// What a service takes while its backend servers warm up.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct WarmupCapacity {
    /// Requests per second.
    rate: RequestRate,
    /// Time until the last of them is warm.
    left: Duration,
}

/// Part of the requests of a route and rank that is admitted.
#[derive(Debug, Clone, PartialEq)]
pub struct WarmupShare {
    /// Admitted requests, in thousandths.
    pub admitted_permille: u32,
    /// Service that takes no more.
    pub service: ServiceId,
    /// Time until its backend servers are warm.
    pub left: Duration,
}

/// Requests that are refused while services warm up.
#[derive(Debug, Clone, Default)]
pub struct WarmupPlan {
    shares: HashMap<(RouteId, Rank), WarmupShare>,
}

impl WarmupPlan {
    /// Returns the admitted part of such requests, or `None` if all of them are admitted.
    pub fn share(&self, route: &RouteId, rank: Rank) -> Option<&WarmupShare> {
        self.shares.get(&(route.clone(), rank))
    }

    /// Returns the routes and ranks of which requests are refused.
    pub fn shares(&self) -> impl Iterator<Item = (&(RouteId, Rank), &WarmupShare)> {
        self.shares.iter()
    }
}

/// Returns the plan for this demand and these services, of which only those count that warm up.
pub fn plan_warmup<'a>(
    demands: &'a [RouteDemand],
    costs: &HashMap<RouteId, RequestCost>,
    capacities: &[ServiceCapacity],
) -> WarmupPlan {
    let mut plan = WarmupPlan::default();
    let warming = capacities.iter().filter(|one| one.is_warming_up());
    let warming: BTreeMap<ServiceId, WarmupCapacity> = warming
        .map(|one| {
            let call_seconds = mean_call_seconds(&one.service, demands, costs);
            (one.service.clone(), warmup_capacity(one, call_seconds))
        })
        .collect();
    if warming.is_empty() {
        return plan;
    }
    let mut left: BTreeMap<&ServiceId, f64> = warming
        .iter()
        .map(|(service, capacity)| (service, capacity.rate * PLANNED_PART))
        .collect();
    let mut ranks: BTreeMap<Rank, Vec<Flow<'a, '_>>> = BTreeMap::new();
    for demand in demands {
        let flow = Flow::open(demand, costs, &warming);
        if !flow.calls.is_empty() {
            ranks.entry(demand.rank).or_default().push(flow);
        }
    }
    for (rank, flows) in ranks {
        for (flow, admitted, service) in fill(flows, &mut left) {
            let share = WarmupShare {
                admitted_permille: (admitted * 1_000.0) as u32,
                service: service.clone(),
                left: warming.get(service).copied().unwrap_or_default().left,
            };
            plan.shares.insert((flow.route.clone(), rank), share);
        }
    }
    plan
}

/// Returns what a service takes. As long as it isn't known how long its calls take, a warm backend
/// server counts as a cold one.
fn warmup_capacity(capacity: &ServiceCapacity, call_seconds: Option<f64>) -> WarmupCapacity {
    let cold = &capacity.cold;
    let cold_rate = f64::from(cold.rate);
    let warm_servers = f64::from(capacity.servers.saturating_sub(cold.servers));
    let warm_rate = match call_seconds {
        Some(seconds) => f64::from((capacity.slots - cold.slots).max(0.0)) / seconds,
        None => warm_servers * cold_rate / f64::from(cold.servers.max(1)),
    };
    WarmupCapacity {
        rate: cold_rate + warm_rate,
        left: cold.left,
    }
}

/// Returns how long a call of a service occupies a slot, over this demand; `None` if not known.
fn mean_call_seconds(
    service: &ServiceId,
    demands: &[RouteDemand],
    costs: &HashMap<RouteId, RequestCost>,
) -> Option<f64> {
    let (mut calls, mut seconds) = (0.0, 0.0);
    for demand in demands {
        let cost = costs.get(&demand.route).and_then(|cost| cost.get(service));
        let Some(cost) = cost else { continue };
        calls += f64::from(demand.rate) * cost.calls;
        seconds += f64::from(demand.rate) * cost.slot_seconds;
    }
    (calls > 0.0 && seconds > 0.0).then(|| seconds / calls)
}

/// Returns the time after which a request that is refused while a service warms up may be sent again:
/// once the service is warm, spread so that callers don't return together. `random` is from 0 to 1.
pub fn retry_time(left: Duration, random: f64) -> Duration {
    let left = left.max(MIN_RETURN_TIME);
    left.mul_f64(1.0 + random.clamp(0.0, 1.0) * RETURN_SPREAD)
}

/// The requests of one route and rank.
struct Flow<'a, 'b> {
    route: &'a RouteId,
    /// Calls per second at each service that warms up, if all requests are admitted.
    calls: Vec<(&'b ServiceId, f64)>,
}

impl<'a, 'b> Flow<'a, 'b> {
    fn open(
        demand: &'a RouteDemand,
        costs: &HashMap<RouteId, RequestCost>,
        capacities: &'b BTreeMap<ServiceId, WarmupCapacity>,
    ) -> Self {
        let cost = costs.get(&demand.route);
        let rate = f64::from(demand.rate);
        let calls = capacities.keys().filter_map(|service| {
            let calls = cost?.get(service)?.calls;
            (calls >= MIN_CALLS && rate > 0.0).then_some((service, rate * calls))
        });
        Self {
            route: &demand.route,
            calls: calls.collect(),
        }
    }
}

/// Admits equal parts of the flows until a service that they use is full; the others go on. Returns
/// the flows of which not all is admitted, each with its part and the service that stopped it.
fn fill<'a, 'b>(
    mut flows: Vec<Flow<'a, 'b>>,
    left: &mut BTreeMap<&'b ServiceId, f64>,
) -> Vec<(Flow<'a, 'b>, f64, &'b ServiceId)> {
    let mut stopped = Vec::new();
    let mut admitted = 0.0;
    while !flows.is_empty() && admitted < 1.0 {
        let mut needed: BTreeMap<&ServiceId, f64> = BTreeMap::new();
        for (service, calls) in flows.iter().flat_map(|flow| &flow.calls) {
            *needed.entry(*service).or_default() += calls;
        }
        let room = |service: &ServiceId, calls: f64| left.get(service).map(|left| left / calls);
        let steps = needed
            .iter()
            .filter_map(|(service, calls)| room(service, *calls));
        let step = steps.fold(1.0 - admitted, f64::min).max(0.0);
        admitted += step;
        for (service, calls) in &needed {
            if let Some(left) = left.get_mut(*service) {
                *left = (*left - calls * step).max(0.0);
            }
        }
        if admitted >= 1.0 - MIN_PART {
            break;
        }
        let is_full = |service: &ServiceId, calls: f64| {
            left.get(service)
                .is_some_and(|left| *left <= calls * MIN_PART)
        };
        let (full, going): (Vec<_>, Vec<_>) = flows.into_iter().partition(|flow| {
            let mut used = flow.calls.iter();
            used.any(|(service, _)| is_full(service, needed[service]))
        });
        if full.is_empty() {
            break;
        }
        for flow in full {
            let stop = flow.calls.iter().map(|(service, _)| *service);
            let stop = stop.into_iter().find(|one| is_full(one, needed[one]));
            if let Some(service) = stop {
                stopped.push((flow, admitted, service));
            }
        }
        flows = going;
    }
    stopped
}
