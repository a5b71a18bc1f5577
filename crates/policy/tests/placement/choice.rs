//! Single choices between servers.

use std::time::{Duration, Instant};

use filbertwheel_policy::{
    BackendLoad, BackendView, Distance, LeastExpectedTime, PeerLoad, Placement,
};
use proptest::prelude::*;

const WORK: Duration = Duration::from_millis(100);

fn load() -> BackendLoad {
    BackendLoad {
        running: 4,
        slots: 10,
        slowness: 1.0,
        usual_slowness: 1.0,
        backlog: 0.04,
        ..BackendLoad::default()
    }
}

/// Chooses without exploration or jitter.
fn choose(views: &[BackendView], work: Duration, now: Instant) -> Option<usize> {
    LeastExpectedTime.choose(views, work, now, &mut || 0.5)
}

fn view(load: BackendLoad, at: Instant) -> BackendView {
    let mut known = PeerLoad::default();
    known.record(load, at);
    known.view(0, Distance::SameDomain, None)
}

/// Of servers with as many calls, the one with less work left is first.
#[test]
fn less_work_left_goes_before_fewer_calls() {
    let now = Instant::now();
    let heavy = BackendLoad {
        running: 3,
        backlog: 0.2,
        ..load()
    };
    assert_eq!(
        choose(&[view(heavy, now), view(load(), now)], WORK, now),
        Some(1)
    );
}

/// A spell that was reported a second ago is over.
#[test]
fn an_old_report_of_a_spell_no_longer_counts() {
    let now = Instant::now();
    let slow = BackendLoad {
        slowness: 2.5,
        ..load()
    };
    let busier = BackendLoad {
        running: 5,
        backlog: 0.05,
        ..load()
    };
    let fresh = [view(slow, now), view(busier, now)];
    assert_eq!(choose(&fresh, WORK, now), Some(1));
    let later = now + Duration::from_secs(1);
    assert_eq!(choose(&fresh, WORK, later), Some(0));
}

/// What a sender has sent since a report counts until the next one, and no longer than its answer.
#[test]
fn own_calls_count_until_a_report_or_an_answer() {
    let now = Instant::now();
    let mut known = PeerLoad::default();
    known.record(load(), now);
    let view = |known: &PeerLoad| known.view(0, Distance::SameDomain, None);
    let first = known.begin(WORK);
    let second = known.begin(WORK);
    assert_eq!((view(&known).pending, view(&known).pending_work), (2, 0.2));
    known.end(first);
    assert_eq!(view(&known).pending, 1);
    known.record(load(), now);
    known.begin(WORK);
    known.end(second);
    assert_eq!(view(&known).pending, 1);
}

/// A server that has just joined, or that nobody has called for a while, gets a call although others
/// look better, but not if its runs fail.
#[test]
fn an_idle_server_gets_one_of_some_calls() {
    let now = Instant::now();
    let idle = BackendLoad {
        usual_slowness: 3.0,
        slowness: 3.0,
        idle: true,
        ..load()
    };
    let broken = BackendLoad {
        failing: 0.9,
        ..idle
    };
    let others = load();
    let chosen = |load, drawn| {
        let views = [view(others, now), view(load, now)];
        LeastExpectedTime.choose(&views, WORK, now, &mut || drawn)
    };
    assert_eq!(chosen(idle, 0.1), Some(1));
    assert_eq!(chosen(idle, 0.2), Some(0));
    assert_eq!(chosen(broken, 0.1), Some(0));
}

#[test]
fn no_candidate_gives_no_choice() {
    assert_eq!(choose(&[], WORK, Instant::now()), None);
}

proptest! {
    /// Whatever other nodes report, one of the candidates is chosen, and none because of a figure that
    /// is not a number.
    #[test]
    fn absurd_reports_choose_a_candidate(
        figures in proptest::collection::vec(
            (any::<u32>(), any::<u32>(), any::<f32>(), any::<f32>(), any::<f32>()), 1..5),
        work in any::<u32>(),
    ) {
        let now = Instant::now();
        let views: Vec<BackendView> = figures
            .iter()
            .map(|(running, slots, slowness, failing, backlog)| {
                let load = BackendLoad {
                    running: *running,
                    queued: *running,
                    slots: *slots,
                    slowness: *slowness,
                    usual_slowness: *failing,
                    failing: *failing,
                    backlog: *backlog,
                    delay: *backlog,
                    idle: false,
                };
                view(load, now)
            })
            .collect();
        let work = Duration::from_micros(work.into());
        let chosen = choose(&views, work, now);
        prop_assert!(chosen.is_some_and(|index| index < views.len()));
        let sound = BackendLoad { running: 0, backlog: 0.0, ..load() };
        let broken = BackendLoad { slowness: f32::NAN, failing: 1.0, ..load() };
        prop_assert_eq!(choose(&[view(broken, now), view(sound, now)], work, now), Some(1));
    }
}
