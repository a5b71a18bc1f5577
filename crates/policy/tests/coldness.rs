//! Whether a backend server counts as cold, and that it gets no more than it takes then, under random
//! arrivals, restarts and reports.

use std::time::{Duration, Instant};

use filbertwheel_policy::{Coldness, Pacer};
use proptest::prelude::*;

/// Requests per second that the backend server takes while it is cold.
const RATE: f64 = 12.0;
/// How long it stays cold.
const WARMUP: Duration = Duration::from_secs(3);
/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the largest number of these times in any window.
fn most_within(times: &[Instant]) -> usize {
    let within = |(index, first): (usize, &Instant)| {
        let later = times[index..].iter();
        later.take_while(|at| **at - *first <= WINDOW).count()
    };
    times.iter().enumerate().map(within).max().unwrap_or(0)
}

// Guards against a warm-up that is overlooked, or shortened by a report that was made before the one
// that is known.
#[test]
fn a_late_older_report_changes_nothing() {
    let now = Instant::now();
    let mut coldness = Coldness::default();
    coldness.report(WARMUP, 8, now);
    coldness.report(Duration::ZERO, 7, now + millis(10));
    assert!(coldness.is_cold(now + millis(2_999)));
    assert!(!coldness.is_cold(now + millis(3_000)));
    coldness.report(Duration::ZERO, 9, now + millis(20));
    coldness.report(WARMUP, 8, now + millis(30));
    assert!(!coldness.is_cold(now + millis(40)));
}

// Guards against a warm-up that begins again without a restart and is taken for over.
#[test]
fn a_warmup_may_begin_again() {
    let now = Instant::now();
    let mut coldness = Coldness::default();
    coldness.report(Duration::ZERO, 1, now);
    assert!(!coldness.is_cold(now));
    coldness.report(WARMUP, 2, now + millis(1_500));
    assert!(coldness.is_cold(now + millis(4_499)));
    coldness.respond(Some(millis(500)), now + millis(1_600), now + millis(1_650));
    assert!(!coldness.is_cold(now + millis(2_150)));
}

// Guards against a response from before a report, which arrives after it and ends the warm-up.
#[test]
fn a_response_to_an_earlier_request_states_nothing() {
    let now = Instant::now();
    let mut coldness = Coldness::default();
    coldness.report(WARMUP, 1, now + millis(100));
    coldness.respond(Some(Duration::ZERO), now, now + millis(200));
    assert!(coldness.is_cold(now + millis(300)));
    coldness.respond(None, now + millis(300), now + millis(310));
    assert!(coldness.is_cold(now + millis(320)));
    coldness.respond(Some(Duration::ZERO), now + millis(300), now + millis(330));
    assert!(!coldness.is_cold(now + millis(340)));
}

// Guards against requests in full number to a backend server that has restarted and has not reported
// since, and against one that is taken for cold after a single lost response.
#[test]
fn a_possible_restart_counts_as_cold_until_the_next_report() {
    let now = Instant::now();
    let mut coldness = Coldness::default();
    coldness.report(Duration::ZERO, 1, now);
    coldness.lose();
    coldness.respond(None, now, now);
    coldness.lose();
    assert!(!coldness.is_cold(now));
    coldness.lose();
    assert!(coldness.is_cold(now));
    assert_eq!(coldness.left(WARMUP, now), WARMUP);
    coldness.respond(None, now, now + millis(10));
    assert!(coldness.is_cold(now + millis(20)));
    coldness.report(Duration::ZERO, 2, now + millis(30));
    assert!(!coldness.is_cold(now + millis(30)));
    coldness.suspect();
    assert!(coldness.is_cold(now + millis(40)));
}

// Guards against a backend server that is paced again after its report by a single lost request, because
// those from before the report still count.
#[test]
fn requests_lost_before_a_report_show_no_restart_after_it() {
    let now = Instant::now();
    let mut coldness = Coldness::default();
    coldness.report(Duration::ZERO, 1, now);
    coldness.lose();
    coldness.lose();
    coldness.report(Duration::ZERO, 2, now);
    coldness.lose();
    assert!(!coldness.is_cold(now));
}

// Guards against an absurd statement that wraps into a warm backend server, or keeps it cold for years.
#[test]
fn an_absurd_warmup_is_bounded() {
    let now = Instant::now();
    let mut coldness = Coldness::default();
    coldness.respond(Some(Duration::MAX), now, now);
    assert!(coldness.is_cold(now));
    assert!(coldness.left(WARMUP, now) <= Duration::from_secs(600));
}

// Guards against a node that has just started and takes a report from before what others know.
#[test]
fn a_report_that_others_have_overtaken_is_ignored() {
    let now = Instant::now();
    let mut coldness = Coldness::default();
    coldness.learn(6, Some(now + WARMUP), now);
    coldness.report(Duration::ZERO, 5, now);
    assert!(coldness.is_cold(now));
    coldness.learn(4, None, now);
    assert!(coldness.is_cold(now));
    coldness.report(Duration::ZERO, 7, now);
    assert!(!coldness.is_cold(now));
}

proptest! {
    // Guards against more requests in any second than a cold backend server takes: at its restart, at
    // the next one while calls wait, and by idle time that is caught up on. It crashes above that.
    #[test]
    fn a_cold_backend_server_gets_at_most_its_rate(
        gaps in proptest::collection::vec(0_u64..30, 2_000),
        restarts in proptest::collection::vec(200_u64..6_000, 1..8),
        waits in proptest::collection::vec(0_u64..500, 16),
    ) {
        let start = Instant::now();
        let (mut now, mut sequence) = (start, 0);
        let mut coldness = Coldness::default();
        let mut pacer = Pacer::open(RATE, start);
        let mut restarts = restarts.into_iter();
        let mut next_restart = start;
        let mut sent = Vec::new();
        for (index, gap) in gaps.iter().enumerate() {
            // Pauses between dense arrivals.
            now += millis(if index % 400 == 399 { 2_000 } else { *gap });
            if now >= next_restart {
                sequence += 1;
                coldness.report(WARMUP, sequence, now);
                next_restart = now + millis(restarts.next().unwrap_or(60_000));
            }
            if !coldness.is_cold(now) {
                continue;
            }
            if let Ok(one) = pacer.reserve(millis(waits[index % waits.len()]), now) {
                sent.push(now + one.wait);
            }
        }
        sent.sort();
        let most = most_within(&sent);
        let allowed = (RATE * 1.25).ceil() as usize + 1;
        prop_assert!(most <= allowed, "{most} sent in a second, {allowed} allowed");
    }
}
