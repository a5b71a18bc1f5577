//! A node's share never yields more than its rate and burst.

use std::time::{Duration, Instant};

use filbertwheel_core::{Clock, OrganisationId, PausedClock, Rate, Share, Text};
use filbertwheel_policy::{FULL_PORTION, ShareBuckets};

const ORGANISATION: OrganisationId = Text::from_static("ward");
const LIMIT: Rate = Rate {
    rate: 10.0,
    burst: 20.0,
};
const LONG: Duration = Duration::from_secs(100);

/// Creates buckets that hold the full rate limit, filled to the burst.
fn full_buckets(clock: &PausedClock) -> ShareBuckets {
    let mut buckets = ShareBuckets::default();
    set_full_share(&mut buckets, clock.now());
    clock.advance(Duration::from_secs(10));
    buckets
}

fn set_full_share(buckets: &mut ShareBuckets, now: Instant) {
    let share = Share {
        organisation: ORGANISATION,
        portion: FULL_PORTION,
    };
    buckets.set_shares(&[share], |_| Some(LIMIT), now + LONG, now);
}

/// Spends all available tokens and returns their number.
fn drain(buckets: &mut ShareBuckets, now: Instant) -> usize {
    std::iter::from_fn(|| buckets.charge(&ORGANISATION, LIMIT, now).ok()).count()
}

#[test]
fn a_refunded_token_is_spent_again() {
    let clock = PausedClock::new();
    let mut buckets = full_buckets(&clock);
    let receipt = buckets.charge(&ORGANISATION, LIMIT, clock.now());
    assert_eq!(drain(&mut buckets, clock.now()), 19);
    buckets.refund(
        &ORGANISATION,
        receipt.expect("the bucket is full"),
        clock.now(),
    );
    assert_eq!(drain(&mut buckets, clock.now()), 1);
}

#[test]
fn a_refund_after_an_overflow_is_lost() {
    let clock = PausedClock::new();
    let mut buckets = full_buckets(&clock);
    let receipt = buckets.charge(&ORGANISATION, LIMIT, clock.now());
    clock.advance(Duration::from_secs(1));
    assert_eq!(drain(&mut buckets, clock.now()), 20);
    buckets.refund(
        &ORGANISATION,
        receipt.expect("the bucket is full"),
        clock.now(),
    );
    assert_eq!(drain(&mut buckets, clock.now()), 0);
}

#[test]
fn a_claim_in_flight_reserves_room() {
    let clock = PausedClock::new();
    let mut buckets = full_buckets(&clock);
    assert_eq!(
        buckets.grant_tokens(&ORGANISATION, LIMIT, 5, clock.now()),
        5
    );
    clock.advance(Duration::from_secs(1));
    // The five claimed tokens may be spent elsewhere at this moment.
    assert_eq!(drain(&mut buckets, clock.now()), 15);
}

#[test]
fn an_expired_share_leaves_no_tokens() {
    let clock = PausedClock::new();
    let mut buckets = full_buckets(&clock);
    clock.advance(LONG);
    assert_eq!(drain(&mut buckets, clock.now()), 0);
    set_full_share(&mut buckets, clock.now());
    assert_eq!(drain(&mut buckets, clock.now()), 0);
}
