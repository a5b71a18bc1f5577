//! Load shedding: which requests the entry node refuses when a service is overloaded.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use filbertwheel_core::{OrganisationId, Priority, Rank, RouteId, ServiceId};
use filbertwheel_policy::{
    AdmissionPlan, AdmissionPlanner, Capacity, FairShedder, RequestCost, RouteDemand, ServiceCost,
};

/// Time between two plans.
const INTERVAL: Duration = Duration::from_millis(250);

/// Returns the rank of requests whose organisation and route have the same priority.
fn rank(route: Priority) -> Rank {
    Rank {
        organisation: route,
        route,
    }
}

fn demand(route: &str, priority: Priority, rate: f32) -> RouteDemand {
    RouteDemand {
        route: route.into(),
        rank: rank(priority),
        rate,
    }
}

fn cost(service: &str, slot_seconds: f64) -> RequestCost {
    let service_cost = ServiceCost {
        calls: 8.0,
        slot_seconds,
    };
    RequestCost::from([(ServiceId::from(service), service_cost)])
}

fn costs() -> HashMap<RouteId, RequestCost> {
    HashMap::from([
        ("sheets".into(), cost("desk", 0.24)),
        ("tickets".into(), cost("desk", 0.24)),
        ("photos".into(), cost("media", 0.1)),
    ])
}

fn capacities(in_flight: f64) -> BTreeMap<ServiceId, Capacity> {
    let slots = 60.0;
    BTreeMap::from([
        ("desk".into(), Capacity { slots, in_flight }),
        (
            "media".into(),
            Capacity {
                slots: 300.0,
                in_flight: 10.0,
            },
        ),
    ])
}

fn plan(sheets: f32, tickets: f32) -> AdmissionPlan {
    let demands = [
        demand("sheets", 2, sheets),
        demand("tickets", 0, tickets),
        demand("photos", 2, 50.0),
    ];
    AdmissionPlanner::default().plan(&demands, &costs(), &capacities(54.0), INTERVAL)
}

fn admitted(plan: &AdmissionPlan, route: &str, priority: Priority) -> u32 {
    plan.admitted_permille(&route.into(), rank(priority))
        .map_or(1_000, |(permille, _)| permille)
}

#[test]
fn nothing_is_refused_while_capacity_suffices() {
    let plan = plan(100.0, 50.0);
    assert!(plan.thresholds.is_empty());
}

#[test]
fn the_lowest_priority_requests_of_an_overloaded_service_are_refused() {
    // The demand is 200 x 0.24 and 100 x 0.24 slots, and the service has 60.
    let plan = plan(200.0, 100.0);
    assert_eq!(admitted(&plan, "tickets", 0), 1_000);
    let sheets = admitted(&plan, "sheets", 2);
    assert!((500..750).contains(&sheets), "{sheets}");
    assert_eq!(admitted(&plan, "photos", 2), 1_000);
}

#[test]
fn an_overloaded_service_is_assigned_less_until_it_recovers() {
    let mut planner = AdmissionPlanner::default();
    let demands = [demand("sheets", 2, 400.0)];
    let first = planner.plan(&demands, &costs(), &capacities(90.0), INTERVAL);
    let mut last = first.clone();
    for _ in 0..10 {
        last = planner.plan(&demands, &costs(), &capacities(90.0), INTERVAL);
    }
    assert!(admitted(&last, "sheets", 2) < admitted(&first, "sheets", 2));
    for _ in 0..60 {
        last = planner.plan(&demands, &costs(), &capacities(30.0), INTERVAL);
    }
    assert!(admitted(&last, "sheets", 2) > admitted(&first, "sheets", 2));
}

#[test]
fn an_organisation_with_few_requests_is_not_shed() {
    let mut shedder = FairShedder::default();
    let route = RouteId::from("sheets");
    let large = Some(OrganisationId::from("city"));
    let small = Some(OrganisationId::from("ward"));
    let mut admitted = (0, 0);
    for _ in 0..100 {
        for _ in 0..20 {
            admitted.0 += u32::from(shedder.admit(&route, rank(2), &large, 500));
        }
        admitted.1 += u32::from(shedder.admit(&route, rank(2), &small, 500));
        shedder.end_interval();
    }
    assert!(
        admitted.1 >= 95,
        "{} of 100 requests of the small organisation",
        admitted.1
    );
    assert!(
        (800..1_200).contains(&admitted.0),
        "{} of 2000 requests of the large organisation",
        admitted.0
    );
}

#[test]
fn a_mostly_idle_service_is_assigned_more_quickly() {
    let mut planner = AdmissionPlanner::default();
    let demands = [demand("sheets", 2, 2_000.0)];
    let mut plan = planner.plan(&demands, &costs(), &capacities(120.0), INTERVAL);
    assert!(admitted(&plan, "sheets", 2) < 200);
    // The costs were learnt while requests waited for each other. Now the slots are idle.
    for _ in 0..12 {
        plan = planner.plan(&demands, &costs(), &capacities(10.0), INTERVAL);
    }
    assert!(
        admitted(&plan, "sheets", 2) > 400,
        "{}",
        admitted(&plan, "sheets", 2)
    );
}

#[test]
fn organisations_of_equal_priority_are_shed_by_route_priority() {
    let rank = |route| Rank {
        organisation: 1,
        route,
    };
    let demand = |route: &str, priority, rate| RouteDemand {
        route: route.into(),
        rank: rank(priority),
        rate,
    };
    let demands = [demand("sheets", 2, 200.0), demand("tickets", 0, 100.0)];
    let plan = AdmissionPlanner::default().plan(&demands, &costs(), &capacities(54.0), INTERVAL);
    let admitted = |route: &str, priority| {
        let permille = plan.admitted_permille(&route.into(), rank(priority));
        permille.map_or(1_000, |(permille, _)| permille)
    };
    assert_eq!(admitted("tickets", 0), 1_000);
    assert!((500..750).contains(&admitted("sheets", 2)));
}

#[test]
fn a_route_that_hardly_uses_an_overloaded_service_is_not_shed() {
    let mut costs = costs();
    costs.insert("photos".into(), cost("desk", 0.01));
    let demands = [
        demand("sheets", 2, 400.0),
        demand("tickets", 0, 100.0),
        demand("photos", 2, 100.0),
    ];
    let plan = AdmissionPlanner::default().plan(&demands, &costs, &capacities(54.0), INTERVAL);
    assert!(admitted(&plan, "sheets", 2) < 500);
    assert_eq!(admitted(&plan, "photos", 2), 1_000);
}

#[test]
fn many_routes_with_little_demand_each_are_shed_together() {
    let names: Vec<String> = (0..50).map(|number| format!("r{number}")).collect();
    let costs = names
        .iter()
        .map(|name| (name.as_str().into(), cost("desk", 0.1)));
    let costs: HashMap<RouteId, RequestCost> = costs.collect();
    let demands: Vec<RouteDemand> = names.iter().map(|name| demand(name, 2, 30.0)).collect();
    let plan = AdmissionPlanner::default().plan(&demands, &costs, &capacities(54.0), INTERVAL);
    let unaffected = names
        .iter()
        .filter(|name| admitted(&plan, name, 2) == 1_000);
    assert!(unaffected.count() <= 5);
}
