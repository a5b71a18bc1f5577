//! Calls to a backend server that states a limit, paced under random arrivals and limits.

use std::time::{Duration, Instant};

use filbertwheel_policy::{Pacer, usable_slots};
use proptest::prelude::*;

/// Window in which sent calls are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Maximum wait of the calls.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Returns the largest number of sent calls in any window.
fn most_sent(mut sent: Vec<Instant>) -> usize {
    sent.sort();
    let within = |(index, first): (usize, &Instant)| {
        let later = sent[index..].iter();
        later.take_while(|at| **at - *first <= WINDOW).count()
    };
    sent.iter()
        .enumerate()
        .map(within)
        .max()
        .unwrap_or_default()
}

proptest! {
    // Guards against bursts, after idle time or at a fall of the limit, that together exceed what
    // the backend server accepts.
    #[test]
    fn no_window_exceeds_the_limit(
        limits in proptest::collection::vec(0.0..200.0_f64, 1..4),
        gaps in proptest::collection::vec(0_u64..40, 2_000),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut pacer = Pacer::open(limits[0], now);
        let mut sent = Vec::new();
        let part = gaps.len() / limits.len() + 1;
        for (index, gap) in gaps.iter().enumerate() {
            // Long pauses between dense arrivals.
            now += Duration::from_millis(if index % 500 == 499 { 3_000 } else { *gap });
            if index % part == part - 1 {
                pacer.set_limit(limits[index / part], now);
            }
            if let Ok(reservation) = pacer.reserve(MAX_WAIT, now) {
                sent.push(now + reservation.wait);
            }
        }
        let highest = limits.iter().copied().fold(0.0, f64::max);
        let allowed = (1.5 * highest * WINDOW.as_secs_f64() + 5.0) as usize;
        let most = most_sent(sent);
        prop_assert!(most <= allowed, "{most} sent, {allowed} allowed at {limits:?}");
    }
}

// Guards against calls that wait while the process stands still, and are sent together when it goes on.
#[test]
fn calls_that_are_late_reserve_again() {
    let now = Instant::now();
    let mut pacer = Pacer::open(100.0, now);
    let waiting: Vec<_> = std::iter::from_fn(|| pacer.reserve(MAX_WAIT, now).ok()).collect();
    let resumed = now + Duration::from_secs(1);
    let sent = waiting.iter().filter(|one| pacer.is_valid(one, resumed));
    assert_eq!(sent.count(), 0);
    let last = waiting.last().expect("some calls wait");
    assert!(pacer.is_valid(last, now + last.wait + Duration::from_millis(20)));
}

// Guards against a limit that is lowered while calls wait, which would be sent at the old pace.
#[test]
fn waiting_calls_reserve_again_after_a_fall() {
    let now = Instant::now();
    let mut pacer = Pacer::open(100.0, now);
    let waiting: Vec<_> = std::iter::from_fn(|| pacer.reserve(MAX_WAIT, now).ok()).collect();
    assert!(waiting.len() >= 49, "{} reserved", waiting.len());
    pacer.set_limit(99.0, now);
    assert!(waiting.iter().all(|one| pacer.is_valid(one, now)));
    pacer.set_limit(10.0, now);
    assert!(waiting.iter().all(|one| !pacer.is_valid(one, now)));
    let waits = std::iter::from_fn(|| pacer.reserve(MAX_WAIT, now).ok());
    let waits: Vec<u128> = waits.map(|one| one.wait.as_millis()).collect();
    assert_eq!(waits, [100, 200, 300, 400, 500]);
}

// Guards against a limit of 0 whose end no response can show.
#[test]
fn a_limit_of_zero_lets_single_calls_through() {
    let start = Instant::now();
    let mut pacer = Pacer::open(0.0, start);
    let steps = (0..8_000).map(|millis| start + Duration::from_millis(millis));
    let sent = steps.filter(|now| pacer.reserve(Duration::ZERO, *now).is_ok());
    let sent: Vec<Instant> = sent.collect();
    assert!((3..=6).contains(&sent.len()), "{} sent in 8 s", sent.len());
    assert!(most_sent(sent) <= 5);
}

// Guards against needless refusals: all that the backend server accepts is used.
#[test]
fn the_whole_limit_is_used_under_steady_demand() {
    let start = Instant::now();
    let mut pacer = Pacer::open(50.0, start);
    let steps = (0..10_000).map(|millis| start + Duration::from_millis(millis));
    let sent = steps.filter(|now| pacer.reserve(MAX_WAIT, *now).is_ok());
    let sent = sent.count();
    assert!(
        (490..=530).contains(&sent),
        "{sent} sent in 10 s at 50 a second"
    );
}

// Guards against a fall to almost nothing while many calls wait: as long as their reservations count,
// no call is sent whose response could show that the limit has ended.
#[test]
fn a_fall_to_zero_is_followed_by_a_call() {
    let now = Instant::now();
    let mut pacer = Pacer::open(1_000.0, now);
    let waiting = std::iter::from_fn(|| pacer.reserve(MAX_WAIT, now).ok());
    assert!(waiting.count() >= 500);
    pacer.set_limit(0.0, now);
    assert!(pacer.reserve(MAX_WAIT, now).is_err());
    let soon = now + Duration::from_secs(2);
    assert!(pacer.reserve(MAX_WAIT, soon).is_ok());
}

// Guards against numbers at the ends of what can be represented, which must not end the process.
#[test]
fn extreme_limits_are_paced() {
    let now = Instant::now();
    let limits = [
        f64::MAX,
        1e300,
        1e18,
        1e9,
        0.0,
        f64::MIN_POSITIVE,
        1e-300,
        3.0,
    ];
    for first in limits {
        let mut pacer = Pacer::open(first, now);
        for limit in limits {
            for _ in 0..100 {
                let _paced = pacer.reserve(MAX_WAIT, now);
            }
            pacer.set_limit(limit, now);
        }
    }
}

// Guards against calls of running requests that are turned away while their backend server's limit
// goes to requests that haven't begun.
#[test]
fn calls_that_may_wait_longer_are_turned_away_last() {
    const SHORT_WAIT: Duration = Duration::from_millis(100);
    let start = Instant::now();
    let mut pacer = Pacer::open(20.0, start);
    let (mut long, mut short) = (0, 0);
    for millis in 0..10_000 {
        let now = start + Duration::from_millis(millis);
        // 20 a second of those that may wait, and ten times as many others.
        if millis % 50 == 0 {
            long += usize::from(pacer.reserve(MAX_WAIT, now).is_ok());
        }
        if millis % 5 == 0 {
            short += usize::from(pacer.reserve(SHORT_WAIT, now).is_ok());
        }
    }
    assert_eq!(long, 200, "{short} others were sent");
}

// Guards against a backend server that is chosen and planned for by all its slots although it is paced:
// before the first runs nobody knows how long they take.
#[test]
fn a_paced_backend_server_never_offers_all_its_slots() {
    assert_eq!(usable_slots(88, 12.0, None), 1);
    assert_eq!(usable_slots(88, 12.0, Some(0.24)), 3);
    assert_eq!(usable_slots(88, 12.0, Some(0.0)), 1);
    assert_eq!(usable_slots(2, 1_000.0, Some(0.1)), 2);
    assert_eq!(usable_slots(0, 12.0, Some(1.0)), 1);
}
