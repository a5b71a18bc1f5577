//! A node's share never yields more than its rate and burst.

use std::time::{Duration, Instant};

use filbertwheel_core::{Clock, OrganisationId, PausedClock, Rate, Share, Text};
use filbertwheel_policy::{Purse, WHOLE};

const ORGANISATION: OrganisationId = Text::from_static("ward");
const LIMIT: Rate = Rate {
    rate: 10.0,
    burst: 20.0,
};
const LONG: Duration = Duration::from_secs(100);

/// A purse that holds the whole limit, filled to the burst.
fn full_purse(clock: &PausedClock) -> Purse {
    let mut purse = Purse::default();
    adopt(&mut purse, clock.now());
    clock.advance(Duration::from_secs(10));
    purse
}

fn adopt(purse: &mut Purse, now: Instant) {
    let share = Share {
        organisation: ORGANISATION,
        portion: WHOLE,
    };
    purse.adopt(&[share], |_| Some(LIMIT), now + LONG, now);
}

/// Spends all that there is.
fn drain(purse: &mut Purse, now: Instant) -> usize {
    std::iter::from_fn(|| purse.charge(&ORGANISATION, LIMIT, now).ok()).count()
}

#[test]
fn a_token_put_back_in_time_is_spent_again() {
    let clock = PausedClock::new();
    let mut purse = full_purse(&clock);
    let receipt = purse.charge(&ORGANISATION, LIMIT, clock.now());
    assert_eq!(drain(&mut purse, clock.now()), 19);
    purse.put_back(
        &ORGANISATION,
        receipt.expect("the purse is full"),
        clock.now(),
    );
    assert_eq!(drain(&mut purse, clock.now()), 1);
}

#[test]
fn a_token_put_back_after_an_overflow_is_lost() {
    let clock = PausedClock::new();
    let mut purse = full_purse(&clock);
    let receipt = purse.charge(&ORGANISATION, LIMIT, clock.now());
    clock.advance(Duration::from_secs(1));
    assert_eq!(drain(&mut purse, clock.now()), 20);
    purse.put_back(
        &ORGANISATION,
        receipt.expect("the purse is full"),
        clock.now(),
    );
    assert_eq!(drain(&mut purse, clock.now()), 0);
}

#[test]
fn a_claim_under_way_takes_room() {
    let clock = PausedClock::new();
    let mut purse = full_purse(&clock);
    assert_eq!(purse.pay(&ORGANISATION, LIMIT, 5, clock.now()), 5);
    clock.advance(Duration::from_secs(1));
    // The five may be spent elsewhere at this moment.
    assert_eq!(drain(&mut purse, clock.now()), 15);
}

#[test]
fn a_share_that_ran_out_leaves_nothing() {
    let clock = PausedClock::new();
    let mut purse = full_purse(&clock);
    clock.advance(LONG);
    assert_eq!(drain(&mut purse, clock.now()), 0);
    adopt(&mut purse, clock.now());
    assert_eq!(drain(&mut purse, clock.now()), 0);
}
