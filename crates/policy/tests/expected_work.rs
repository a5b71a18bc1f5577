//! Expected work of calls, and what is left of running ones.

use std::time::{Duration, Instant};

use filbertwheel_core::{OrganisationId, RouteId};
use filbertwheel_policy::{CallWork, ExpectedWork, Occupancy, WorkMeter};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

static ROUTE: RouteId = RouteId::from_static("route");
static HEAVY: OrganisationId = OrganisationId::from_static("heavy");
static LIGHT: OrganisationId = OrganisationId::from_static("light");

/// Draws the work of a run with a mean of `mean`: 3 in 100 take seven times as long.
fn draw(random: &mut StdRng, mean: f64) -> f64 {
    let is_long = random.random_bool(0.03);
    mean / 1.18 * random.random_range(0.7..1.3) * if is_long { 7.0 } else { 1.0 }
}

/// A run that has taken several times its mean is one of the tail: counted as nearly done, its slot
/// would look free.
#[test]
fn a_run_that_lasts_longer_than_expected_raises_what_is_left() {
    let mut random = StdRng::seed_from_u64(1);
    let mut expected = ExpectedWork::default();
    for _ in 0..1_000 {
        expected.record(&ROUTE, None, draw(&mut random, 0.2));
    }
    let call = expected.expect(&ROUTE, None, None);
    let left = |done| expected.left(&ROUTE, call, done);
    assert!((left(0.0) - call.work).abs() < 0.05 * call.work);
    assert!(left(0.4) > 2.0 * left(0.15), "{} {}", left(0.4), left(0.15));
    assert!(left(0.4) > call.work);
    // Also beyond the longest run ever seen.
    assert!(left(30.0) >= call.work / 2.0);
}

/// An organisation whose requests are all heavy must be told from the others, who must not be taken
/// for heavy because of it.
#[test]
fn a_heavy_organisation_is_told_apart() {
    let mut random = StdRng::seed_from_u64(2);
    let mut expected = ExpectedWork::default();
    for step in 0..600 {
        if step % 10 == 0 {
            expected.record(&ROUTE, Some(&HEAVY), draw(&mut random, 0.5));
        } else {
            expected.record(&ROUTE, Some(&LIGHT), draw(&mut random, 0.1));
        }
    }
    let heavy = expected.expect(&ROUTE, Some(&HEAVY), None).work;
    let light = expected.expect(&ROUTE, Some(&LIGHT), None).work;
    assert!((0.3..0.8).contains(&heavy), "{heavy}");
    assert!((0.07..0.2).contains(&light), "{light}");
}

/// Calls that become three times as heavy within 5 s must count so while they queue up.
#[test]
fn a_drift_of_cost_is_followed() {
    let mut random = StdRng::seed_from_u64(3);
    let mut expected = ExpectedWork::default();
    for _ in 0..1_000 {
        expected.record(&ROUTE, None, draw(&mut random, 0.1));
    }
    // 100 runs a second for 5 s, then 2 s more.
    for step in 0..700 {
        let mean = 0.1 + 0.2 * f64::from(step.min(500)) / 500.0;
        expected.record(&ROUTE, None, draw(&mut random, mean));
    }
    let work = expected.expect(&ROUTE, None, None).work;
    assert!((0.2..0.4).contains(&work), "{work}");
}

/// A node that has just started goes by the fleet's mean, not by its first run.
#[test]
fn the_first_runs_count_beside_the_mean_of_the_fleet() {
    let mut expected = ExpectedWork::default();
    assert_eq!(expected.expect(&ROUTE, None, Some(0.2)).work, 0.2);
    expected.record(&ROUTE, None, 1.4);
    let work = expected.expect(&ROUTE, None, Some(0.2)).work;
    assert!((0.2..0.6).contains(&work), "{work}");
}

/// Callers choose what they send, so the estimates must stay bounded.
#[test]
fn routes_and_organisations_are_evicted() {
    let mut expected = ExpectedWork::default();
    for number in 0..1_000 {
        let route = RouteId::from(format!("route {}", number % 300));
        let organisation = OrganisationId::from(format!("organisation {number}"));
        for _ in 0..3 {
            expected.record(&route, Some(&organisation), 0.1);
        }
    }
    for number in 0..1_000 {
        let organisation = OrganisationId::from(format!("organisation {number}"));
        expected.record(&ROUTE, Some(&organisation), 0.1);
    }
    assert!(expected.routes() <= 128);
    assert!(expected.organisations(&ROUTE) <= 64);
}

fn call(organisation: &OrganisationId, deadline: Instant) -> CallWork<'_> {
    CallWork {
        route: &ROUTE,
        organisation: Some(organisation),
        fleet_mean: Some(0.1),
        deadline,
    }
}

/// A server that happens to get the heavy organisation's calls must not look slow for it.
#[test]
fn heavy_calls_do_not_make_a_server_look_slow() {
    let mut random = StdRng::seed_from_u64(4);
    let mut now = Instant::now();
    let mut meter = WorkMeter::open(now);
    let mut run = |meter: &mut WorkMeter, organisation, mean| {
        let ticket = meter.begin(call(organisation, now + Duration::from_secs(5)), now);
        now += Duration::from_secs_f64(draw(&mut random, mean));
        meter.end(ticket, true, now);
        now
    };
    for step in 0..400 {
        let (organisation, mean) = if step % 4 == 0 {
            (&HEAVY, 0.5)
        } else {
            (&LIGHT, 0.1)
        };
        run(&mut meter, organisation, mean);
    }
    let mut now = run(&mut meter, &LIGHT, 0.1);
    for _ in 0..10 {
        now = run(&mut meter, &HEAVY, 0.5);
    }
    let occupancy = Occupancy {
        running: 0,
        queued: 0,
        queued_work: Duration::ZERO,
        slots: 10,
    };
    let slowness = meter.figures(occupancy, now).usual_slowness;
    assert!((0.6..1.7).contains(&slowness), "{slowness}");
}

/// Two servers with as many running calls are not alike if one runs those of the tail.
#[test]
fn the_backlog_counts_work_and_not_calls() {
    let mut random = StdRng::seed_from_u64(5);
    let mut now = Instant::now();
    let mut meter = WorkMeter::open(now);
    for _ in 0..500 {
        let ticket = meter.begin(call(&LIGHT, now + Duration::from_secs(5)), now);
        now += Duration::from_secs_f64(draw(&mut random, 0.1));
        meter.end(ticket, true, now);
    }
    for _ in 0..10 {
        meter.begin(call(&LIGHT, now + Duration::from_secs(5)), now);
    }
    let occupancy = Occupancy {
        running: 10,
        queued: 0,
        queued_work: Duration::ZERO,
        slots: 10,
    };
    let fresh = meter.figures(occupancy, now);
    now += Duration::from_millis(300);
    let lasting = meter.figures(occupancy, now);
    assert!(
        lasting.backlog > 1.5 * fresh.backlog,
        "{fresh:?} {lasting:?}"
    );
    assert!(lasting.delay > fresh.delay);
    // No run occupies its slot after its deadline.
    now += Duration::from_secs(5);
    assert_eq!(meter.figures(occupancy, now).backlog, 0.0);
}

proptest! {
    /// No sequence of runs makes an estimate infinite, negative or not a number.
    #[test]
    fn estimates_stay_in_bounds(
        runs in proptest::collection::vec((any::<f64>(), any::<f64>(), 0..4_u8), 1..200),
    ) {
        let mut expected = ExpectedWork::default();
        for (work, mean, name) in runs {
            let organisation = OrganisationId::from(name.to_string());
            expected.record(&ROUTE, Some(&organisation), work);
            let call = expected.expect(&ROUTE, Some(&organisation), Some(mean));
            prop_assert!((0.0..=1_200.0).contains(&call.work), "{call:?}");
            for done in [0.0, 0.1, 1e9, mean.abs()] {
                let left = expected.left(&ROUTE, call, done);
                prop_assert!((0.0..=1_200.0).contains(&left), "{left} after {done}");
            }
        }
    }
}
