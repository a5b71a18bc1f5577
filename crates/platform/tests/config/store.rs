//! The configuration store with chosen faults.

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::faulty::{FaultyPlatform, RequestOutcome, fill, loaded, set_rate};
use filbertwheel_core::{ConfigLog, Configuration, Delta, PausedClock};
use filbertwheel_platform::{
    COMMAND_LIFETIME, CommitError, CommitOutcome, ObjectStore as _, SNAPSHOT_INTERVAL,
};
use filbertwheel_runtime::block_on;

#[test]
fn a_resent_command_after_a_lost_response_reports_the_first_result() {
    block_on(async {
        let platform = FaultyPlatform::open();
        let store = platform.store(&PausedClock::new());
        let config = fill(&store, 3).await;
        // The commit takes effect, but its response and the read that checks for it are lost.
        platform.next_commits(&[RequestOutcome::ResponseLost]);
        platform.next_reads(&[
            RequestOutcome::Answered,
            RequestOutcome::Answered,
            RequestOutcome::RequestLost,
        ]);
        let edit = set_rate("wardoffice", 50.0);
        let first = store.commit(&config, "order".into(), edit.clone()).await;
        assert_eq!(first, Err(CommitError::Unknown));
        fill(&store, 2).await;
        let again = store
            .commit(&loaded(&store).await, "order".into(), edit)
            .await;
        assert_eq!(again, Ok(CommitOutcome::Duplicate(4)));
        assert_eq!(platform.changes().await.len(), 6);
    });
}

#[test]
fn a_lost_response_is_resolved_at_once_if_the_table_is_readable() {
    block_on(async {
        let platform = FaultyPlatform::open();
        let store = platform.store(&PausedClock::new());
        platform.next_commits(&[RequestOutcome::ResponseLost]);
        let edit = set_rate("wardoffice", 5.0);
        let outcome = store
            .commit(&Configuration::default(), "order".into(), edit)
            .await;
        assert_eq!(outcome, Ok(CommitOutcome::Duplicate(1)));
    });
}

#[test]
fn of_two_concurrent_commands_one_commits_and_one_reports_the_conflict() {
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
        let committed = [&left, &right].iter().filter(|one| one.is_ok()).count();
        assert_eq!(committed, 1, "{left:?} {right:?}");
        assert!(left == conflict || right == conflict, "{left:?} {right:?}");
        assert_eq!(loaded(&here).await.version, 2);
    });
}

#[test]
fn an_outdated_node_never_reuses_a_version_whose_row_was_pruned() {
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
fn a_new_node_loads_the_snapshot_and_the_changes_after_it() {
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
fn a_command_is_recognised_for_its_lifetime_after_a_snapshot() {
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
        assert_eq!(again, Ok(CommitOutcome::Duplicate(1)));
    });
}

#[test]
fn the_previous_snapshot_is_kept_for_nodes_that_are_reading_it() {
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
fn loading_without_changes_reads_one_row() {
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
fn an_unreachable_platform_is_reported_and_nothing_is_committed() {
    block_on(async {
        let platform = FaultyPlatform::open();
        let store = platform.store(&PausedClock::new());
        let config = fill(&store, 1).await;
        platform.next_commits(&[RequestOutcome::Unreachable]);
        let edit = set_rate("wardoffice", 9.0);
        let outcome = store.commit(&config, "order".into(), edit.clone()).await;
        assert_eq!(outcome, Err(CommitError::Unavailable));
        platform.next_reads(&[RequestOutcome::RequestLost]);
        let outcome = store.commit(&config, "order".into(), edit).await;
        assert_eq!(outcome, Err(CommitError::Unavailable));
        assert_eq!(loaded(&store).await, config);
    });
}

#[test]
fn a_failed_snapshot_is_written_again() {
    block_on(async {
        let platform = FaultyPlatform::open();
        let clock = PausedClock::new();
        let store = platform.store(&clock);
        let config = fill(&store, SNAPSHOT_INTERVAL).await;
        for outcomes in [
            &[RequestOutcome::Unreachable][..],
            &[RequestOutcome::Answered, RequestOutcome::Unreachable],
        ] {
            platform.next_commits(outcomes);
            store.compact(&config).await.unwrap_err();
            assert_eq!(loaded(&store).await, config);
        }
        clock.advance(COMMAND_LIFETIME);
        store.compact(&config).await.unwrap();
        assert_eq!(loaded(&store).await, config);
        assert_eq!(platform.keys("change/").await.len(), 0);
    });
}

// Guards against operators' commands that conflict for ever after the platform was restored from an
// older copy, and against confirmed changes that nodes without memory then don't find.
#[test]
fn changes_that_a_restore_has_lost_are_written_again() {
    for lost in [1, 100] {
        block_on(async {
            let platform = FaultyPlatform::open();
            let store = platform.store(&PausedClock::new());
            fill(&store, 3).await;
            let copy = platform.copy();
            fill(&store, lost).await;
            let mut log = ConfigLog::default();
            log.apply(store.load(0).await.unwrap()).unwrap();
            platform.restore(&copy);
            let delta = store.synchronise(&log).await.unwrap();
            assert_eq!(delta, Delta::Changes(Vec::new()));
            assert_eq!(&loaded(&store).await, log.current());
            let edit = set_rate("wardoffice", 50.0);
            let next = store.commit(log.current(), "order".into(), edit).await;
            assert!(matches!(next, Ok(CommitOutcome::Committed(_))), "{next:?}");
        });
    }
}

// As above, where the node has no longer all changes that were lost.
#[test]
fn a_configuration_that_a_restore_has_lost_is_written_again_as_a_whole() {
    block_on(async {
        let platform = FaultyPlatform::open();
        let store = platform.store(&PausedClock::new());
        let copy = platform.copy();
        let config = fill(&store, 3).await;
        let mut log = ConfigLog::default();
        log.apply(Delta::Whole(config)).unwrap();
        platform.restore(&copy);
        store.synchronise(&log).await.unwrap();
        assert_eq!(&loaded(&store).await, log.current());
        let edit = set_rate("wardoffice", 50.0);
        let next = store.commit(log.current(), "order".into(), edit).await;
        assert!(matches!(next, Ok(CommitOutcome::Committed(_))), "{next:?}");
    });
}
