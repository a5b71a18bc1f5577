//! Nodes that are behind ask for rules, but not all others at once.

use std::time::{Duration, Instant};

use filbertwheel_policy::RulesCatchup;

const MILLI: Duration = Duration::from_millis(1);

#[test]
fn rules_that_come_from_the_store_at_once_are_not_asked_for() {
    let mut catchup = RulesCatchup::default();
    let now = Instant::now();
    for other in 0..85 {
        assert!(!catchup.should_pull(3, 4, now + MILLI * other));
    }
    assert!(!catchup.should_pull(4, 4, now + MILLI * 400));
}

#[test]
fn a_node_that_stays_behind_asks_one_other_at_a_time() {
    let mut catchup = RulesCatchup::default();
    let now = Instant::now();
    let asked = (0..2_000).filter(|millis| catchup.should_pull(3, 4, now + MILLI * *millis));
    let asked: Vec<u32> = asked.collect();
    assert!(asked[0] < 250, "first after {} ms", asked[0]);
    assert!(asked.len() <= 8, "{} asks in two seconds", asked.len());
}

#[test]
fn a_node_without_rules_asks_at_once() {
    let mut catchup = RulesCatchup::default();
    assert!(catchup.should_pull(0, 4, Instant::now()));
}

#[test]
fn each_version_that_is_missed_has_its_own_time() {
    let mut catchup = RulesCatchup::default();
    let now = Instant::now();
    assert!(!catchup.should_pull(3, 4, now));
    assert!(catchup.should_pull(3, 4, now + MILLI * 200));
    assert!(!catchup.should_pull(4, 5, now + MILLI * 210));
    assert!(catchup.should_pull(4, 5, now + MILLI * 400));
}
