//! Which requests are refused at the entry, for want of room further down.

use std::collections::{BTreeMap, HashMap};

use filbertwheel_core::{OrganisationId, Priority, Rank, RouteId, ServiceId};
use filbertwheel_policy::{
    AdmissionPlan, AdmissionPlanner, Capacity, FairShedder, RequestCost, RouteDemand, ServiceCost,
};

/// The rank of requests of an organisation without a priority.
fn rank(route: Priority) -> Rank {
    Rank {
        organisation: route,
        route,
    }
}

fn asked(route: &str, priority: Priority, rate: f32) -> RouteDemand {
    RouteDemand {
        route: route.into(),
        rank: rank(priority),
        rate,
    }
}

fn cost(service: &str, slot_seconds: f64) -> RequestCost {
    let visit = ServiceCost {
        calls: 8.0,
        slot_seconds,
    };
    RequestCost::from([(ServiceId::from(service), visit)])
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
    let asked = [
        asked("sheets", 2, sheets),
        asked("tickets", 0, tickets),
        asked("photos", 2, 50.0),
    ];
    AdmissionPlanner::default().plan(&asked, &costs(), &capacities(54.0))
}

fn kept(cuts: &AdmissionPlan, route: &str, priority: Priority) -> u32 {
    cuts.admitted_permille(&route.into(), rank(priority))
        .map_or(1_000, |(part, _)| part)
}

#[test]
fn nothing_is_refused_while_there_is_room() {
    let cuts = plan(100.0, 50.0);
    assert!(cuts.services.is_empty());
}

#[test]
fn the_least_important_requests_of_a_short_service_are_refused() {
    // 200 x 0.24 and 100 x 0.24 slots are asked for, 60 are there.
    let cuts = plan(200.0, 100.0);
    assert_eq!(kept(&cuts, "tickets", 0), 1_000);
    let sheets = kept(&cuts, "sheets", 2);
    assert!((500..750).contains(&sheets), "{sheets}");
    assert_eq!(kept(&cuts, "photos", 2), 1_000);
}

#[test]
fn a_crowded_service_is_given_less_until_it_is_not() {
    let mut planner = AdmissionPlanner::default();
    let asked = [asked("sheets", 2, 400.0)];
    let first = planner.plan(&asked, &costs(), &capacities(90.0));
    let mut last = first.clone();
    for _ in 0..10 {
        last = planner.plan(&asked, &costs(), &capacities(90.0));
    }
    assert!(kept(&last, "sheets", 2) < kept(&first, "sheets", 2));
    for _ in 0..60 {
        last = planner.plan(&asked, &costs(), &capacities(30.0));
    }
    assert!(kept(&last, "sheets", 2) > kept(&first, "sheets", 2));
}

#[test]
fn the_smallest_organisation_keeps_its_requests() {
    let mut shed = FairShedder::default();
    let route = RouteId::from("sheets");
    let large = Some(OrganisationId::from("city"));
    let small = Some(OrganisationId::from("ward"));
    let mut taken = (0, 0);
    for _ in 0..100 {
        for _ in 0..20 {
            taken.0 += u32::from(shed.admit(&route, rank(2), &large, 500));
        }
        taken.1 += u32::from(shed.admit(&route, rank(2), &small, 500));
        shed.end_interval();
    }
    assert!(taken.1 >= 95, "{} of 100 of the small one", taken.1);
    assert!(
        (800..1_200).contains(&taken.0),
        "{} of 2000 of the large one",
        taken.0
    );
}

#[test]
fn a_service_that_stands_mostly_idle_is_given_more_at_once() {
    let mut planner = AdmissionPlanner::default();
    let asked = [asked("sheets", 2, 2_000.0)];
    let mut cuts = planner.plan(&asked, &costs(), &capacities(120.0));
    assert!(kept(&cuts, "sheets", 2) < 200);
    // The cost was learnt while requests waited for each other: the slots are empty now.
    for _ in 0..12 {
        cuts = planner.plan(&asked, &costs(), &capacities(10.0));
    }
    assert!(
        kept(&cuts, "sheets", 2) > 400,
        "{}",
        kept(&cuts, "sheets", 2)
    );
}

#[test]
fn organisations_of_one_priority_are_served_by_the_priority_of_the_route() {
    let rank = |route| Rank {
        organisation: 1,
        route,
    };
    let asked = |route: &str, priority, rate| RouteDemand {
        route: route.into(),
        rank: rank(priority),
        rate,
    };
    let asked = [asked("sheets", 2, 200.0), asked("tickets", 0, 100.0)];
    let cuts = AdmissionPlanner::default().plan(&asked, &costs(), &capacities(54.0));
    let kept = |route: &str, priority| {
        let kept = cuts.admitted_permille(&route.into(), rank(priority));
        kept.map_or(1_000, |(part, _)| part)
    };
    assert_eq!(kept("tickets", 0), 1_000);
    assert!((500..750).contains(&kept("sheets", 2)));
}

#[test]
fn a_route_that_hardly_uses_a_short_service_is_not_cut() {
    let mut costs = costs();
    costs.insert("photos".into(), cost("desk", 0.01));
    let asked = [
        asked("sheets", 2, 400.0),
        asked("tickets", 0, 100.0),
        asked("photos", 2, 100.0),
    ];
    let cuts = AdmissionPlanner::default().plan(&asked, &costs, &capacities(54.0));
    assert!(kept(&cuts, "sheets", 2) < 500);
    assert_eq!(kept(&cuts, "photos", 2), 1_000);
}

#[test]
fn many_routes_that_each_use_little_are_cut_all_the_same() {
    let names: Vec<String> = (0..50).map(|number| format!("r{number}")).collect();
    let costs = names
        .iter()
        .map(|name| (name.as_str().into(), cost("desk", 0.1)));
    let costs: HashMap<RouteId, RequestCost> = costs.collect();
    let asked: Vec<RouteDemand> = names.iter().map(|name| asked(name, 2, 30.0)).collect();
    let cuts = AdmissionPlanner::default().plan(&asked, &costs, &capacities(54.0));
    let whole = names.iter().filter(|name| kept(&cuts, name, 2) == 1_000);
    assert!(whole.count() <= 5);
}
