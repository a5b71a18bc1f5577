//! Tests of the configuration log and of configuration edits.
#![expect(
    clippy::unwrap_used,
    reason = "a test may panic on an unexpected error"
)]

use filbertwheel_core::{
    Change, ConfigError, ConfigLog, Configuration, Delta, Difference, Edit, Rate, Version,
};
use proptest::prelude::{ProptestConfig, any};
use proptest::{collection, prop_assert, prop_assert_eq, proptest};

fn change(version: Version) -> Change {
    let edit = set("wardoffice", version as f64);
    Change {
        version,
        command: format!("{version}").into(),
        edit,
    }
}

fn set(name: &str, rate: f64) -> Edit {
    Edit::SetOrganisation {
        name: name.into(),
        limit: Rate { rate, burst: 1.0 },
    }
}

fn changes(versions: std::ops::RangeInclusive<Version>) -> Delta {
    Delta::Changes(versions.map(change).collect())
}

fn log(version: Version) -> ConfigLog {
    let mut log = ConfigLog::default();
    log.apply(changes(1..=version)).unwrap();
    log
}

#[test]
fn an_older_document_never_replaces_a_newer_one() {
    let mut log = log(5);
    assert_eq!(
        log.apply(Delta::Whole(self::log(4).current().clone())),
        Ok(false)
    );
    assert_eq!(log.apply(changes(2..=3)), Ok(false));
    assert_eq!(log.current().version, 5);
}

#[test]
fn a_change_after_a_gap_is_rejected() {
    let mut log = log(2);
    let gap = ConfigError::Gap {
        current: 2,
        found: 4,
    };
    assert_eq!(log.apply(changes(4..=5)), Err(gap));
    assert_eq!(log.current().version, 2);
    assert_eq!(log.apply(changes(1..=5)), Ok(true));
}

#[test]
fn a_delta_holds_the_document_where_changes_are_no_longer_retained() {
    let log = log(1_500);
    assert_eq!(log.delta_since(1_500), Delta::Changes(Vec::new()));
    assert_eq!(log.delta_since(1_498), changes(1_499..=1_500));
    assert_eq!(log.delta_since(3), Delta::Whole(log.current().clone()));
}

#[test]
fn a_drain_does_not_apply_to_a_later_incarnation() {
    let drain = Edit::DrainVm {
        vm: "vm1".into(),
        incarnation: 7,
    };
    let config = Configuration::default().with_edit(&drain).unwrap();
    assert!(config.is_drained(&"vm1".into(), 7));
    assert!(!config.is_drained(&"vm1".into(), 8));
    assert!(!config.is_drained(&"vm2".into(), 7));
}

#[test]
fn differences_list_the_keys_of_a_removed_organisation() {
    let add = Edit::AddKey {
        hash: "abc".into(),
        organisation: "wardoffice".into(),
    };
    let config = log(1).current().with_edit(&add).unwrap();
    let remove = Edit::RemoveOrganisation {
        name: "wardoffice".into(),
    };
    let found = config.differences(&config.with_edit(&remove).unwrap());
    let kinds: Vec<&str> = found.iter().map(|one| one.kind).collect();
    assert_eq!(kinds, ["organisation", "key"]);
    let Difference { before, after, .. } = &found[1];
    assert_eq!(before, &Some("{\"organisation\":\"wardoffice\"}".into()));
    assert_eq!(after, &None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn versions_never_decrease(
        deltas in collection::vec((1..40_u64, 0..6_u64, any::<bool>()), 1..40)
    ) {
        let mut node = ConfigLog::default();
        for (first, extra, whole) in deltas {
            let before = node.current().version;
            let delta = if whole {
                Delta::Whole(log(first).current().clone())
            } else {
                changes(first..=first + extra)
            };
            let _gap = node.apply(delta);
            let after = node.current().version;
            prop_assert!(after >= before);
            let expected = log(after);
            prop_assert_eq!(node.current(), expected.current());
        }
    }
}
