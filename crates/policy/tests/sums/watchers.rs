//! A few nodes of each failure domain watch the store. However they fail, all nodes soon have the
//! rules that operators write.

use std::time::Duration;

use crate::network::{Access, Fleet};

/// Time within which new rules are in force at all nodes.
const APPLIED: Duration = Duration::from_secs(3);

fn settled(nodes: usize, domains: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::open(nodes, domains, seed);
    fleet.run(Duration::from_secs(5), false);
    fleet
}

fn watchers(fleet: &Fleet) -> Vec<usize> {
    let watching = (0..fleet.len()).filter(|index| fleet.is_watching(*index));
    watching.collect()
}

/// Writes new rules, and checks that they are soon in force at all nodes that are still connected
/// to the others.
fn check_applied(fleet: &mut Fleet) {
    fleet.stored += 1;
    fleet.run(APPLIED, false);
    for index in 0..fleet.len() {
        if fleet.is_alive(index) && fleet.side(index) == 0 {
            assert_eq!(fleet.version(index), fleet.stored, "at node {index}");
        }
    }
}

#[test]
fn two_nodes_of_each_domain_watch_the_store() {
    let mut fleet = settled(100, 5, 21);
    for domain in 0..5 {
        let name = fleet.domain(domain).clone();
        let near = watchers(&fleet);
        let near = near.iter().filter(|index| *fleet.domain(**index) == name);
        assert_eq!(near.count(), 2, "in {name}");
    }
    check_applied(&mut fleet);
}

#[test]
fn killed_watchers_are_replaced() {
    let mut fleet = settled(40, 2, 22);
    for index in watchers(&fleet) {
        fleet.kill(index);
    }
    check_applied(&mut fleet);
}

#[test]
fn watchers_that_are_cut_off_or_frozen_are_replaced() {
    let mut fleet = settled(40, 2, 23);
    for (side, index) in (1..).zip(watchers(&fleet)) {
        fleet.set_side(index, side);
    }
    check_applied(&mut fleet);
}

#[test]
fn watchers_that_the_store_turns_away_are_replaced() {
    let mut fleet = settled(40, 2, 24);
    for index in watchers(&fleet) {
        fleet.set_access(index, Access::Refuses);
    }
    check_applied(&mut fleet);
}

#[test]
fn watchers_of_one_domain_that_get_no_answers_cost_no_rules() {
    let mut fleet = settled(40, 2, 25);
    let domain = fleet.domain(0).clone();
    for index in watchers(&fleet) {
        if *fleet.domain(index) == domain {
            fleet.set_access(index, Access::Silent);
        }
    }
    check_applied(&mut fleet);
}

#[test]
fn rules_reach_a_fleet_whose_store_turns_a_third_of_the_nodes_away() {
    let mut fleet = settled(90, 3, 26);
    for index in (0..90).step_by(3) {
        fleet.set_access(index, Access::Refuses);
    }
    check_applied(&mut fleet);
    for index in 0..90 {
        fleet.set_access(index, Access::Answers);
    }
    fleet.run(Duration::from_secs(5), false);
    assert_eq!(watchers(&fleet).len(), 6);
}

#[test]
fn rules_are_soon_in_force_after_all_nodes_were_restarted() {
    let mut fleet = settled(60, 3, 27);
    for index in 0..fleet.len() {
        fleet.kill(index);
    }
    fleet.run(Duration::from_millis(600), false);
    for index in 0..fleet.len() {
        fleet.restart(index);
    }
    check_applied(&mut fleet);
}
