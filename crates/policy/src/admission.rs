//! Load shedding at the entry node.
//!
//! A request that is refused halfway down its call chain has wasted the work done so far. The
//! entry node therefore decides for the whole chain, from the demand over the fleet, the cost of a
//! request of each route at each service, and the capacity of each service.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use filbertwheel_core::{OrganisationId, Rank, RouteId, ServiceId, message, value};

use crate::graph::RequestCost;
use crate::unlearnt::UnlearntLoads;

/// Fraction of a service's slots that the plan assigns. The rest absorbs bursts of calls.
const PLANNED_OCCUPANCY: f64 = 0.92;
/// Time in which the trim of a service changes by one factor.
const TRIM_TIME: Duration = Duration::from_millis(250);
/// Factors by which the trim of a service, the correction of its planned capacity, changes per
/// `TRIM_TIME`, each with the highest occupancy that it applies to. Costs learnt while requests
/// waited for each other are far too high, so the trim of a mostly idle service rises in large steps.
const TRIM_FACTORS: [(f64, f64); 5] = [
    (0.5, 1.2),
    (0.75, 1.06),
    (0.88, 1.015),
    (1.0, 1.0),
    (1.6, 0.985),
];
/// Trim factor above the highest occupancy in `TRIM_FACTORS`.
const OVERLOAD_TRIM_FACTOR: f64 = 0.96;
/// Slots held back for each queued call, so that the queue drains without a change of the trim.
const SLOTS_PER_QUEUED_CALL: f64 = 0.15;
/// Lowest and highest trim.
const TRIM_RANGE: (f64, f64) = (0.4, 6.0);
/// Fraction by which the trim of a service that is not overloaded returns to 1 per `TRIM_TIME`.
const TRIM_DECAY: f64 = 0.1;
/// Slot-seconds per request below which a route does not count as using a service.
const MIN_SLOT_SECONDS: f64 = 0.000_5;
/// Fraction of a service's slots that its least demanding routes may use without load shedding.
/// Refusing their requests would free little capacity.
const EXEMPT_SLOT_FRACTION: f64 = 0.1;

/// Demand of callers at one node for one route and rank.
#[message]
pub struct RouteDemand {
    /// Route of the requests.
    pub route: RouteId,
    /// Rank of the requests.
    pub rank: Rank,
    /// Requests per second.
    pub rate: f32,
}

/// Capacity of a service and its present use.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Capacity {
    /// Slots of its serving backend servers.
    pub slots: f64,
    /// Calls that run or are queued there.
    pub in_flight: f64,
}

/// Rank from which requests of an overloaded service are refused.
#[value]
#[derive(Copy)]
pub struct ShedThreshold {
    /// Requests that rank after this one are refused, those that rank before it are admitted.
    pub rank: Rank,
    /// Thousandths of the requests of exactly this rank that are admitted.
    pub admitted_permille: u32,
}

/// Requests that are refused during one interval.
#[derive(Debug, Clone, Default)]
pub struct AdmissionPlan {
    /// Shed threshold of each overloaded service.
    pub thresholds: BTreeMap<ServiceId, ShedThreshold>,
    /// Services whose threshold follows from the calls in flight, because costs aren't learnt yet.
    pub unlearnt: Vec<ServiceId>,
    /// Overloaded services that a route uses.
    routes: HashMap<RouteId, Vec<ServiceId>>,
}

impl AdmissionPlan {
    /// Returns the overloaded services that a route uses, each with its shed threshold.
    pub fn overloaded_services<'a>(
        &'a self,
        route: &RouteId,
    ) -> impl Iterator<Item = (&'a ServiceId, &'a ShedThreshold)> {
        let used = self.routes.get(route).into_iter().flatten();
        used.filter_map(|service| Some((service, self.thresholds.get(service)?)))
    }

    /// Returns the lowest part of such requests that any overloaded service admits, in thousandths,
    /// and that service. Returns `None` if the route uses no overloaded service.
    pub fn admitted_permille(&self, route: &RouteId, rank: Rank) -> Option<(u32, &ServiceId)> {
        let used = self.routes.get(route)?;
        let admitted = used.iter().filter_map(|service| {
            let threshold = self.thresholds.get(service)?;
            Some((threshold.permille_of(rank), service))
        });
        admitted.min_by_key(|(permille, _)| *permille)
    }
}

impl ShedThreshold {
    /// Returns the part of the requests of a rank that is admitted, in thousandths.
    fn permille_of(&self, rank: Rank) -> u32 {
        match rank.cmp(&self.rank) {
            std::cmp::Ordering::Less => 1_000,
            std::cmp::Ordering::Equal => self.admitted_permille,
            std::cmp::Ordering::Greater => 0,
        }
    }
}

/// Computes the shed thresholds and corrects them by the occupancy that results.
#[derive(Debug, Default)]
pub struct AdmissionPlanner {
    /// Factor that corrects the planned capacity of each service; 1 is no correction.
    trims: BTreeMap<ServiceId, f64>,
    unlearnt: UnlearntLoads,
}

impl AdmissionPlanner {
    /// Returns the plan from now on, where `elapsed` is the time since the last one.
    pub fn plan<'a>(
        &mut self,
        demands: impl IntoIterator<Item = &'a RouteDemand>,
        costs: &HashMap<RouteId, RequestCost>,
        capacities: &BTreeMap<ServiceId, Capacity>,
        elapsed: Duration,
    ) -> AdmissionPlan {
        let steps = elapsed.as_secs_f64() / TRIM_TIME.as_secs_f64();
        let mut slots_by_rank: BTreeMap<&ServiceId, BTreeMap<Rank, f64>> = BTreeMap::new();
        let mut slots_by_route: BTreeMap<&ServiceId, BTreeMap<&RouteId, f64>> = BTreeMap::new();
        let mut rates: BTreeMap<Rank, f64> = BTreeMap::new();
        for demand in demands {
            *rates.entry(demand.rank).or_default() += f64::from(demand.rate);
            for (service, cost) in costs.get(&demand.route).into_iter().flatten() {
                if cost.slot_seconds >= MIN_SLOT_SECONDS {
                    let slots = f64::from(demand.rate) * cost.slot_seconds;
                    let by_rank = slots_by_rank.entry(service).or_default();
                    *by_rank.entry(demand.rank).or_default() += slots;
                    let by_route = slots_by_route.entry(service).or_default();
                    *by_route.entry(&demand.route).or_default() += slots;
                }
            }
        }
        let mut thresholds = BTreeMap::new();
        let mut unlearnt = Vec::new();
        for (service, capacity) in capacities.iter().filter(|(_, one)| one.slots > 0.0) {
            let by_rank = slots_by_rank.remove(service).unwrap_or_default();
            let explained = by_rank.values().sum();
            let loads = &mut self.unlearnt;
            if let Some(expected) = loads.expected(service, *capacity, explained, elapsed) {
                let available = capacity.slots * PLANNED_OCCUPANCY;
                if let Some(threshold) = shed_threshold(&spread(&rates, expected), available) {
                    thresholds.insert(service.clone(), threshold);
                    unlearnt.push(service.clone());
                }
                continue;
            }
            let trim = self.trims.get(service).copied().unwrap_or(1.0);
            let queued = (capacity.in_flight - capacity.slots).max(0.0);
            let planned =
                capacity.slots * PLANNED_OCCUPANCY * trim - queued * SLOTS_PER_QUEUED_CALL;
            let threshold = shed_threshold(&by_rank, planned.max(0.0));
            self.adjust_trim(service, *capacity, threshold.is_some(), steps);
            if let Some(threshold) = threshold {
                thresholds.insert(service.clone(), threshold);
            }
        }
        let mut routes: HashMap<RouteId, Vec<ServiceId>> = HashMap::new();
        for route in costs.keys() {
            for service in &unlearnt {
                let used = routes.entry(route.clone()).or_default();
                used.push(service.clone());
            }
        }
        for (service, by_route) in slots_by_route {
            if !thresholds.contains_key(service) || unlearnt.contains(service) {
                continue;
            }
            let slots = capacities.get(service).map_or(0.0, |one| one.slots);
            for route in demanding_routes(&by_route, slots * EXEMPT_SLOT_FRACTION) {
                let used = routes.entry(route.clone()).or_default();
                used.push(service.clone());
            }
        }
        AdmissionPlan {
            thresholds,
            unlearnt,
            routes,
        }
    }

    /// Corrects the planned capacity of a service by its occupancy. `steps` is the time since the
    /// last correction in units of `TRIM_TIME`.
    fn adjust_trim(
        &mut self,
        service: &ServiceId,
        capacity: Capacity,
        is_overloaded: bool,
        steps: f64,
    ) {
        let trim = self.trims.entry(service.clone()).or_insert(1.0);
        let occupancy = capacity.in_flight / capacity.slots;
        let step = TRIM_FACTORS
            .iter()
            .find(|(highest, _)| occupancy <= *highest);
        let factor = step.map_or(OVERLOAD_TRIM_FACTOR, |(_, factor)| *factor);
        if is_overloaded || factor < 1.0 {
            *trim = (*trim * factor.powf(steps)).clamp(TRIM_RANGE.0, TRIM_RANGE.1);
        } else {
            *trim += (1.0 - *trim) * (1.0 - (1.0 - TRIM_DECAY).powf(steps));
        }
    }
}

/// Spreads a number of slots over all requests alike, by rank.
fn spread(rates: &BTreeMap<Rank, f64>, slots: f64) -> BTreeMap<Rank, f64> {
    let total: f64 = rates.values().sum();
    let parts = rates.iter();
    parts
        .map(|(rank, rate)| (*rank, slots * rate / total.max(f64::MIN_POSITIVE)))
        .collect()
}

/// Returns the routes without the least demanding ones, which together use up to `exempt_slots`.
fn demanding_routes<'a>(
    slots_by_route: &BTreeMap<&'a RouteId, f64>,
    exempt_slots: f64,
) -> impl Iterator<Item = &'a RouteId> {
    let mut routes: Vec<(&RouteId, f64)> = slots_by_route
        .iter()
        .map(|(route, one)| (*route, *one))
        .collect();
    routes.sort_by(|one, other| one.1.total_cmp(&other.1));
    let mut total = 0.0;
    routes.into_iter().filter_map(move |(route, slots)| {
        total += slots;
        (total > exempt_slots).then_some(route)
    })
}

/// Returns the threshold that reduces a demand to the available slots, assigned in order of rank,
/// or `None` if the slots suffice.
fn shed_threshold(slots_by_rank: &BTreeMap<Rank, f64>, available: f64) -> Option<ShedThreshold> {
    let mut left = available;
    for (rank, slots) in slots_by_rank {
        if *slots > left {
            let admitted_permille = (left / slots * 1_000.0) as u32;
            return Some(ShedThreshold {
                rank: *rank,
                admitted_permille,
            });
        }
        left -= slots;
    }
    None
}

/// Weight of the newest interval in the smoothed demand of an organisation.
const DEMAND_EWMA_WEIGHT: f64 = 0.3;
/// Requests per interval below which the state of an organisation is dropped.
const MIN_REQUESTS_PER_INTERVAL: f64 = 0.02;

/// Distributes load shedding at one node over its organisations max-min fairly, so that those with
/// few requests keep theirs.
#[derive(Debug, Default)]
pub struct FairShedder {
    flows: HashMap<Flow, FlowState>,
}

/// Requests of one organisation that are subject to the same shed threshold.
type Flow = (RouteId, Rank, Option<OrganisationId>);

#[derive(Debug, Default)]
struct FlowState {
    /// Requests in the present interval.
    count: f64,
    /// Smoothed requests per interval.
    demand: f64,
    /// Accrued part of a request; a request is admitted once it reaches 1.
    credit: f64,
}

impl FairShedder {
    /// Returns whether to admit a request, where `admitted_permille` thousandths of all requests of
    /// its route and rank are admitted.
    pub fn admit(
        &mut self,
        route: &RouteId,
        rank: Rank,
        organisation: &Option<OrganisationId>,
        admitted_permille: u32,
    ) -> bool {
        let flow = (route.clone(), rank, organisation.clone());
        self.flows.entry(flow.clone()).or_default().count += 1.0;
        if admitted_permille >= 1_000 {
            return true;
        }
        let part = self.admitted_part(&flow, f64::from(admitted_permille) / 1_000.0);
        let state = self.flows.entry(flow).or_default();
        state.credit = (state.credit + part).min(1.0 + part);
        if state.credit >= 1.0 {
            state.credit -= 1.0;
            return true;
        }
        false
    }

    /// Updates the smoothed demands at the end of an interval.
    pub fn end_interval(&mut self) {
        for state in self.flows.values_mut() {
            state.demand += (state.count - state.demand) * DEMAND_EWMA_WEIGHT;
            state.count = 0.0;
        }
        self.flows
            .retain(|_, state| state.demand >= MIN_REQUESTS_PER_INTERVAL);
    }

    /// Returns the part of a flow that is admitted if all flows of its route and rank share the
    /// admitted part `total_part` max-min fairly.
    fn admitted_part(&self, flow: &Flow, total_part: f64) -> f64 {
        let (route, rank, _) = flow;
        let competing = self
            .flows
            .iter()
            .filter(|((other_route, other_rank, _), _)| other_route == route && other_rank == rank);
        let mut demands: Vec<f64> = competing
            .map(|(_, state)| state.demand.max(MIN_REQUESTS_PER_INTERVAL))
            .collect();
        demands.sort_by(f64::total_cmp);
        let limit = fair_limit(&demands, total_part * demands.iter().sum::<f64>());
        let own = self.flows.get(flow).map_or(0.0, |state| state.demand);
        (limit / own.max(MIN_REQUESTS_PER_INTERVAL)).min(1.0)
    }
}

/// Returns the limit on each demand under a max-min fair division of `total` over the sorted
/// demands, or infinity if all of them can be met.
fn fair_limit(sorted: &[f64], total: f64) -> f64 {
    let mut left = total;
    for (index, demand) in sorted.iter().enumerate() {
        let share = left / (sorted.len() - index) as f64;
        if *demand > share {
            return share;
        }
        left -= demand;
    }
    f64::INFINITY
}
