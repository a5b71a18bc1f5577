//! Uneven servers, uneven calls and old reports: times of calls against the same draws placed by the
//! number of calls, and what must never happen.

use std::time::Duration;

use proptest::prelude::*;

use crate::drawn::{Draw, Outcome, play};

const SEEDS: [u64; 8] = [1, 2, 3, 4, 5, 6, 7, 8];
/// Part of a time below which another one is clearly shorter.
const MUCH_LESS: f64 = 0.96;

/// Returns the 99th percentiles by number of calls and by expected cost, each the mean of a few seeds.
fn p99(draw: &Draw) -> (f64, f64) {
    let mean = |by_cost| {
        let sum: f64 = SEEDS
            .iter()
            .map(|seed| play(draw, by_cost, *seed).quantile(0.99))
            .sum();
        sum / SEEDS.len() as f64
    };
    (mean(false), mean(true))
}

/// Returns the largest part of all calls of a second that went to one server, once speeds are learnt.
fn most_at_one(outcome: &Outcome) -> f64 {
    let seconds = outcome.calls[0].len();
    let part = |second: usize| {
        let calls = outcome.calls.iter().map(|server| server[second]);
        calls.clone().max().unwrap_or_default() as f64 / calls.sum::<usize>().max(1) as f64
    };
    (2..seconds).map(part).fold(0.0, f64::max)
}

/// Returns the most seconds in a row in which a server got no call.
fn longest_without(outcome: &Outcome) -> usize {
    let longest = |calls: &Vec<usize>| {
        let runs = calls.split(|calls| *calls > 0);
        runs.map(<[usize]>::len).max().unwrap_or_default()
    };
    outcome.calls.iter().map(longest).max().unwrap_or_default()
}

/// Slow and fast servers, loaded so that equal shares overload the slow ones.
fn uneven() -> Draw {
    Draw {
        servers: [0.5, 1.0, 1.0, 1.6].repeat(3),
        rate: 650.0,
        ..Draw::default()
    }
}

/// A server that is always slow must get less, without a figure that says so.
#[test]
fn uneven_servers_serve_calls_as_fast_as_placed_by_number() {
    let (by_number, by_cost) = p99(&uneven());
    assert!(
        by_cost < by_number * MUCH_LESS,
        "{by_cost} against {by_number}"
    );
}

/// Near the limit, fast servers must not be so full that calls wait long while slow ones have room.
#[test]
fn uneven_servers_near_their_limit_are_all_used() {
    let draw = Draw {
        rate: 1_000.0,
        ..uneven()
    };
    let (by_number, by_cost) = p99(&draw);
    assert!(
        by_cost < by_number * MUCH_LESS,
        "{by_cost} against {by_number}"
    );
}

/// A few servers that slow down when they are nearly full: filling the fast one first makes all calls
/// slower.
#[test]
fn few_servers_that_slow_down_when_nearly_full_serve_calls_as_fast() {
    for part in [0.6, 0.75] {
        let draw = Draw {
            servers: vec![0.5, 1.0, 1.0],
            senders: 60,
            slots: 40,
            work: 0.05,
            nearly_full: 1.3,
            rate: 40.0 / 0.05 * 4.0 * part,
            length: Duration::from_secs(5),
            ..Draw::default()
        };
        let (by_number, by_cost) = p99(&draw);
        assert!(by_cost <= by_number, "{by_cost} against {by_number}");
    }
}

/// Servers that are slow for 0.6 s at a time must get less while it lasts.
#[test]
fn spells_of_slowness_delay_fewer_calls() {
    let draw = Draw {
        spells: 0.15,
        reports: Duration::from_millis(500),
        ..uneven()
    };
    let (by_number, by_cost) = p99(&draw);
    assert!(
        by_cost < by_number * MUCH_LESS,
        "{by_cost} against {by_number}"
    );
}

/// Calls of a heavy organisation, counted as one each, make others wait behind them.
#[test]
fn beside_a_heavy_organisation_calls_wait_less() {
    let draw = Draw {
        heavy: 0.1,
        rate: 500.0,
        ..Draw::default()
    };
    let wait = |by_cost| {
        let waits = SEEDS.map(|seed| play(&draw, by_cost, seed).wait_quantile(0.99));
        waits.iter().sum::<f64>() / waits.len() as f64
    };
    let (by_number, by_cost) = (wait(false), wait(true));
    assert!(
        by_cost < by_number * MUCH_LESS,
        "{by_cost} against {by_number}"
    );
}

/// Many senders that know the same old report must not all send to the server that looked best.
#[test]
fn senders_with_old_reports_do_not_herd() {
    for lost in [0.0, 0.5] {
        let draw = Draw {
            senders: 60,
            lost,
            ..uneven()
        };
        for seed in SEEDS {
            let most = most_at_one(&play(&draw, true, seed));
            // Each of the three fast servers has 0.15 of what all can do.
            assert!(most < 0.3, "{most} at one server, {lost} lost");
        }
    }
}

/// A server whose node reports too little by ten times must not draw more than it can bear, nor one that
/// reports too much be left alone.
#[test]
fn figures_wrong_by_ten_times_do_little_harm() {
    for wrong in [0.1, 10.0] {
        let draw = Draw {
            wrong,
            rate: 500.0,
            ..Draw::default()
        };
        for seed in SEEDS {
            let outcome = play(&draw, true, seed);
            assert!(most_at_one(&outcome) < 0.3, "wrong by {wrong}");
            assert!(longest_without(&outcome) <= 3, "wrong by {wrong}");
            assert!(outcome.quantile(0.99) < 1.5, "wrong by {wrong}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// Whatever the speeds and the load, each sound server gets calls, and none more than it can run.
    #[test]
    fn every_sound_server_gets_some_calls_and_none_too_many(
        servers in proptest::collection::vec(0.4..1.7_f64, 3..14),
        load in 0.1..0.8_f64,
        spells in 0.0..0.3_f64,
        lost in 0.0..0.9_f64,
        seed in any::<u64>(),
    ) {
        let capacity: f64 = servers.iter().map(|slowness| 8.0 / slowness / 0.1).sum();
        let rate = capacity * load / (1.0 + 1.5 * spells);
        let draw = Draw {
            servers,
            rate,
            spells,
            lost,
            length: Duration::from_secs(8),
            ..Draw::default()
        };
        let outcome = play(&draw, true, seed);
        prop_assert!(longest_without(&outcome) <= 4, "{:?}", outcome.calls);
        for (calls, slowness) in outcome.calls.iter().zip(&draw.servers) {
            // There is room elsewhere, so none gets much more than it can run, in any second.
            let bearable = 8.0 / slowness / 0.1;
            let most = *calls.iter().max().expect("there are seconds") as f64;
            prop_assert!(most < 1.5 * bearable, "{calls:?} where {bearable} a second can run");
        }
    }
}
