//! Which requests are taken in at the entry.
//!
//! A request that is refused halfway down has wasted what ran before. So the decision is made
//! where it enters, for all that it will need: from what is asked for over the fleet, what a request
//! of each route takes of each service, and what each service can give.

use std::collections::{BTreeMap, HashMap};

use filbertwheel_core::{OrganisationId, Rank, RouteId, ServiceId, message, value};

use crate::graph::RequestCost;

/// Part of the slots of a service that's planned with. The rest takes up bursts of calls.
const PLANNED_OCCUPANCY: f64 = 0.92;
/// How what a service is given changes at each step, by its occupancy: the factor that holds up to
/// an occupancy. What was learnt while requests waited for each other is far too high, so a service
/// that's mostly idle is given much more at once.
const TRIM_FACTORS: [(f64, f64); 5] = [
    (0.5, 1.2),
    (0.75, 1.06),
    (0.88, 1.015),
    (1.0, 1.0),
    (1.6, 0.985),
];
/// The factor above the last of these.
const OVERLOAD_TRIM_FACTOR: f64 = 0.96;
/// What's held back for each call that waits there, in slots, so that the queue drains without a
/// change of what is planned with.
const SLOTS_PER_QUEUED_CALL: f64 = 0.15;
/// Bounds on the trim.
const TRIM_RANGE: (f64, f64) = (0.4, 6.0);
/// Part of the way back to none that the trim of a service goes at each step that isn't short.
const TRIM_DECAY: f64 = 0.1;
/// Slot-seconds a request below which it doesn't count as using a service.
const MIN_SLOT_SECONDS: f64 = 0.000_5;
/// Part of the slots of a service that its least demanding routes may take without being cut:
/// refusing them would give little room to others.
const EXEMPT_SLOT_FRACTION: f64 = 0.1;

/// Requests that callers asked for at one node.
#[message]
pub struct RouteDemand {
    /// Their route.
    pub route: RouteId,
    /// Their rank.
    pub rank: Rank,
    /// Requests a second.
    pub rate: f32,
}

/// What a service has.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Capacity {
    /// Slots of its serving backend servers.
    pub slots: f64,
    /// Calls that run or wait there.
    pub in_flight: f64,
}

/// Which requests of a service are refused.
#[value]
#[derive(Copy)]
pub struct ShedThreshold {
    /// Requests that come behind this rank are refused, those before it are taken.
    pub rank: Rank,
    /// Part of the requests of this rank that's taken, in thousandths.
    pub admitted_permille: u32,
}

/// Which requests are refused at present.
#[derive(Debug, Clone, Default)]
pub struct AdmissionPlan {
    /// The cut of each service that's short.
    pub services: BTreeMap<ServiceId, ShedThreshold>,
    /// The short services that a route needs.
    routes: HashMap<RouteId, Vec<ServiceId>>,
}

impl AdmissionPlan {
    /// The short services that a route needs, each with its cut.
    pub fn overloaded_services<'a>(
        &'a self,
        route: &RouteId,
    ) -> impl Iterator<Item = (&'a ServiceId, &'a ShedThreshold)> {
        let used = self.routes.get(route).into_iter().flatten();
        used.filter_map(|service| Some((service, self.services.get(service)?)))
    }

    /// The strictest cut that a request falls under: the part of such requests that's taken, in
    /// thousandths, and the service that's short.
    pub fn admitted_permille(&self, route: &RouteId, rank: Rank) -> Option<(u32, &ServiceId)> {
        let used = self.routes.get(route)?;
        let admitted = used.iter().filter_map(|service| {
            let threshold = self.services.get(service)?;
            Some((threshold.permille_of(rank), service))
        });
        admitted.min_by_key(|(permille, _)| *permille)
    }
}

impl ShedThreshold {
    /// The part of the requests of a rank that's taken, in thousandths.
    fn permille_of(&self, rank: Rank) -> u32 {
        match rank.cmp(&self.rank) {
            std::cmp::Ordering::Less => 1_000,
            std::cmp::Ordering::Equal => self.admitted_permille,
            std::cmp::Ordering::Greater => 0,
        }
    }
}

/// Plans the cuts, and corrects the plan by what the services then show.
#[derive(Debug, Default)]
pub struct AdmissionPlanner {
    trims: BTreeMap<ServiceId, f64>,
}

impl AdmissionPlanner {
    /// Plans for the next interval.
    pub fn plan<'a>(
        &mut self,
        demands: impl IntoIterator<Item = &'a RouteDemand>,
        costs: &HashMap<RouteId, RequestCost>,
        capacities: &BTreeMap<ServiceId, Capacity>,
    ) -> AdmissionPlan {
        let mut slots_by_rank: BTreeMap<&ServiceId, BTreeMap<Rank, f64>> = BTreeMap::new();
        let mut slots_by_route: BTreeMap<&ServiceId, BTreeMap<&RouteId, f64>> = BTreeMap::new();
        for demand in demands {
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
        let mut services = BTreeMap::new();
        for (service, by_rank) in slots_by_rank {
            let Some(capacity) = capacities.get(service).filter(|one| one.slots > 0.0) else {
                continue;
            };
            let trim = self.trims.get(service).copied().unwrap_or(1.0);
            let queued = (capacity.in_flight - capacity.slots).max(0.0);
            let planned =
                capacity.slots * PLANNED_OCCUPANCY * trim - queued * SLOTS_PER_QUEUED_CALL;
            let threshold = shed_threshold(&by_rank, planned.max(0.0));
            self.adjust_trim(service, *capacity, threshold.is_some());
            if let Some(threshold) = threshold {
                services.insert(service.clone(), threshold);
            }
        }
        let mut routes: HashMap<RouteId, Vec<ServiceId>> = HashMap::new();
        for (service, by_route) in slots_by_route {
            if !services.contains_key(service) {
                continue;
            }
            let slots = capacities.get(service).map_or(0.0, |one| one.slots);
            for route in demanding_routes(&by_route, slots * EXEMPT_SLOT_FRACTION) {
                let used = routes.entry(route.clone()).or_default();
                used.push(service.clone());
            }
        }
        AdmissionPlan { services, routes }
    }

    /// Corrects what a service is given by what it shows.
    fn adjust_trim(&mut self, service: &ServiceId, capacity: Capacity, is_overloaded: bool) {
        let trim = self.trims.entry(service.clone()).or_insert(1.0);
        let occupancy = capacity.in_flight / capacity.slots;
        let step = TRIM_FACTORS
            .iter()
            .find(|(highest, _)| occupancy <= *highest);
        let factor = step.map_or(OVERLOAD_TRIM_FACTOR, |(_, factor)| *factor);
        if is_overloaded || factor < 1.0 {
            *trim = (*trim * factor).clamp(TRIM_RANGE.0, TRIM_RANGE.1);
        } else {
            *trim += (1.0 - *trim) * TRIM_DECAY;
        }
    }
}

/// The routes without the least demanding ones, which together take up to `slight` slots.
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

/// The cut that brings a demand down to what can be given, the first rank first.
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

/// Weight of the newest interval in what an organisation asks for.
const DEMAND_EWMA_WEIGHT: f64 = 0.3;
/// Requests an interval below which an organisation is forgotten.
const MIN_REQUESTS_PER_INTERVAL: f64 = 0.02;

/// Spreads a cut over the organisations of one node, so that those with little keep theirs.
#[derive(Debug, Default)]
pub struct FairShedder {
    flows: HashMap<Flow, FlowState>,
}

/// Requests that are cut alike.
type Flow = (RouteId, Rank, Option<OrganisationId>);

#[derive(Debug, Default)]
struct FlowState {
    /// Requests in the present interval.
    count: f64,
    /// Requests an interval, smoothed.
    demand: f64,
    /// Fraction of a request that may be taken already.
    credit: f64,
}

impl FairShedder {
    /// Whether a request is taken, where `kept` thousandths of all like it are.
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

    /// Ends an interval.
    pub fn end_interval(&mut self) {
        for state in self.flows.values_mut() {
            state.demand += (state.count - state.demand) * DEMAND_EWMA_WEIGHT;
            state.count = 0.0;
        }
        self.flows
            .retain(|_, state| state.demand >= MIN_REQUESTS_PER_INTERVAL);
    }

    /// The part of a lane that's taken, if all lanes beside it share what is kept max-min fairly.
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

/// The level up to which each of the sorted wishes is met, so that all together get `total`.
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
