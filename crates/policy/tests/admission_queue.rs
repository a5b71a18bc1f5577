//! Admission queue of a backend server, retry budget, and weighted round robin over targets.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbertwheel_core::{RouteRule, ServiceId, Target};
use filbertwheel_policy::{
    AdmissionQueue, QueueOutcome, QueueRequest, RetryBudget, RetryLimits, WeightedRoundRobin,
};
use proptest::prelude::*;

fn request(now: Instant, due_ms: u64, expires_ms: u64) -> QueueRequest {
    QueueRequest {
        rank: 0,
        due: now + Duration::from_millis(due_ms),
        work: Duration::ZERO,
        expires: now + Duration::from_millis(expires_ms),
    }
}

#[test]
fn calls_run_in_order_of_deadline() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::open(1);
    assert_eq!(queue.offer(request(now, 500, 900)), QueueOutcome::Run);
    let QueueOutcome::Wait(late) = queue.offer(request(now, 300, 900)) else {
        panic!("the only slot is taken");
    };
    let QueueOutcome::Wait(soon) = queue.offer(request(now, 100, 900)) else {
        panic!("the only slot is taken");
    };
    assert_eq!(queue.finish(), vec![soon]);
    assert_eq!(queue.finish(), vec![late]);
}

/// A long call in front of short ones makes them all late, though it isn't due before them.
#[test]
fn a_long_call_lets_short_ones_pass_that_are_due_soon() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::open(1);
    queue.offer(request(now, 0, 900));
    let mut offer = |due_ms, work_ms| {
        let request = QueueRequest {
            work: Duration::from_millis(work_ms),
            ..request(now, due_ms, 9_000)
        };
        match queue.offer(request) {
            QueueOutcome::Wait(ticket) => ticket,
            other => panic!("the only slot is taken: {other:?}"),
        }
    };
    let long = offer(600, 400);
    let short: Vec<_> = (0..5).map(|step| offer(700 + step, 20)).collect();
    // One that is due only when the long one should have ended doesn't pass it.
    let later = offer(1_000, 20);
    assert_eq!(queue.queued_work(), Duration::from_millis(520));
    let order: Vec<_> = (0..7).flat_map(|_| queue.finish()).collect();
    let expected: Vec<_> = short.into_iter().chain([long, later]).collect();
    assert_eq!(order, expected);
    assert_eq!(queue.queued_work(), Duration::ZERO);
}

#[test]
fn expired_calls_leave_the_queue() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::open(1);
    queue.offer(request(now, 0, 900));
    let QueueOutcome::Wait(ticket) = queue.offer(request(now, 0, 50)) else {
        panic!("the only slot is taken");
    };
    assert_eq!(queue.expire(now + Duration::from_millis(60)), vec![ticket]);
    assert!(queue.finish().is_empty());
}

#[test]
fn a_full_queue_rejects_calls() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::open(1);
    let accepted = (0..1_000).filter(|_| queue.offer(request(now, 0, 900)) != QueueOutcome::Full);
    assert_eq!(accepted.count(), 65);
}

proptest! {
    /// No kind of call starves: a call is only passed by those that arrive before it is due and its work
    /// should be done, whatever keeps arriving.
    #[test]
    fn a_long_call_is_passed_for_a_bounded_time(
        work_ms in 0..5_000_u64,
        due_ms in 0..3_000_u64,
        others in proptest::collection::vec((0..50_u64, 0..500_u64), 300..400),
    ) {
        let start = Instant::now();
        let mut queue = AdmissionQueue::open(1);
        queue.offer(request(start, 0, 900));
        let call = QueueRequest {
            work: Duration::from_millis(work_ms),
            ..request(start, due_ms, 90_000)
        };
        let QueueOutcome::Wait(ticket) = queue.offer(call) else {
            panic!("the only slot is taken");
        };
        let latest_ms = due_ms + work_ms;
        let mut passed_ms = 0;
        for (gap_ms, due_ms) in others {
            passed_ms += gap_ms;
            let now = start + Duration::from_millis(passed_ms);
            queue.offer(request(now, due_ms, 90_000));
            if queue.finish().contains(&ticket) {
                break;
            }
            prop_assert!(passed_ms <= latest_ms, "passed after {passed_ms} ms");
        }
    }

    /// No sequence of offered, finished and cancelled calls runs more calls than there are slots.
    #[test]
    fn running_calls_never_exceed_the_slots(steps in proptest::collection::vec(0..4_u8, 1..200)) {
        let now = Instant::now();
        let mut queue = AdmissionQueue::open(3);
        let mut waiting = Vec::new();
        for step in steps {
            match step {
                0 | 1 => {
                    if let QueueOutcome::Wait(ticket) = queue.offer(request(now, 10, 20)) {
                        waiting.push(ticket);
                    }
                }
                2 if queue.running() > 0 => {
                    let released = queue.finish();
                    waiting.retain(|ticket| !released.contains(ticket));
                }
                3 => {
                    if let Some(ticket) = waiting.pop() {
                        prop_assert!(queue.cancel(ticket));
                    }
                }
                _ => {}
            }
            prop_assert!(queue.running() <= 3);
            prop_assert_eq!(queue.queued(), waiting.len());
            prop_assert!(queue.queued() == 0 || queue.running() == 3);
        }
    }

    /// In any window, the retries of one node stay within the limits.
    #[test]
    fn retries_stay_within_their_budget(
        steps in proptest::collection::vec((0..400_u64, any::<bool>()), 1..400),
    ) {
        let limits = RetryLimits {
            per_mille: 200,
            extra_retries: 50,
            window: Duration::from_secs(10),
        };
        let service = ServiceId::from("rounds");
        let mut budget = RetryBudget::open(limits);
        let mut now = Instant::now();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (millis, retry) in steps {
            now += Duration::from_millis(millis);
            if retry {
                if budget.try_spend(&[(service.clone(), 1.0)], 10, now) {
                    retries.push(now);
                }
            } else {
                budget.record_request(&service, now);
                requests.push(now);
            }
            let within = |times: &[Instant], window: Duration| {
                times.iter().filter(|at| now.saturating_duration_since(**at) < window).count()
            };
            let retried = within(&retries, limits.window) as f64;
            // Requests of the preceding window may count as well.
            let requested = within(&requests, limits.window * 2) as f64;
            prop_assert!(
                retried <= 0.2 * requested + 5.0,
                "{retried} retries for {requested} requests"
            );
        }
    }
}

#[test]
fn targets_are_chosen_in_proportion_to_their_weights() {
    let target = |service: &str, weight| Target {
        service: service.into(),
        weight,
    };
    let rule = RouteRule {
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
        homes: Vec::new(),
    };
    let mut round_robin = WeightedRoundRobin::default();
    let mut counts: BTreeMap<ServiceId, u32> = BTreeMap::new();
    for _ in 0..1_000 {
        let service = round_robin.next(&rule, 37).expect("there are targets");
        *counts.entry(service).or_default() += 1;
    }
    assert_eq!(counts[&ServiceId::from("new")], 100);
}
