//! Nodes with outdated rules pull them from one peer at a time.

use std::time::{Duration, Instant};

use filbertwheel_core::RulesStamp;
use filbertwheel_policy::RulesCatchup;

fn stamp(version: u64) -> RulesStamp {
    RulesStamp {
        lineage: 0,
        version,
    }
}

const MILLI: Duration = Duration::from_millis(1);

#[test]
fn rules_that_the_store_delivers_in_time_are_not_pulled() {
    let mut catchup = RulesCatchup::default();
    let now = Instant::now();
    for peer in 0..85 {
        assert!(!catchup.should_pull(stamp(3), stamp(4), true, now + MILLI * peer));
    }
    assert!(!catchup.should_pull(stamp(4), stamp(4), true, now + MILLI * 400));
}

#[test]
fn a_node_with_outdated_rules_pulls_from_one_peer_at_a_time() {
    let mut catchup = RulesCatchup::default();
    let now = Instant::now();
    let pulls = (0..2_000)
        .filter(|millis| catchup.should_pull(stamp(3), stamp(4), true, now + MILLI * *millis));
    let pulls: Vec<u32> = pulls.collect();
    assert!(pulls[0] < 250, "first pull after {} ms", pulls[0]);
    assert!(pulls.len() <= 8, "{} pulls in two seconds", pulls.len());
}

#[test]
fn a_node_without_rules_pulls_at_once() {
    let mut catchup = RulesCatchup::default();
    assert!(catchup.should_pull(stamp(0), stamp(4), true, Instant::now()));
}

#[test]
fn a_node_that_does_not_watch_the_store_pulls_at_once() {
    let mut catchup = RulesCatchup::default();
    assert!(catchup.should_pull(stamp(3), stamp(4), false, Instant::now()));
}

#[test]
fn the_grace_period_restarts_for_each_version() {
    let mut catchup = RulesCatchup::default();
    let now = Instant::now();
    assert!(!catchup.should_pull(stamp(3), stamp(4), true, now));
    assert!(catchup.should_pull(stamp(3), stamp(4), true, now + MILLI * 200));
    assert!(!catchup.should_pull(stamp(4), stamp(5), true, now + MILLI * 210));
    assert!(catchup.should_pull(stamp(4), stamp(5), true, now + MILLI * 400));
}
