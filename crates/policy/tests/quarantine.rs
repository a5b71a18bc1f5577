//! Quarantine: the guilty are found, the innocent go free.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbertwheel_core::{RefusalKind, RequestId};
use filbertwheel_policy::{CRASH_LIMIT, Fingerprint, Quarantine, RunMode};
use proptest::prelude::any;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const KINDS: usize = 20;
const GUILTY: usize = 7;

fn fingerprint(kind: usize) -> Fingerprint {
    Fingerprint {
        organisation: Some("ward".into()),
        service: "desk".into(),
        method: "POST".into(),
        path: format!("/{kind}").into(),
        body: "".into(),
    }
}

/// Calls in flight, under ids that end with `name`.
fn flight(kinds: &[usize], name: &str) -> BTreeMap<Fingerprint, RequestId> {
    let flying = kinds.iter();
    flying
        .map(|kind| (fingerprint(*kind), format!("{kind}{name}").into()))
        .collect()
}

/// Sends random calls to two nodes that tell each other. Returns the crashes, and whether an
/// innocent request was ever quarantined.
fn play(seed: u64) -> (u32, bool) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut nodes = ["a", "b"].map(|vm| Quarantine::open(vm.into()));
    let mut number = 0;
    let mut now = Instant::now();
    let (mut crashes, mut wronged) = (0, false);
    for _ in 0..500 {
        now += Duration::from_millis(100);
        let node = rng.random_range(0..2);
        let mut in_flight = BTreeMap::new();
        for _ in 0..rng.random_range(1..8) {
            let kind = rng.random_range(0..KINDS);
            let print = fingerprint(kind);
            number += 1;
            let request: RequestId = number.to_string().into();
            match nodes[node].run_mode(&print, now) {
                RunMode::Concurrent => {
                    in_flight.insert(print, request);
                }
                RunMode::Exclusive => {
                    nodes[node].begin(&print);
                    in_flight.insert(print, request);
                }
                RunMode::Rejected(kind_of) => {
                    wronged |= kind_of == RefusalKind::Quarantined && kind != GUILTY;
                }
            }
        }
        if in_flight.contains_key(&fingerprint(GUILTY)) {
            crashes += 1;
            for suspicion in nodes[node].record_crash(&in_flight, now) {
                nodes[1 - node].merge(&suspicion, now);
            }
        } else {
            for print in in_flight.keys() {
                nodes[node].record_success(print);
            }
        }
    }
    (crashes, wronged)
}

#[test]
fn random_calls_crash_a_bounded_number_of_times() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[6; 32]);
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let outcome = TestRunner::new_with_rng(config, rng).run(&any::<u64>(), |seed| {
        let (crashes, wronged) = play(seed);
        assert!(crashes <= CRASH_LIMIT, "{crashes} crashes with seed {seed}");
        assert!(
            !wronged,
            "an innocent request was quarantined with seed {seed}"
        );
        Ok(())
    });
    outcome.expect("crashes are bounded and innocents go free");
}

#[test]
fn a_second_suspect_waits_for_the_first() {
    let mut quarantine = Quarantine::default();
    let now = Instant::now();
    let (a, b) = (fingerprint(0), fingerprint(1));
    quarantine.record_crash(&flight(&[0, 1], "x"), now);
    assert_eq!(quarantine.run_mode(&a, now), RunMode::Exclusive);
    quarantine.begin(&a);
    assert_eq!(
        quarantine.run_mode(&b, now),
        RunMode::Rejected(RefusalKind::Overloaded)
    );
    quarantine.record_success(&a);
    assert_eq!(quarantine.run_mode(&a, now), RunMode::Concurrent);
    assert_eq!(quarantine.run_mode(&b, now), RunMode::Exclusive);
}

#[test]
fn an_innocent_beside_a_suspect_stays_free() {
    let mut quarantine = Quarantine::default();
    let now = Instant::now();
    let (a, b) = (fingerprint(0), fingerprint(1));
    quarantine.record_crash(&flight(&[0], "x"), now);
    quarantine.record_crash(&flight(&[0, 1], "y"), now);
    assert_eq!(quarantine.run_mode(&b, now), RunMode::Concurrent);
    quarantine.record_crash(&flight(&[0], "z"), now);
    assert_eq!(
        quarantine.run_mode(&a, now),
        RunMode::Rejected(RefusalKind::Quarantined)
    );
}

#[test]
fn backend_servers_that_die_together_leave_a_common_request_free() {
    let now = Instant::now();
    let mut nodes = ["a", "b", "c", "d"].map(|vm| Quarantine::open(vm.into()));
    let told: Vec<_> = nodes[..3]
        .iter_mut()
        .zip(["x", "y", "z"])
        .flat_map(|(node, name)| node.record_crash(&flight(&[0], name), now))
        .collect();
    for suspicion in &told {
        nodes[3].merge(suspicion, now);
    }
    assert_eq!(nodes[3].run_mode(&fingerprint(0), now), RunMode::Concurrent);
}

#[test]
fn one_request_that_crashes_three_backend_servers_is_barred_everywhere() {
    let now = Instant::now();
    let mut nodes = ["a", "b", "c", "d"].map(|vm| Quarantine::open(vm.into()));
    let told: Vec<_> = nodes[..3]
        .iter_mut()
        .flat_map(|node| node.record_crash(&flight(&[GUILTY], "x"), now))
        .collect();
    for suspicion in told.iter().chain(&told) {
        nodes[3].merge(suspicion, now);
    }
    let barred = RunMode::Rejected(RefusalKind::Quarantined);
    assert_eq!(nodes[3].run_mode(&fingerprint(GUILTY), now), barred);
    let mut late = Quarantine::open("e".into());
    for suspicion in nodes[3].reports(now) {
        late.merge(&suspicion, now);
    }
    assert_eq!(late.run_mode(&fingerprint(GUILTY), now), barred);
}
