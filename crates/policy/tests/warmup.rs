//! Load shedding while the backend servers of a service warm up.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use filbertwheel_core::{Priority, Rank, RouteId, ServiceId};
use filbertwheel_policy::{
    ColdCapacity, RequestCost, RouteDemand, ServiceCapacity, ServiceCost, WarmupPlan, plan_warmup,
    retry_time,
};
use proptest::prelude::*;

/// Requests per second that a cold backend server takes.
const RATE: f32 = 10.0;
const LEFT: Duration = Duration::from_secs(3);

fn rank(priority: Priority) -> Rank {
    Rank {
        organisation: priority,
        route: priority,
    }
}

fn demand(route: &str, priority: Priority, rate: f32) -> RouteDemand {
    RouteDemand {
        route: route.into(),
        rank: rank(priority),
        rate,
    }
}

/// Returns a cost of this many calls at each service, each of a tenth of a second.
fn cost(calls: &[(&str, f64)]) -> RequestCost {
    let calls = calls.iter().map(|(service, calls)| {
        let cost = ServiceCost {
            calls: *calls,
            slot_seconds: calls * 0.1,
        };
        (ServiceId::from(*service), cost)
    });
    calls.collect()
}

/// Returns the costs of sheets, which call the desk eight times, of tickets, which call it four times,
/// and of complaints, which run there.
fn costs() -> HashMap<RouteId, RequestCost> {
    HashMap::from([
        ("sheets".into(), cost(&[("rounds", 1.0), ("desk", 8.0)])),
        ("tickets".into(), cost(&[("scales", 1.0), ("desk", 4.0)])),
        ("complaints".into(), cost(&[("desk", 1.0)])),
    ])
}

/// Returns a service with ten backend servers of 40 slots, of which some are cold.
fn service(name: &str, cold: u32) -> ServiceCapacity {
    let cold_slots = cold as f32;
    ServiceCapacity {
        service: name.into(),
        slots: (10 - cold) as f32 * 40.0 + cold_slots,
        in_flight: 0.0,
        servers: 10,
        cold: ColdCapacity {
            servers: cold,
            rate: cold as f32 * RATE,
            slots: cold_slots,
            left: LEFT,
        },
    }
}

fn permille(plan: &WarmupPlan, route: &str, priority: Priority) -> u32 {
    let share = plan.share(&route.into(), rank(priority));
    share.map_or(1_000, |share| share.admitted_permille)
}

/// Returns the calls per second that the plan lets in at each service.
fn admitted_calls(
    plan: &WarmupPlan,
    demands: &[RouteDemand],
    costs: &HashMap<RouteId, RequestCost>,
) -> BTreeMap<ServiceId, f64> {
    let mut calls = BTreeMap::new();
    for demand in demands {
        let share = plan.share(&demand.route, demand.rank);
        let part = share.map_or(1.0, |share| f64::from(share.admitted_permille) / 1_000.0);
        for (service, cost) in &costs[&demand.route] {
            *calls.entry(service.clone()).or_default() +=
                cost.calls * f64::from(demand.rate) * part;
        }
    }
    calls
}

// Guards against requests that are let in and fail halfway, because a service further down is cold:
// after a loss of power every entry let in what its own service could take.
#[test]
fn whole_requests_are_let_in_and_the_most_urgent_first() {
    let demands = [
        demand("sheets", 2, 500.0),
        demand("tickets", 0, 20.0),
        demand("complaints", 1, 40.0),
    ];
    let services = [
        service("rounds", 10),
        service("scales", 10),
        service("desk", 10),
    ];
    let plan = plan_warmup(&demands, &costs(), &services);
    // The desk takes 100 calls a second, 90 of them planned: 80 for tickets, 10 for complaints.
    assert_eq!(permille(&plan, "tickets", 0), 1_000);
    assert_eq!(permille(&plan, "complaints", 1), 250);
    assert_eq!(permille(&plan, "sheets", 2), 0);
    let share = plan.share(&"sheets".into(), rank(2)).expect("a share");
    assert_eq!((share.service.as_str(), share.left), (Some("desk"), LEFT));
}

// Guards against refusals because a service is cold that the requests don't need, or of which only some
// backend servers are cold: that is left to the plan by slots.
#[test]
fn services_that_are_warm_or_not_used_refuse_nothing() {
    let demands = [demand("sheets", 1, 500.0), demand("complaints", 1, 50.0)];
    let services = [
        service("rounds", 5),
        service("scales", 10),
        service("desk", 0),
    ];
    let plan = plan_warmup(&demands, &costs(), &services);
    assert_eq!(plan.shares().count(), 0);
}

// Guards against warm backend servers that stand idle because others of their service are cold.
#[test]
fn warm_backend_servers_are_planned_for_by_their_slots() {
    let demands = [demand("complaints", 1, 2_000.0)];
    let plan = plan_warmup(&demands, &costs(), &[service("desk", 6)]);
    // Four warm ones with 40 slots run 1600 calls of a tenth of a second, six cold ones 60.
    assert_eq!(permille(&plan, "complaints", 1), 747);
}

// Guards against a fleet without history that lets everything in: nothing is known of the calls of a
// route then, but the service that it targets.
#[test]
fn requests_without_history_are_bound_by_the_service_that_they_target() {
    let unknown = ServiceCost {
        calls: 1.0,
        slot_seconds: 0.0,
    };
    let costs = HashMap::from([(
        RouteId::from("complaints"),
        RequestCost::from([("desk".into(), unknown)]),
    )]);
    let demands = [demand("complaints", 1, 900.0)];
    let plan = plan_warmup(&demands, &costs, &[service("desk", 6)]);
    assert_eq!(permille(&plan, "complaints", 1), 100);
}

// Guards against callers that are told to come back at once at the end of a warm-up, while the plan that
// refuses them is still in force.
#[test]
fn callers_never_return_at_once() {
    assert!(retry_time(Duration::ZERO, 0.0) >= Duration::from_millis(250));
}

// Guards against callers that are told to come back while they would be refused again, or all at once.
#[test]
fn callers_return_after_the_warmup_and_spread() {
    let times: Vec<Duration> = (0..=10)
        .map(|one| retry_time(LEFT, f64::from(one) / 10.0))
        .collect();
    assert!(
        times
            .iter()
            .all(|time| *time >= LEFT && *time <= LEFT.mul_f64(1.5))
    );
    assert!(
        times
            .windows(2)
            .all(|pair| pair[1] - pair[0] >= Duration::from_millis(149))
    );
}

proptest! {
    // Guards against a plan that lets in more calls than cold services take, that leaves room which an
    // urgent request could use, or that prefers a less urgent one.
    #[test]
    fn no_service_gets_more_than_it_takes(
        rates in proptest::collection::vec(0.0_f32..400.0, 6),
        ranks in proptest::collection::vec(0_u32..3, 6),
        calls in proptest::collection::vec(0.0_f64..6.0, 18),
        cold in proptest::collection::vec(6_u32..=10, 3),
    ) {
        let names = ["rounds", "scales", "desk"];
        let routes = ["a", "b", "c", "d", "e", "f"];
        let costs: HashMap<RouteId, RequestCost> = routes
            .iter()
            .zip(calls.chunks(3))
            .map(|(route, calls)| {
                let calls: Vec<(&str, f64)> = names.into_iter().zip(calls.iter().copied()).collect();
                (RouteId::from(*route), cost(&calls))
            })
            .collect();
        let demands: Vec<RouteDemand> = (0..6)
            .map(|index| demand(routes[index], ranks[index], rates[index]))
            .collect();
        let services: Vec<ServiceCapacity> =
            names.iter().zip(&cold).map(|(name, cold)| service(name, *cold)).collect();
        let plan = plan_warmup(&demands, &costs, &services);
        let admitted = admitted_calls(&plan, &demands, &costs);
        let takes = |one: &ServiceCapacity| {
            f64::from(one.cold.rate) + f64::from(one.slots - one.cold.slots) / 0.1
        };
        for one in &services {
            let calls = admitted[&one.service];
            prop_assert!(calls <= takes(one) * 0.91 + 0.01, "{calls} of {}", takes(one));
        }
        for ((route, rank), share) in plan.shares() {
            let stopper = services.iter().find(|one| one.service == share.service);
            let stopper = stopper.expect("a known service");
            // The refused need a service that is full, of their rank and those before it.
            let urgent: Vec<RouteDemand> =
                demands.iter().filter(|one| one.rank <= *rank).cloned().collect();
            let calls = admitted_calls(&plan, &urgent, &costs)[&stopper.service];
            prop_assert!(calls >= takes(stopper) * 0.9 - 20.0, "{route}: {calls} of {}", takes(stopper));
        }
    }
}
