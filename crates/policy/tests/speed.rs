//! Speed of a backend server, from its runs and from what it states.

use std::time::{Duration, Instant};

use filbertwheel_policy::Speed;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

/// Time between two responses of the server.
const INTERVAL: Duration = Duration::from_millis(33);

/// A server whose responses come at a constant rate.
struct Server {
    speed: Speed,
    now: Instant,
    random: StdRng,
}

impl Server {
    fn open() -> Self {
        let now = Instant::now();
        Self {
            speed: Speed::open(now),
            now,
            random: StdRng::seed_from_u64(7),
        }
    }

    /// Responds `count` times. Runs take `slowness` times their work, of which 3 in 100 are seven times
    /// as long; `stated` is the figure in the responses.
    fn respond(&mut self, count: usize, slowness: f64, stated: Option<f32>) {
        for _ in 0..count {
            self.now += INTERVAL;
            if let Some(stated) = stated {
                self.speed.record_stated(stated, self.now);
            }
            let is_long = self.random.random_bool(0.03);
            let work = self.random.random_range(0.7..1.3) * if is_long { 7.0 } else { 1.0 };
            self.speed.record_run(work * slowness / 1.18, self.now);
        }
    }

    fn present(&self) -> f64 {
        self.speed.present(self.now)
    }
}

/// Spells of 0.6 s must show while they last: a smoothed run time shows them when they are over.
#[test]
fn a_short_spell_shows_within_a_few_responses_and_is_forgotten_as_fast() {
    let mut server = Server::open();
    for _ in 0..5 {
        server.respond(100, 1.0, Some(1.0));
        server.respond(3, 2.5, Some(2.5));
        assert!(server.present() > 1.9, "{}", server.present());
        server.respond(15, 2.5, Some(2.5));
        server.respond(3, 1.0, Some(1.0));
        assert!(server.present() < 1.4, "{}", server.present());
    }
}

/// Without responses, what was stated last must not keep a server away.
#[test]
fn a_stated_figure_is_forgotten_within_its_lifetime() {
    let mut server = Server::open();
    server.respond(100, 1.0, Some(1.0));
    server.respond(3, 2.5, Some(2.5));
    server.now += Duration::from_millis(600);
    assert!(server.present() < 1.4, "{}", server.present());
}

/// Servers that are always fast or slow state nothing, so their runs must tell; a few long runs must
/// not.
#[test]
fn the_usual_speed_is_learnt_from_runs_with_long_tails() {
    for slowness in [0.5, 1.0, 1.6] {
        let mut server = Server::open();
        server.respond(200, slowness, None);
        let mut sum = 0.0;
        for _ in 0..200 {
            server.respond(1, slowness, None);
            sum += server.present() / 200.0;
        }
        assert!(
            (0.75..1.25).contains(&(sum / slowness)),
            "{sum} for a server at {slowness}"
        );
    }
}

/// A figure in another unit, or one that holds the server's usual speed too, must not count twice.
#[test]
fn a_figure_that_is_always_wrong_by_a_factor_changes_nothing() {
    for factor in [0.1, 0.5, 10.0] {
        let mut server = Server::open();
        server.respond(300, 0.6, Some(factor));
        let slowness = server.present();
        assert!((0.45..0.8).contains(&slowness), "{slowness} with {factor}");
    }
}

/// A server that states nonsense must be judged by its runs.
#[test]
fn a_figure_that_predicts_nothing_is_no_longer_believed() {
    let mut server = Server::open();
    for step in 0..300 {
        let stated = if step % 3 == 0 { 0.2 } else { 4.0 };
        server.respond(1, 1.0, Some(stated));
    }
    for step in 0..100 {
        let stated = if step % 3 == 0 { 0.2 } else { 4.0 };
        server.respond(1, 1.0, Some(stated));
        let slowness = server.present();
        assert!((0.6..1.5).contains(&slowness), "{slowness}");
    }
}

/// A server that gets no calls since it was slow must look usable again.
#[test]
fn a_slow_server_without_runs_is_tried_again() {
    let mut server = Server::open();
    server.respond(100, 8.0, None);
    assert!(server.present() > 4.0, "{}", server.present());
    server.now += Duration::from_secs(10);
    assert!(server.present() < 1.2, "{}", server.present());
}

proptest! {
    /// No sequence of figures makes the slowness infinite, zero or not a number.
    #[test]
    fn the_slowness_stays_in_bounds(
        steps in proptest::collection::vec(
            (any::<f32>(), any::<f64>(), 0..3_000_u64), 1..200),
    ) {
        let mut now = Instant::now();
        let mut speed = Speed::open(now);
        for (stated, ratio, passed) in steps {
            now += Duration::from_millis(passed);
            speed.record_stated(stated, now);
            speed.record_run(ratio, now);
            for slowness in [speed.present(now), speed.usual(now)] {
                prop_assert!((0.05..=20.0).contains(&slowness), "{slowness}");
            }
        }
    }
}
