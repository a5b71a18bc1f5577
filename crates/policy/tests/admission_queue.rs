//! The queue before a backend server, the budget of repeats, and the split of a route.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbertwheel_core::{RouteRule, ServiceId, Target};
use filbertwheel_policy::{
    AdmissionQueue, QueueOutcome, QueueRequest, RetryBudget, RetryLimits, WeightedRoundRobin,
};
use proptest::prelude::*;

fn ask(now: Instant, due_ms: u64, expires_ms: u64) -> QueueRequest {
    QueueRequest {
        rank: 0,
        due: now + Duration::from_millis(due_ms),
        expires: now + Duration::from_millis(expires_ms),
    }
}

#[test]
fn what_is_due_first_runs_first() {
    let now = Instant::now();
    let mut intake = AdmissionQueue::open(1);
    assert_eq!(intake.offer(ask(now, 500, 900)), QueueOutcome::Run);
    let QueueOutcome::Wait(late) = intake.offer(ask(now, 300, 900)) else {
        panic!("there's one slot");
    };
    let QueueOutcome::Wait(soon) = intake.offer(ask(now, 100, 900)) else {
        panic!("there's one slot");
    };
    assert_eq!(intake.finish(), vec![soon]);
    assert_eq!(intake.finish(), vec![late]);
}

#[test]
fn calls_that_waited_too_long_leave_the_queue() {
    let now = Instant::now();
    let mut intake = AdmissionQueue::open(1);
    intake.offer(ask(now, 0, 900));
    let QueueOutcome::Wait(ticket) = intake.offer(ask(now, 0, 50)) else {
        panic!("there's one slot");
    };
    assert_eq!(intake.expire(now + Duration::from_millis(60)), vec![ticket]);
    assert!(intake.finish().is_empty());
}

#[test]
fn a_full_queue_takes_nothing() {
    let now = Instant::now();
    let mut intake = AdmissionQueue::open(1);
    let taken = (0..1_000).filter(|_| intake.offer(ask(now, 0, 900)) != QueueOutcome::Full);
    assert_eq!(taken.count(), 65);
}

proptest! {
    /// No sequence of offers, ends and cancels runs more calls than there are slots.
    #[test]
    fn no_more_calls_run_than_there_are_slots(steps in proptest::collection::vec(0..4_u8, 1..200)) {
        let now = Instant::now();
        let mut intake = AdmissionQueue::open(3);
        let mut waiting = Vec::new();
        for step in steps {
            match step {
                0 | 1 => {
                    if let QueueOutcome::Wait(ticket) = intake.offer(ask(now, 10, 20)) {
                        waiting.push(ticket);
                    }
                }
                2 if intake.running() > 0 => {
                    let released = intake.finish();
                    waiting.retain(|ticket| !released.contains(ticket));
                }
                3 => {
                    if let Some(ticket) = waiting.pop() {
                        prop_assert!(intake.cancel(ticket));
                    }
                }
                _ => {}
            }
            prop_assert!(intake.running() <= 3);
            prop_assert_eq!(intake.queued(), waiting.len());
            prop_assert!(intake.queued() == 0 || intake.running() == 3);
        }
    }

    /// In any window, repeats stay within what the terms allow one node.
    #[test]
    fn repeats_stay_within_their_budget(
        steps in proptest::collection::vec((0..400_u64, any::<bool>()), 1..400),
    ) {
        let terms = RetryLimits {
            per_mille: 200,
            extra_retries: 50,
            window: Duration::from_secs(10),
        };
        let service = ServiceId::from("rounds");
        let mut budget = RetryBudget::open(terms);
        let mut now = Instant::now();
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for (millis, repeat) in steps {
            now += Duration::from_millis(millis);
            if repeat {
                if budget.try_spend(&[(service.clone(), 1.0)], 10, now) {
                    repeats.push(now);
                }
            } else {
                budget.record_request(&service, now);
                requests.push(now);
            }
            let within = |times: &[Instant], window: Duration| {
                times.iter().filter(|at| now.saturating_duration_since(**at) < window).count()
            };
            let spent = within(&repeats, terms.window) as f64;
            // Requests of the window before count as well.
            let seen = within(&requests, terms.window * 2) as f64;
            prop_assert!(spent <= 0.2 * seen + 5.0, "{spent} repeats for {seen} requests");
        }
    }
}

#[test]
fn targets_come_as_often_as_their_weights_say() {
    let target = |service: &str, weight| Target {
        service: service.into(),
        weight,
    };
    let path = RouteRule {
        id: "sheets".into(),
        host: "a".into(),
        prefix: "/".into(),
        targets: vec![target("old", 90), target("new", 10)],
        idempotent: true,
        open: false,
        priority: 0,
        timeout: None,
        objective: Duration::from_secs(1),
        max_attempts: 2,
    };
    let mut split = WeightedRoundRobin::default();
    let mut counts: BTreeMap<ServiceId, u32> = BTreeMap::new();
    for _ in 0..1_000 {
        let service = split.next(&path, 37).expect("there are targets");
        *counts.entry(service).or_default() += 1;
    }
    assert_eq!(counts[&ServiceId::from("new")], 100);
}
