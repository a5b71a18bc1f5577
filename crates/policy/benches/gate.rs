//! Cost of the gate's decisions by number of organisations and of queued calls.

use std::time::{Duration, Instant};

use divan::{Bencher, black_box};
use filbertwheel_core::{Criticality, OrganisationId};
use filbertwheel_policy::{FixedLimit, Gate, GateOutcome, GateRequest, RunTime};

const CLASSES: [Criticality; 3] = [
    Criticality::Sheddable,
    Criticality::Normal,
    Criticality::Critical,
];
const RUN_TIME: RunTime = RunTime {
    elapsed: Duration::from_secs(1),
    self_time: Duration::from_secs(1),
};

fn main() {
    divan::main();
}

/// Creates a gate with `queued` waiting calls of `owners` organisations, and the requests to offer
/// next.
fn filled_gate(owners: usize, queued: usize, now: Instant) -> (Gate, Vec<GateRequest>) {
    let requests: Vec<GateRequest> = (0..queued.max(owners))
        .map(|index| GateRequest {
            criticality: CLASSES[index % CLASSES.len()],
            organisation: Some(OrganisationId::from(format!("o{}", index % owners))),
            rank: (index as u32).wrapping_mul(2_654_435_761),
            deadline: now + Duration::from_secs(60),
        })
        .collect();
    let mut gate = Gate::with_limit(Box::new(FixedLimit(queued)));
    for request in requests.iter().cycle().take(queued) {
        gate.offer(request, now);
    }
    gate.finish(&RUN_TIME, now);
    for request in requests.iter().cycle().take(queued + 1) {
        gate.offer(request, now);
    }
    (gate, requests)
}

/// Offers one call and finishes another, so that the queue keeps its length.
#[divan::bench(args = [(8, 10), (8, 100), (8, 1_000), (100, 1_000), (1_000, 1_000)])]
fn offer_and_finish(bencher: Bencher<'_, '_>, (owners, queued): (usize, usize)) {
    let now = Instant::now();
    let (mut gate, requests) = filled_gate(owners, queued, now);
    let mut next = 0;
    bencher.bench_local(|| {
        next = (next + 1) % requests.len();
        black_box(gate.offer(&requests[next], now));
        black_box(gate.finish(&RUN_TIME, now));
    });
}

/// Offers one call and cancels it.
#[divan::bench(args = [(8, 10), (8, 100), (8, 1_000), (100, 1_000), (1_000, 1_000)])]
fn offer_and_cancel(bencher: Bencher<'_, '_>, (owners, queued): (usize, usize)) {
    let now = Instant::now();
    let (mut gate, requests) = filled_gate(owners, queued, now);
    let mut next = 0;
    bencher.bench_local(|| {
        next = (next + 1) % requests.len();
        if let (GateOutcome::Wait(ticket), _) = gate.offer(&requests[next], now) {
            black_box(gate.cancel(ticket));
        }
    });
}
