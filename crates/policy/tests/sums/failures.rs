//! Kills, restarts, partitions and lost messages: nothing counts twice, a silent node's part ends,
//! and all nodes have the right sums again soon after the last failure.

use std::time::Duration;

use filbertwheel_core::Rank;
use filbertwheel_policy::{ColdCapacity, FleetSums, RouteDemand, ServiceCapacity};
use proptest::prelude::*;

use crate::network::Fleet;

const STEP: Duration = Duration::from_millis(50);
/// Time after the last failure within which all sums are right again.
const HEALED: Duration = Duration::from_secs(2);
/// Time until a failed node is noticed, before which nothing can be healed.
const DETECTION: Duration = Duration::from_millis(1_200);

fn assert_right(fleet: &Fleet) {
    for index in (0..fleet.len()).filter(|index| fleet.is_alive(*index)) {
        let nodes = fleet.sums(index).map_or(0, |(sums, _)| sums.nodes as usize);
        assert_eq!(nodes, fleet.alive(), "at node {index}");
        assert_eq!(fleet.demand(index), fleet.alive() as f32, "at node {index}");
    }
}

/// Runs the fleet for a while and checks that nothing counts twice.
fn run_checked(fleet: &mut Fleet, time: Duration) {
    let steps = (time.as_millis() / STEP.as_millis()) as usize;
    for _ in 0..steps {
        fleet.run(STEP, false);
        let most = fleet.recently_alive() as u32;
        for index in (0..fleet.len()).filter(|index| fleet.is_alive(*index)) {
            let nodes = fleet.sums(index).map_or(0, |(sums, _)| sums.nodes);
            assert!(nodes <= most, "{nodes} of {most} at node {index}");
        }
    }
}

fn sums(rate: f32, slots: f32, left: Duration) -> FleetSums {
    FleetSums {
        demand: vec![RouteDemand {
            route: "check".into(),
            rank: Rank {
                organisation: 1,
                route: 1,
            },
            rate,
        }],
        capacities: vec![ServiceCapacity {
            service: "desk".into(),
            slots,
            in_flight: 1.0,
            servers: 1,
            cold: ColdCapacity {
                left,
                ..ColdCapacity::default()
            },
        }],
        ..FleetSums::default()
    }
}

// Guards against figures of a faulty node that stay in the sums of all nodes, and by which nothing is
// admitted any more.
#[test]
fn figures_that_no_node_can_measure_are_not_plausible() {
    let second = Duration::from_secs(1);
    assert!(sums(10.0, 8.0, second).is_plausible());
    for figure in [f32::INFINITY, f32::NAN, -1.0] {
        assert!(!sums(figure, 8.0, second).is_plausible());
        assert!(!sums(10.0, figure, second).is_plausible());
    }
    assert!(!sums(10.0, 8.0, Duration::MAX).is_plausible());
}

#[test]
fn all_nodes_soon_have_the_sums_over_the_fleet() {
    let mut fleet = Fleet::open(60, 4, 5);
    run_checked(&mut fleet, Duration::from_secs(1));
    assert_right(&fleet);
}

#[test]
fn the_loss_of_an_aggregator_is_healed_within_a_second_after_it_is_noticed() {
    let mut fleet = Fleet::open(60, 4, 6);
    run_checked(&mut fleet, Duration::from_secs(2));
    let lost = fleet.aggregator(0).unwrap_or_default();
    fleet.kill(lost);
    run_checked(&mut fleet, DETECTION + Duration::from_secs(1));
    assert_right(&fleet);
}

#[test]
fn nodes_keep_fresh_sums_while_their_aggregator_fails() {
    let mut fleet = Fleet::open(60, 4, 7);
    run_checked(&mut fleet, Duration::from_secs(2));
    let lost = fleet.aggregator(0).unwrap_or_default();
    fleet.kill(lost);
    for _ in 0..60 {
        run_checked(&mut fleet, STEP);
        for index in (0..fleet.len()).filter(|index| fleet.is_alive(*index)) {
            let age = fleet.sums(index).map(|(_, age)| age);
            let age = age.unwrap_or(Duration::MAX);
            assert!(
                age <= Duration::from_millis(1_300),
                "{age:?} at node {index}"
            );
        }
    }
}

#[test]
fn a_restarted_node_counts_once() {
    let mut fleet = Fleet::open(30, 3, 8);
    run_checked(&mut fleet, Duration::from_secs(2));
    for index in 0..10 {
        fleet.kill(index);
        fleet.run(Duration::from_millis(30), false);
        fleet.restart(index);
        fleet.set_rate(index, 1.0);
    }
    run_checked(&mut fleet, HEALED);
    assert_right(&fleet);
}

#[test]
fn the_loss_of_a_failure_domain_ends_its_part() {
    let mut fleet = Fleet::open(200, 5, 9);
    run_checked(&mut fleet, Duration::from_secs(2));
    let lost = fleet.domain(0).clone();
    for index in 0..fleet.len() {
        if *fleet.domain(index) == lost {
            fleet.kill(index);
        }
    }
    run_checked(&mut fleet, HEALED);
    assert_right(&fleet);
}

#[test]
fn all_nodes_have_the_sums_soon_after_all_were_restarted() {
    let mut fleet = Fleet::open(200, 5, 10);
    fleet.run(Duration::from_secs(2), true);
    for index in 0..fleet.len() {
        fleet.kill(index);
    }
    fleet.run(Duration::from_millis(600), false);
    for index in 0..fleet.len() {
        fleet.restart(index);
    }
    fleet.run(HEALED, false);
    assert_right(&fleet);
}

#[test]
fn a_fleet_that_grows_beyond_one_group_a_domain_counts_each_node_once() {
    let mut fleet = Fleet::open(120, 2, 11);
    for index in 40..120 {
        fleet.kill(index);
    }
    fleet.run(Duration::from_secs(3), false);
    assert_right(&fleet);
    for index in 40..120 {
        fleet.restart(index);
        fleet.run(Duration::from_millis(20), false);
    }
    fleet.run(HEALED, false);
    assert_right(&fleet);
}

#[derive(Debug, Clone)]
enum Failure {
    Kill(usize),
    Restart(usize),
    Partition(usize),
    Heal,
    Lose(u8),
    Wait(u64),
}

fn failures(nodes: usize) -> impl Strategy<Value = Failure> {
    prop_oneof![
        3 => (0..nodes).prop_map(Failure::Kill),
        4 => (0..nodes).prop_map(Failure::Restart),
        2 => (0..nodes).prop_map(Failure::Partition),
        1 => Just(Failure::Heal),
        1 => (0..60_u8).prop_map(Failure::Lose),
        6 => (1..800_u64).prop_map(Failure::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    #[test]
    fn random_failures_leave_no_node_counted_twice(
        failures in proptest::collection::vec(failures(24), 1..30),
        seed in 0..1_000_u64,
    ) {
        let mut fleet = Fleet::open(24, 3, seed);
        run_checked(&mut fleet, Duration::from_secs(1));
        for failure in failures {
            match failure {
                Failure::Kill(index) => fleet.kill(index),
                Failure::Restart(index) => fleet.restart(index),
                Failure::Partition(index) => {
                    for other in 0..index {
                        fleet.set_side(other, 1);
                    }
                }
                Failure::Heal => {
                    for index in 0..fleet.len() {
                        fleet.set_side(index, 0);
                    }
                }
                Failure::Lose(percent) => fleet.loss = f64::from(percent) / 100.0,
                Failure::Wait(millis) => {
                    run_checked(&mut fleet, Duration::from_millis(millis));
                }
            }
        }
        fleet.loss = 0.0;
        for index in 0..fleet.len() {
            fleet.set_side(index, 0);
        }
        run_checked(&mut fleet, DETECTION + HEALED);
        assert_right(&fleet);
    }
}
