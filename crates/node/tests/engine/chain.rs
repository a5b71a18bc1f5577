//! Retries along a chain of calls.

use filbertwheel_core::{Failure, UnknownReason};
use filbertwheel_policy::RETRIES_PER_CALL;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

use crate::fleet::{Fault, Fleet, Script, lock, no_faults, request};

const DEPTH: usize = 12;
const SEED: u64 = 20_261_204;
const CASES: u64 = 40;

/// Returns a script of random faults at a rate, drawn from a seed.
fn faulty(seed: u64, rate: f64, faults: &'static [Fault]) -> Script {
    let mut draw = StdRng::seed_from_u64(seed);
    Box::new(move |_| {
        if draw.random_bool(rate) {
            faults[draw.random_range(0..faults.len())]
        } else {
            Fault::None
        }
    })
}

/// Creates two nodes for each service of a chain in which each service calls the next.
fn chain(network: Script, backends: Script) -> Fleet {
    let names: Vec<String> = (0..=DEPTH).map(|depth| format!("s{depth:02}")).collect();
    let services: Vec<(&str, Option<&str>)> = (0..DEPTH * 2)
        .map(|index| {
            let depth = index / 2;
            let next = (depth + 1 < DEPTH).then(|| names[depth + 1].as_str());
            (names[depth].as_str(), next)
        })
        .collect();
    Fleet::open(&services, network, backends)
}

#[test]
fn a_chain_without_faults_runs_once_at_every_depth() {
    let fleet = chain(no_faults(), no_faults());
    let verdict = fleet.handle_request(0, request("s00", None));
    assert_eq!(verdict.map(|answer| answer.status), Ok(200));
    assert_eq!(fleet.fakes.total(), DEPTH as u32);
}

#[test]
fn runs_stay_within_the_retry_limit_with_faults_at_every_hop() {
    for case in 0..CASES {
        for rate in [0.2, 0.6, 1.0] {
            let network = faulty(SEED + case, rate, &[Fault::Unsent, Fault::Lost]);
            let faults = &[Fault::Unsent, Fault::Lost, Fault::Refused];
            let fleet = chain(network, faulty(SEED - case, rate, faults));
            let _any = fleet.handle_request(0, request("s00", None));
            let runs = lock(&fleet.fakes.runs).clone();
            for depth in 0..DEPTH {
                let pair = [depth * 2, depth * 2 + 1];
                let runs = pair.iter().filter_map(|index| runs.get(index));
                let runs: u32 = runs.sum();
                assert!(
                    runs <= 1 + RETRIES_PER_CALL,
                    "seed {SEED}, case {case}, rate {rate}: {runs} runs at depth {depth}"
                );
            }
        }
    }
}

#[test]
fn a_refusal_after_a_lost_attempt_is_reported_as_unknown() {
    let mut attempts = 0;
    let backends = Box::new(move |_| {
        attempts += 1;
        if attempts == 1 {
            Fault::Lost
        } else {
            Fault::Refused
        }
    });
    let fleet = Fleet::open(
        &[("commands", None), ("commands", None)],
        no_faults(),
        backends,
    );
    let verdict = fleet.handle_request(0, request("commands", None));
    assert_eq!(verdict, Err(Failure::Unknown(UnknownReason::Lost)));
    assert_eq!(fleet.fakes.total(), 1);
}

/// Number of runs of a call that calls its own service until the depth limit refuses it.
const RUNS_TO_DEPTH_LIMIT: u32 = 17;

#[test]
fn a_recursive_call_ends_at_the_depth_limit() {
    let fleet = Fleet::open(&[("round", Some("round"))], no_faults(), no_faults());
    let _failed_below = fleet.handle_request(0, request("round", None));
    assert_eq!(fleet.fakes.total(), RUNS_TO_DEPTH_LIMIT);
}
