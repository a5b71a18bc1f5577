//! Start of an overload: a burst with nothing learnt, and a wave that rises within seconds.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use filbertwheel_core::{Rank, RouteId};
use filbertwheel_policy::{
    AdmissionPlanner, Capacity, DemandTrend, RequestCost, RouteDemand, ServiceCost,
};

/// Time between two plans.
const INTERVAL: Duration = Duration::from_millis(250);
const SLOTS: f64 = 100.0;

fn rank(route: u8) -> Rank {
    Rank {
        organisation: 1,
        route: route.into(),
    }
}

fn demand(route: &str, priority: u8, rate: f32) -> RouteDemand {
    RouteDemand {
        route: route.into(),
        rank: rank(priority),
        rate,
    }
}

fn costs(slot_seconds: Option<f64>) -> HashMap<RouteId, RequestCost> {
    let cost = slot_seconds.map(|slot_seconds| {
        let cost = ServiceCost {
            calls: 4.0,
            slot_seconds,
        };
        ("records".into(), cost)
    });
    let routes = ["publish", "read"];
    routes
        .map(|route| (route.into(), cost.clone().into_iter().collect()))
        .into()
}

fn capacities(in_flight: f64) -> BTreeMap<filbertwheel_core::ServiceId, Capacity> {
    let capacity = Capacity {
        slots: SLOTS,
        in_flight,
    };
    BTreeMap::from([("records".into(), capacity)])
}

fn burst() -> [RouteDemand; 2] {
    [demand("publish", 0, 100.0), demand("read", 2, 300.0)]
}

// Guards against requests that are all let in until the first of them have ended: their calls wait at
// the deepest service, and most of them end at their deadline.
#[test]
fn a_burst_is_shed_in_order_of_rank_before_its_costs_are_learnt() {
    let mut planner = AdmissionPlanner::default();
    let costs = costs(None);
    planner.plan(&burst(), &costs, &capacities(0.0), INTERVAL);
    planner.plan(&burst(), &costs, &capacities(20.0), INTERVAL);
    // The calls rise by 40 in a quarter of a second: soon there will be more than slots.
    let plan = planner.plan(&burst(), &costs, &capacities(60.0), INTERVAL);
    let admitted = |route: &str, priority| {
        let permille = plan.admitted_permille(&route.into(), rank(priority));
        permille.map_or(1_000, |(permille, _)| permille)
    };
    assert_eq!(admitted("publish", 0), 1_000);
    assert!((400..950).contains(&admitted("read", 2)));
}

// Guards against the opposite: requests that are refused while nothing is learnt, though they fit.
#[test]
fn a_load_that_will_fit_is_not_shed_at_its_start() {
    let mut planner = AdmissionPlanner::default();
    for in_flight in [0.0, 10.0, 30.0, 45.0, 50.0] {
        let plan = planner.plan(&burst(), &costs(None), &capacities(in_flight), INTERVAL);
        assert!(plan.thresholds.is_empty(), "{in_flight}");
    }
}

// Guards against refusals for all routes because a backend server hangs, long after the costs are learnt.
#[test]
fn calls_that_pile_up_later_are_not_taken_for_an_unknown_load() {
    let mut planner = AdmissionPlanner::default();
    let costs = costs(Some(0.15));
    planner.plan(&burst(), &costs, &capacities(60.0), INTERVAL);
    // A backend server hangs: its calls wait, though the demand is the same.
    let plan = planner.plan(&burst(), &costs, &capacities(200.0), INTERVAL);
    let all = plan.admitted_permille(&"publish".into(), rank(0));
    assert!(all.is_none_or(|(permille, _)| permille == 1_000));
    let reads = plan.admitted_permille(&"read".into(), rank(2));
    assert!(
        reads.is_none_or(|(permille, _)| permille >= 900),
        "{reads:?}"
    );
}

// Guards against a wave that has filled the queues before its demand counts.
#[test]
fn a_rising_wave_counts_at_once_and_a_falling_one_slowly() {
    let mut trend = DemandTrend::default();
    let mut rate = 0.0;
    for step in 0..60 {
        // The demand more than triples within 7.5 s.
        let present = 450.0 + 1_100.0 * step as f32 / 30.0;
        let present = present.min(1_550.0);
        let smoothed = trend.update(&[demand("read", 2, present)], INTERVAL);
        rate = smoothed[0].rate;
        assert!(rate >= present * 0.85, "{rate} of {present}");
    }
    let smoothed = trend.update(&[demand("read", 2, 700.0)], INTERVAL);
    assert!(smoothed[0].rate > 1_000.0 && smoothed[0].rate < rate);
}

// Guards against refusals by the chance differences of a small demand.
#[test]
fn chance_differences_of_a_small_demand_are_smoothed() {
    let mut trend = DemandTrend::default();
    trend.update(&[demand("read", 2, 20.0)], INTERVAL);
    let smoothed = trend.update(&[demand("read", 2, 28.0)], INTERVAL);
    assert!(smoothed[0].rate < 24.0, "{}", smoothed[0].rate);
}
