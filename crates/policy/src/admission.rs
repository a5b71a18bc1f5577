//! Which requests are taken in at the entry.
//!
//! A request that is refused halfway down has wasted what ran before. So the decision is made
//! where it enters, for all that it will need: from what is asked for over the fleet, what a request
//! of each route takes of each service, and what each service can give.

use std::collections::{BTreeMap, HashMap};

use filbertwheel_core::{OrganisationId, Rank, RouteId, ServiceId, message, value};

use crate::graph::RequestCost;

/// Part of the slots of a service that's planned with. The rest takes up bursts of calls.
const PLANNED_SLOTS: f64 = 0.92;
/// How what a service is given changes at each step, by its occupancy: the factor that holds up to
/// an occupancy. What was learnt while requests waited for each other is far too high, so a service
/// that's mostly idle is given much more at once.
const STEPS: [(f64, f64); 5] = [
    (0.5, 1.2),
    (0.75, 1.06),
    (0.88, 1.015),
    (1.0, 1.0),
    (1.6, 0.985),
];
/// The factor above the last of these.
const CROWDED_STEP: f64 = 0.96;
/// What's held back for each call that waits there, in slots, so that the queue drains without a
/// change of what is planned with.
const DRAIN: f64 = 0.15;
/// Bounds on the trim.
const TRIM_RANGE: (f64, f64) = (0.4, 6.0);
/// Part of the way back to none that the trim of a service goes at each step that isn't short.
const TRIM_RETURN: f64 = 0.1;
/// Slot-seconds a request below which it doesn't count as using a service.
const SLIGHT_COST: f64 = 0.000_5;
/// Part of the slots of a service that its least demanding routes may take without being cut:
/// refusing them would give little room to others.
const SLIGHT_DEMAND: f64 = 0.1;

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
        let needed = self.routes.get(route).into_iter().flatten();
        needed.filter_map(|service| Some((service, self.services.get(service)?)))
    }

    /// The strictest cut that a request falls under: the part of such requests that's taken, in
    /// thousandths, and the service that's short.
    pub fn admitted_permille(&self, route: &RouteId, rank: Rank) -> Option<(u32, &ServiceId)> {
        let needed = self.routes.get(route)?;
        let parts = needed.iter().filter_map(|service| {
            let cut = self.services.get(service)?;
            Some((cut.part(rank), service))
        });
        parts.min_by_key(|(part, _)| *part)
    }
}

impl ShedThreshold {
    /// The part of the requests of a rank that's taken, in thousandths.
    fn part(&self, rank: Rank) -> u32 {
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
        asked: impl IntoIterator<Item = &'a RouteDemand>,
        costs: &HashMap<RouteId, RequestCost>,
        capacities: &BTreeMap<ServiceId, Capacity>,
    ) -> AdmissionPlan {
        let mut demands: BTreeMap<&ServiceId, BTreeMap<Rank, f64>> = BTreeMap::new();
        let mut by_route: BTreeMap<&ServiceId, BTreeMap<&RouteId, f64>> = BTreeMap::new();
        for asked in asked {
            for (service, visit) in costs.get(&asked.route).into_iter().flatten() {
                if visit.slot_seconds >= SLIGHT_COST {
                    let slots = f64::from(asked.rate) * visit.slot_seconds;
                    let demand = demands.entry(service).or_default();
                    *demand.entry(asked.rank).or_default() += slots;
                    let demand = by_route.entry(service).or_default();
                    *demand.entry(&asked.route).or_default() += slots;
                }
            }
        }
        let mut services = BTreeMap::new();
        for (service, demand) in demands {
            let Some(capacity) = capacities.get(service).filter(|one| one.slots > 0.0) else {
                continue;
            };
            let trim = self.trims.get(service).copied().unwrap_or(1.0);
            let queued = (capacity.in_flight - capacity.slots).max(0.0);
            let given = capacity.slots * PLANNED_SLOTS * trim - queued * DRAIN;
            let cut = cut(&demand, given.max(0.0));
            self.adjust(service, *capacity, cut.is_some());
            if let Some(cut) = cut {
                services.insert(service.clone(), cut);
            }
        }
        let mut routes: HashMap<RouteId, Vec<ServiceId>> = HashMap::new();
        for (service, demand) in by_route {
            if !services.contains_key(service) {
                continue;
            }
            let slots = capacities.get(service).map_or(0.0, |one| one.slots);
            for route in demanding(&demand, slots * SLIGHT_DEMAND) {
                let needed = routes.entry(route.clone()).or_default();
                needed.push(service.clone());
            }
        }
        AdmissionPlan { services, routes }
    }

    /// Corrects what a service is given by what it shows.
    fn adjust(&mut self, service: &ServiceId, capacity: Capacity, is_short: bool) {
        let trim = self.trims.entry(service.clone()).or_insert(1.0);
        let occupancy = capacity.in_flight / capacity.slots;
        let step = STEPS.iter().find(|(up_to, _)| occupancy <= *up_to);
        let factor = step.map_or(CROWDED_STEP, |(_, factor)| *factor);
        if is_short || factor < 1.0 {
            *trim = (*trim * factor).clamp(TRIM_RANGE.0, TRIM_RANGE.1);
        } else {
            *trim += (1.0 - *trim) * TRIM_RETURN;
        }
    }
}

/// The routes without the least demanding ones, which together take up to `slight` slots.
fn demanding<'a>(
    demand: &BTreeMap<&'a RouteId, f64>,
    slight: f64,
) -> impl Iterator<Item = &'a RouteId> {
    let mut routes: Vec<(&RouteId, f64)> =
        demand.iter().map(|(route, one)| (*route, *one)).collect();
    routes.sort_by(|one, other| one.1.total_cmp(&other.1));
    let mut total = 0.0;
    routes.into_iter().filter_map(move |(route, slots)| {
        total += slots;
        (total > slight).then_some(route)
    })
}

/// The cut that brings a demand down to what can be given, the first rank first.
fn cut(demand: &BTreeMap<Rank, f64>, given: f64) -> Option<ShedThreshold> {
    let mut left = given;
    for (rank, wanted) in demand {
        if *wanted > left {
            let admitted_permille = (left / wanted * 1_000.0) as u32;
            return Some(ShedThreshold {
                rank: *rank,
                admitted_permille,
            });
        }
        left -= wanted;
    }
    None
}

/// Weight of the newest interval in what an organisation asks for.
const ASKED_WEIGHT: f64 = 0.3;
/// Requests an interval below which an organisation is forgotten.
const ASKED_FLOOR: f64 = 0.02;

/// Spreads a cut over the organisations of one node, so that those with little keep theirs.
#[derive(Debug, Default)]
pub struct FairShedder {
    lanes: HashMap<Lane, Usage>,
}

/// Requests that are cut alike.
type Lane = (RouteId, Rank, Option<OrganisationId>);

#[derive(Debug, Default)]
struct Usage {
    /// Requests in the present interval.
    count: f64,
    /// Requests an interval, smoothed.
    asked: f64,
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
        kept: u32,
    ) -> bool {
        let lane = (route.clone(), rank, organisation.clone());
        self.lanes.entry(lane.clone()).or_default().count += 1.0;
        if kept >= 1_000 {
            return true;
        }
        let part = self.part(&lane, f64::from(kept) / 1_000.0);
        let usage = self.lanes.entry(lane).or_default();
        usage.credit = (usage.credit + part).min(1.0 + part);
        if usage.credit >= 1.0 {
            usage.credit -= 1.0;
            return true;
        }
        false
    }

    /// Ends an interval.
    pub fn end_interval(&mut self) {
        for usage in self.lanes.values_mut() {
            usage.asked += (usage.count - usage.asked) * ASKED_WEIGHT;
            usage.count = 0.0;
        }
        self.lanes.retain(|_, usage| usage.asked >= ASKED_FLOOR);
    }

    /// The part of a lane that's taken, if all lanes beside it share what is kept max-min fairly.
    fn part(&self, lane: &Lane, kept: f64) -> f64 {
        let (route, rank, _) = lane;
        let beside = self
            .lanes
            .iter()
            .filter(|((other, level, _), _)| other == route && level == rank);
        let mut wanted: Vec<f64> = beside
            .map(|(_, usage)| usage.asked.max(ASKED_FLOOR))
            .collect();
        wanted.sort_by(f64::total_cmp);
        let level = water_level(&wanted, kept * wanted.iter().sum::<f64>());
        let own = self.lanes.get(lane).map_or(0.0, |usage| usage.asked);
        (level / own.max(ASKED_FLOOR)).min(1.0)
    }
}

/// The level up to which each of the sorted wishes is met, so that all together get `total`.
fn water_level(sorted: &[f64], total: f64) -> f64 {
    let mut left = total;
    for (index, wish) in sorted.iter().enumerate() {
        let share = left / (sorted.len() - index) as f64;
        if *wish > share {
            return share;
        }
        left -= wish;
    }
    f64::INFINITY
}
