//! What would not fit if a failure domain were evacuated now.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use filbertwheel_core::{DomainId, RouteId, ServiceId};

use crate::{RequestCost, RouteDemand};

/// Capacity of one backend server and its present use.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendCapacity {
    /// Failure domain.
    pub domain: DomainId,
    /// Service.
    pub service: ServiceId,
    /// Slots that it can use at present.
    pub slots: f64,
    /// Calls that run or are queued there.
    pub in_flight: f64,
}

/// What is left of a service without some failure domain.
#[derive(Debug, Clone, PartialEq)]
pub struct Headroom {
    /// The service.
    pub service: ServiceId,
    /// Slots without the domain, and without the domains that are evacuated already.
    pub slots: f64,
    /// Calls that run or are queued, in all domains.
    pub in_flight: f64,
    /// Slots that the demand of callers occupies on average.
    pub demand: f64,
    /// Slots that are lacking: 0 if everything fits.
    pub lacking: f64,
}

/// Returns the slots of each service that the demand of callers occupies on average.
pub fn demanded_slots(
    demand: &[RouteDemand],
    costs: &HashMap<RouteId, RequestCost>,
) -> BTreeMap<ServiceId, f64> {
    let mut slots: BTreeMap<ServiceId, f64> = BTreeMap::new();
    for one in demand {
        for (service, cost) in costs.get(&one.route).into_iter().flatten() {
            let demanded = slots.entry(service.clone()).or_default();
            *demanded += f64::from(one.rate) * cost.slot_seconds;
        }
    }
    slots
}

/// Returns for each failure domain that isn't evacuated what is left of the services there without it.
pub fn headroom(
    servers: &[BackendCapacity],
    evacuated: &BTreeSet<DomainId>,
    demand: &BTreeMap<ServiceId, f64>,
) -> BTreeMap<DomainId, Vec<Headroom>> {
    let domains = servers.iter().map(|server| &server.domain);
    let domains: BTreeSet<&DomainId> = domains.filter(|one| !evacuated.contains(*one)).collect();
    let without = |domain: &DomainId| {
        let affected = servers.iter().filter(|server| server.domain == *domain);
        let services: BTreeSet<&ServiceId> = affected.map(|server| &server.service).collect();
        let services = services.into_iter();
        services
            .map(|service| headroom_of(service, domain, servers, evacuated, demand))
            .collect()
    };
    let domains = domains.into_iter();
    domains
        .map(|domain| (domain.clone(), without(domain)))
        .collect()
}

fn headroom_of(
    service: &ServiceId,
    domain: &DomainId,
    servers: &[BackendCapacity],
    evacuated: &BTreeSet<DomainId>,
    demand: &BTreeMap<ServiceId, f64>,
) -> Headroom {
    let all = || servers.iter().filter(|server| server.service == *service);
    let left = all().filter(|one| one.domain != *domain && !evacuated.contains(&one.domain));
    let slots: f64 = left.map(|server| server.slots).sum();
    let in_flight: f64 = all().map(|server| server.in_flight).sum();
    let demand = demand.get(service).copied().unwrap_or_default();
    Headroom {
        service: service.clone(),
        slots,
        in_flight,
        demand,
        lacking: (in_flight.max(demand) - slots).max(0.0),
    }
}
