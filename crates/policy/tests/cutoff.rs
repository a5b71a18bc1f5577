//! Cut-offs, routing, ranks and retries.

use std::time::{Duration, Instant};

use filbertwheel_core::{Criticality, CutOff, VmId};
use filbertwheel_policy::{
    CUT_OFF_LIFETIME, CutOffs, FixedLimit, Gate, GateOutcome, GateRequest, LoadTracker,
    RetryThrottles, RunTime, choose_backend, retry_after, shed_rank,
};

fn cut_off_at(rank: u32, expires: Instant) -> CutOff {
    CutOff {
        criticality: Criticality::Normal,
        rank,
        expires,
    }
}

#[test]
fn cut_off_sheds_higher_ranks_and_less_critical_calls_until_it_ends() {
    let now = Instant::now();
    let mut cut_offs = CutOffs::default();
    let received = cut_off_at(10, now + CUT_OFF_LIFETIME);
    cut_offs.record("desk", Criticality::Normal, Some(received), now);
    let sheds = |class, rank, at| cut_offs.sheds(&"desk", class, rank, at).is_some();
    assert!(sheds(Criticality::Normal, 11, now));
    assert!(!sheds(Criticality::Normal, 10, now));
    assert!(sheds(Criticality::Sheddable, 0, now));
    assert!(!sheds(Criticality::Critical, u32::MAX, now));
    assert!(!sheds(Criticality::Normal, 11, now + CUT_OFF_LIFETIME));
    assert!(
        cut_offs
            .sheds(&"other", Criticality::Normal, 11, now)
            .is_none()
    );
}

#[test]
fn gate_under_overload_publishes_a_cut_off_for_the_organisation_that_is_shed() {
    let mut gate = Gate::with_limit(Box::new(FixedLimit(2)));
    let mut now = Instant::now();
    let mut running = 0;
    let calls = |owner: &'static str, count: u32| (0..count).map(move |n| (owner, n));
    for tick in 0..100_u32 {
        for (owner, number) in calls("small", 1).chain(calls("large", 20)) {
            let request = GateRequest {
                criticality: Criticality::Normal,
                organisation: Some(owner.into()),
                rank: (tick * 20 + number).wrapping_mul(2_654_435_761),
                deadline: now + Duration::from_secs(2),
            };
            running += usize::from(matches!(gate.offer(&request, now).0, GateOutcome::Run(_)));
        }
        now += Duration::from_millis(10);
        let elapsed = Duration::from_millis(10);
        for _ in 0..running.min(2) {
            gate.finish(
                &RunTime {
                    elapsed,
                    self_time: elapsed,
                },
                now,
            );
        }
    }
    let published = |owner: &str| gate.cut_off(&Some(owner.into()), Criticality::Normal, now);
    let large = published("large").expect("calls of the large organisation are shed");
    assert!(large.rank < u32::MAX / 2, "{large:?}");
    assert!(large.expires <= now + CUT_OFF_LIFETIME);
    assert!(published("small").is_none());
}

#[test]
fn routing_avoids_busy_unreachable_and_new_members() {
    let now = Instant::now();
    let vms: [VmId; 2] = ["a".into(), "b".into()];
    let pick = |loads: &LoadTracker, at: Instant| {
        let candidates = vms.each_ref().map(|vm| loads.candidate(vm, true, at));
        // Draws the first member, then the second, then the largest number for the ramp-up.
        let mut draws = [0, 0].into_iter();
        choose_backend(&candidates, |count| draws.next().unwrap_or(count - 1))
    };
    let mut loads = LoadTracker::default();
    assert_eq!(pick(&loads, now), Some(0));
    loads.record_wait(&vms[0], Duration::from_millis(20), now);
    assert_eq!(pick(&loads, now), Some(1));
    loads.record_unreachable(&vms[1], now);
    assert_eq!(pick(&loads, now), Some(0));
    let later = now + Duration::from_secs(5);
    assert_eq!(
        pick(&loads, later),
        Some(1),
        "the recorded wait and the failure have expired"
    );
    loads.add(&vms[1], true, later);
    assert_eq!(
        pick(&loads, later),
        Some(0),
        "a new member receives fewer calls"
    );
    let grown = later + Duration::from_secs(11);
    loads.record_wait(&vms[0], Duration::from_millis(20), grown);
    assert_eq!(pick(&loads, grown), Some(1), "its ramp-up is complete");
}

#[test]
fn retries_keep_to_a_tenth_of_successes() {
    let mut ratios = RetryThrottles::default();
    let desk = "desk".into();
    let saved = (0..100).filter(|_| ratios.try_spend(&desk)).count();
    let earned = (0..1_000)
        .filter(|_| {
            ratios.record_success(&desk);
            ratios.try_spend(&desk)
        })
        .count();
    assert_eq!(saved, 10);
    assert!((99..=100).contains(&earned), "{earned}");
}

#[test]
fn retry_delay_has_a_minimum_and_jitter() {
    let delay = |jitter| retry_after(Duration::ZERO, jitter);
    assert_eq!(delay(0.0), Duration::from_secs(1));
    assert_eq!(delay(1.0), Duration::from_secs(2));
}

#[test]
fn ranks_are_the_same_for_a_retry_and_spread_evenly() {
    let owner = Some("ward".into());
    let rank = |n: u32| shed_rank(&owner, &format!("request-{n}").as_str().into());
    assert_eq!(rank(1), rank(1));
    let low = (0..10_000).filter(|n| rank(*n) < u32::MAX / 4).count();
    assert!((2_300..2_700).contains(&low), "{low}");
}
