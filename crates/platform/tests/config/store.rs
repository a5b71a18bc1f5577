//! The configuration store with chosen faults.

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::faulty::{Fate, FaultyPlatform, fill, loaded, set_rate};
use filbertwheel_core::{Configuration, Delta, PausedClock};
use filbertwheel_platform::{
    COMMAND_LIFETIME, Commit, CommitError, ObjectStore as _, SNAPSHOT_INTERVAL,
};
use filbertwheel_runtime::block_on;

#[test]
fn the_same_order_after_a_lost_answer_reports_the_first_result() {
    block_on(async {
        let platform = FaultyPlatform::open();
        let store = platform.store(&PausedClock::new());
        let config = fill(&store, 3).await;
        // The commit takes effect, but its response and the read that checks for it are lost.
        platform.next_commits(&[Fate::AnswerLost]);
        platform.next_reads(&[Fate::Answered, Fate::Answered, Fate::Lost]);
        let edit = set_rate("wardoffice", 50.0);
        let first = store.commit(&config, "order".into(), edit.clone()).await;
        assert_eq!(first, Err(CommitError::Unknown));
        fill(&store, 2).await;
        let again = store
            .commit(&loaded(&store).await, "order".into(), edit)
            .await;
        assert_eq!(again, Ok(Commit::Known(4)));
        assert_eq!(platform.changes().await.len(), 6);
    });
}

#[test]
fn a_lost_answer_is_found_out_at_once_where_the_table_can_be_read() {
    block_on(async {
        let platform = FaultyPlatform::open();
        let store = platform.store(&PausedClock::new());
        platform.next_commits(&[Fate::AnswerLost]);
        let edit = set_rate("wardoffice", 5.0);
        let outcome = store
            .commit(&Configuration::default(), "order".into(), edit)
            .await;
        assert_eq!(outcome, Ok(Commit::Known(1)));
    });
}

#[test]
fn of_two_racing_operators_one_commits_and_one_hears_of_the_winner() {
    block_on(async {
        let platform = FaultyPlatform::open();
        let clock = PausedClock::new();
        let (here, there) = (platform.store(&clock), platform.store(&clock));
        let config = fill(&here, 1).await;
        let (left, right) = smol::future::zip(
            here.commit(&config, "left".into(), set_rate("wardoffice", 7.0)),
            there.commit(&config, "right".into(), set_rate("wardoffice", 8.0)),
        )
        .await;
        let conflict = Err(CommitError::Conflict { winner: 2 });
        let made = [&left, &right].iter().filter(|one| one.is_ok()).count();
        assert_eq!(made, 1, "{left:?} {right:?}");
        assert!(left == conflict || right == conflict, "{left:?} {right:?}");
        assert_eq!(loaded(&here).await.version, 2);
    });
}

#[test]
fn an_old_view_never_takes_a_version_whose_row_was_removed() {
    block_on(async {
        let platform = FaultyPlatform::open();
        let clock = PausedClock::new();
        let store = platform.store(&clock);
        let old = fill(&store, 2).await;
        let config = fill(&store, SNAPSHOT_INTERVAL).await;
        clock.advance(COMMAND_LIFETIME);
        store.compact(&config).await.unwrap();
        assert_eq!(platform.keys("change/").await, Vec::<String>::new());
        let outcome = store
            .commit(&old, "late".into(), set_rate("wardoffice", 1.0))
            .await;
        assert_eq!(outcome, Err(CommitError::Conflict { winner: 3 }));
        assert_eq!(loaded(&store).await, config);
    });
}

#[test]
fn a_new_node_starts_from_the_snapshot_and_the_changes_behind_it() {
    block_on(async {
        let platform = FaultyPlatform::open();
        let clock = PausedClock::new();
        let store = platform.store(&clock);
        let config = fill(&store, SNAPSHOT_INTERVAL).await;
        clock.advance(COMMAND_LIFETIME);
        store.compact(&config).await.unwrap();
        let config = fill(&store, 5).await;
        assert_eq!(loaded(&store).await, config);
        assert_eq!(platform.keys("change/").await.len(), 5);
        assert_eq!(platform.keys("command/").await.len(), 5);
    });
}

#[test]
fn a_command_is_recognised_for_its_lifetime_behind_a_snapshot() {
    block_on(async {
        let platform = FaultyPlatform::open();
        let clock = PausedClock::new();
        let store = platform.store(&clock);
        let config = fill(&store, SNAPSHOT_INTERVAL).await;
        clock.advance(COMMAND_LIFETIME - Duration::from_millis(1));
        store.compact(&config).await.unwrap();
        let again = store
            .commit(&config, "fill-1".into(), set_rate("wardoffice", 1.0))
            .await;
        assert_eq!(again, Ok(Commit::Known(1)));
    });
}

#[test]
fn one_earlier_snapshot_stays_for_nodes_that_are_reading_it() {
    block_on(async {
        let platform = FaultyPlatform::open();
        let store = platform.store(&PausedClock::new());
        for _ in 0..3 {
            let config = fill(&store, SNAPSHOT_INTERVAL).await;
            store.compact(&config).await.unwrap();
        }
        let mut kept = Vec::new();
        for number in 1..=3 {
            let key = format!("config/{:012}", number * SNAPSHOT_INTERVAL).into();
            kept.push(platform.get(&key).await.unwrap().is_some());
        }
        assert_eq!(kept, [false, true, true]);
    });
}

#[test]
fn an_idle_look_reads_one_row() {
    block_on(async {
        let platform = FaultyPlatform::open();
        let store = platform.store(&PausedClock::new());
        let config = fill(&store, 20).await;
        let before = platform.requests.load(Ordering::Relaxed);
        assert_eq!(
            store.load(config.version).await,
            Ok(Delta::Changes(Vec::new()))
        );
        assert_eq!(platform.requests.load(Ordering::Relaxed) - before, 1);
    });
}

#[test]
fn a_platform_that_is_down_changes_nothing_and_says_so() {
    block_on(async {
        let platform = FaultyPlatform::open();
        let store = platform.store(&PausedClock::new());
        let config = fill(&store, 1).await;
        platform.next_commits(&[Fate::Down]);
        let edit = set_rate("wardoffice", 9.0);
        let outcome = store.commit(&config, "order".into(), edit.clone()).await;
        assert_eq!(outcome, Err(CommitError::Unavailable));
        platform.next_reads(&[Fate::Lost]);
        let outcome = store.commit(&config, "order".into(), edit).await;
        assert_eq!(outcome, Err(CommitError::Unavailable));
        assert_eq!(loaded(&store).await, config);
    });
}

#[test]
fn a_snapshot_that_is_lost_is_written_again() {
    block_on(async {
        let platform = FaultyPlatform::open();
        let clock = PausedClock::new();
        let store = platform.store(&clock);
        let config = fill(&store, SNAPSHOT_INTERVAL).await;
        for fates in [&[Fate::Down][..], &[Fate::Answered, Fate::Down]] {
            platform.next_commits(fates);
            store.compact(&config).await.unwrap_err();
            assert_eq!(loaded(&store).await, config);
        }
        clock.advance(COMMAND_LIFETIME);
        store.compact(&config).await.unwrap();
        assert_eq!(loaded(&store).await, config);
        assert_eq!(platform.keys("change/").await.len(), 0);
    });
}
