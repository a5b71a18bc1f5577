//! Quarantine: only fingerprints that crash backend servers are quarantined.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbertwheel_core::{RefusalKind, RequestId};
use filbertwheel_policy::{CRASH_LIMIT, Fingerprint, Quarantine, RunMode};
use proptest::prelude::any;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const KINDS: usize = 20;
const CRASHING: usize = 7;

fn fingerprint(kind: usize) -> Fingerprint {
    Fingerprint {
        organisation: Some("ward".into()),
        service: "desk".into(),
        method: "POST".into(),
        path: format!("/{kind}").into(),
        body: "".into(),
    }
}

/// Returns calls in flight whose request ids end with `name`.
fn in_flight(kinds: &[usize], name: &str) -> BTreeMap<Fingerprint, RequestId> {
    let kinds = kinds.iter();
    kinds
        .map(|kind| (fingerprint(*kind), format!("{kind}{name}").into()))
        .collect()
}

/// Sends random calls to two nodes that exchange crash reports. Returns the number of crashes, and
/// whether a harmless request was ever quarantined.
fn simulate(seed: u64) -> (u32, bool) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut nodes = ["a", "b"].map(|vm| Quarantine::open(vm.into()));
    let mut number = 0;
    let mut now = Instant::now();
    let (mut crashes, mut falsely_quarantined) = (0, false);
    for _ in 0..500 {
        now += Duration::from_millis(100);
        let node = rng.random_range(0..2);
        let mut in_flight = BTreeMap::new();
        for _ in 0..rng.random_range(1..8) {
            let kind = rng.random_range(0..KINDS);
            let call = fingerprint(kind);
            number += 1;
            let request: RequestId = number.to_string().into();
            match nodes[node].run_mode(&call, now) {
                RunMode::Concurrent => {
                    in_flight.insert(call, request);
                }
                RunMode::Exclusive => {
                    nodes[node].begin_exclusive(&call);
                    in_flight.insert(call, request);
                }
                RunMode::Refused(refusal) => {
                    falsely_quarantined |= refusal == RefusalKind::Quarantined && kind != CRASHING;
                }
            }
        }
        if in_flight.contains_key(&fingerprint(CRASHING)) {
            crashes += 1;
            for report in nodes[node].record_crash(&in_flight, now) {
                nodes[1 - node].merge(&report, now);
            }
        } else {
            for call in in_flight.keys() {
                nodes[node].record_success(call);
            }
        }
    }
    (crashes, falsely_quarantined)
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
        let (crashes, falsely_quarantined) = simulate(seed);
        assert!(crashes <= CRASH_LIMIT, "{crashes} crashes with seed {seed}");
        assert!(
            !falsely_quarantined,
            "a harmless request was quarantined with seed {seed}"
        );
        Ok(())
    });
    outcome.expect("crashes are bounded and harmless requests are not quarantined");
}

#[test]
fn only_one_suspect_runs_at_a_time() {
    let mut quarantine = Quarantine::default();
    let now = Instant::now();
    let (a, b) = (fingerprint(0), fingerprint(1));
    quarantine.record_crash(&in_flight(&[0, 1], "x"), now);
    assert_eq!(quarantine.run_mode(&a, now), RunMode::Exclusive);
    quarantine.begin_exclusive(&a);
    assert_eq!(
        quarantine.run_mode(&b, now),
        RunMode::Refused(RefusalKind::Overloaded)
    );
    quarantine.record_success(&a);
    assert_eq!(quarantine.run_mode(&a, now), RunMode::Concurrent);
    assert_eq!(quarantine.run_mode(&b, now), RunMode::Exclusive);
}

#[test]
fn a_request_in_flight_with_a_suspect_is_not_suspected() {
    let mut quarantine = Quarantine::default();
    let now = Instant::now();
    let (a, b) = (fingerprint(0), fingerprint(1));
    quarantine.record_crash(&in_flight(&[0], "x"), now);
    quarantine.record_crash(&in_flight(&[0, 1], "y"), now);
    assert_eq!(quarantine.run_mode(&b, now), RunMode::Concurrent);
    quarantine.record_crash(&in_flight(&[0], "z"), now);
    assert_eq!(
        quarantine.run_mode(&a, now),
        RunMode::Refused(RefusalKind::Quarantined)
    );
}

#[test]
fn coinciding_crashes_do_not_quarantine_a_common_fingerprint() {
    let now = Instant::now();
    let mut nodes = ["a", "b", "c", "d"].map(|vm| Quarantine::open(vm.into()));
    let reports: Vec<_> = nodes[..3]
        .iter_mut()
        .zip(["x", "y", "z"])
        .flat_map(|(node, name)| node.record_crash(&in_flight(&[0], name), now))
        .collect();
    for report in &reports {
        nodes[3].merge(report, now);
    }
    assert_eq!(nodes[3].run_mode(&fingerprint(0), now), RunMode::Concurrent);
}

#[test]
fn a_request_that_crashes_three_backend_servers_is_quarantined_on_all_nodes() {
    let now = Instant::now();
    let mut nodes = ["a", "b", "c", "d"].map(|vm| Quarantine::open(vm.into()));
    let reports: Vec<_> = nodes[..3]
        .iter_mut()
        .flat_map(|node| node.record_crash(&in_flight(&[CRASHING], "x"), now))
        .collect();
    for report in reports.iter().chain(&reports) {
        nodes[3].merge(report, now);
    }
    let quarantined = RunMode::Refused(RefusalKind::Quarantined);
    assert_eq!(nodes[3].run_mode(&fingerprint(CRASHING), now), quarantined);
    let mut late = Quarantine::open("e".into());
    for report in nodes[3].reports(now) {
        late.merge(&report, now);
    }
    assert_eq!(late.run_mode(&fingerprint(CRASHING), now), quarantined);
}
