//! Which requests a node that is stopping still takes, and how their end is bounded.

use std::time::{Duration, Instant};

use filbertwheel_core::verdict_deadline;
use filbertwheel_policy::{LongestTimes, StopWindow};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

fn window(began: Instant) -> StopWindow {
    StopWindow {
        noticed: began + SECOND * 2,
        closes: began + SECOND * 6,
    }
}

// Guards against requests that are taken late in the grace period and cut off at its end: a mean, or a
// multiple of it, bounds no single request.
#[test]
fn late_requests_are_taken_only_if_the_longest_ends_in_time() {
    let began = Instant::now();
    let window = window(began);
    let far = began + SECOND * 30;
    let takes = |longest_ms: Option<u64>, deadline: Instant, at: u32| {
        window.takes(
            longest_ms.map(Duration::from_millis),
            deadline,
            began + SECOND * at,
        )
    };
    assert!(takes(None, far, 1), "callers haven't noticed the stop");
    assert!(takes(Some(4_500), far, 1));
    assert!(!takes(Some(5_000), far, 1), "it wouldn't end in time");
    assert!(takes(Some(1_000), far, 4));
    assert!(!takes(Some(1_500), far, 4));
    assert!(!takes(None, far, 3), "nothing is known of its time");
    assert!(
        takes(None, began + SECOND * 5, 3),
        "it ends by its deadline"
    );
}

// Guards against a time that is forgotten while its route is in use, or never.
#[test]
fn the_longest_time_is_remembered_for_a_while() {
    let began = Instant::now();
    let route = "export".into();
    let mut times = LongestTimes::default();
    assert_eq!(times.get(&route), None);
    times.record(&route, SECOND * 3, began);
    for at in 1..=59 {
        times.record(&route, SECOND, began + SECOND * at);
    }
    assert_eq!(times.get(&route), Some(SECOND * 3));
    times.record(&route, SECOND, began + SECOND * 61);
    assert_eq!(times.get(&route), Some(SECOND * 3));
    times.record(&route, SECOND, began + SECOND * 122);
    assert_eq!(times.get(&route), Some(SECOND));
}

/// A request: when it arrives and runs, for how long, and how long its caller waits.
#[derive(Debug, Clone, Copy)]
struct Sent {
    arrives_ms: u64,
    queued_ms: u64,
    runs_ms: u64,
    timeout_ms: u64,
}

fn sent() -> impl Strategy<Value = Sent> {
    (0..7_000_u64, 0..3_000_u64, 0..4_000_u64, 1..9_000_u64).prop_map(
        |(arrives_ms, queued_ms, runs_ms, timeout_ms)| Sent {
            arrives_ms,
            queued_ms,
            runs_ms,
            timeout_ms,
        },
    )
}

proptest! {
    // Guards against a request that a stopping node has passed on and that still runs when the
    // connections close: it is checked when it arrives and again before it is passed on, and a backend
    // server ends its work at the deadline that it is handed. Its answer has to arrive before the node
    // answers in its place.
    #[test]
    fn what_is_passed_on_ends_before_the_connections_close(
        requests in prop::collection::vec(sent(), 1..40),
        known in prop::collection::vec(0..3_000_u64, 0..5),
    ) {
        let began = Instant::now();
        let window = window(began);
        let route = "route".into();
        let mut times = LongestTimes::default();
        for known_ms in known {
            times.record(&route, Duration::from_millis(known_ms), began);
        }
        let mut requests = requests;
        requests.sort_by_key(|sent| sent.arrives_ms);
        for sent in requests {
            let arrives = began + Duration::from_millis(sent.arrives_ms);
            let deadline = arrives + Duration::from_millis(sent.timeout_ms);
            if !window.takes(times.get(&route), deadline, arrives) {
                prop_assert!(deadline > window.closes - SECOND, "a request that ends in time is taken");
                continue;
            }
            let begins = arrives + Duration::from_millis(sent.queued_ms);
            let deadline = window.bounded(deadline);
            if begins >= deadline || !window.takes(times.get(&route), deadline, begins) {
                continue;
            }
            let ends = (begins + Duration::from_millis(sent.runs_ms)).min(deadline);
            prop_assert!(ends < window.closes);
            let answered = verdict_deadline(ends);
            prop_assert!(answered <= began + window.left_to_run(began));
            times.record(&route, ends - arrives, ends);
        }
    }

    // Guards against a request that waits at another node, or here for another one, and begins although
    // one of the two ends before it: the other node learns of the stop somewhat later.
    #[test]
    fn what_waits_at_another_node_ends_before_either_closes(
        own_ms in 0..8_000_u64,
        sender_ms in 0..8_000_u64,
        delay_ms in 0..90_u64,
        longest_ms in prop::option::of(0..3_000_u64),
        timeout_ms in 1..9_000_u64,
        begins_ms in 0..9_000_u64,
    ) {
        let began = Instant::now();
        let at = |ms| began + Duration::from_millis(ms);
        let (sender, own) = (window(at(sender_ms)), window(at(own_ms)));
        let heard = at(sender_ms + delay_ms);
        let known = StopWindow::ahead(heard, SECOND * 2, SECOND * 6).expect("a near time");
        let stricter = own.stricter(known);
        let (begins, deadline) = (at(begins_ms), at(timeout_ms));
        let longest = longest_ms.map(Duration::from_millis);
        if begins < deadline && stricter.takes(longest, deadline, begins) {
            let runs = longest.unwrap_or(SECOND * 9);
            let ends = (begins + runs).min(stricter.bounded(deadline));
            prop_assert!(ends < sender.closes && ends < own.closes);
        }
    }
}
