//! Which rules are newer, over restores of the store from older copies.

mod lineage_model;

use filbertwheel_core::{RulesStamp, StorePosition};
use filbertwheel_policy::{ReadMode, RulesLineage, RulesReading, RulesVerdict};
use lineage_model::{Model, Numbering, Step, steps};
use proptest::prelude::*;

fn reading(version: u64, digest: u64, epoch: u64, revision: u64) -> RulesReading {
    RulesReading {
        version,
        digest,
        position: StorePosition { epoch, revision },
    }
}

fn stamp(lineage: u64, version: u64) -> RulesStamp {
    RulesStamp { lineage, version }
}

/// A node that has listed version 3 and followed versions 5 and 8, in epoch 1.
fn node() -> RulesLineage {
    let mut node = RulesLineage::default();
    let listed = node.observe(reading(3, 3, 1, 10), ReadMode::Listed);
    assert_eq!(listed, RulesVerdict::Replace(stamp(0, 3)));
    for version in [5, 8] {
        let followed = reading(version, version, 1, 10 * version);
        let verdict = node.observe(followed, ReadMode::Followed);
        assert_eq!(verdict, RulesVerdict::Replace(stamp(0, version)));
    }
    node
}

#[test]
fn an_older_document_that_comes_back_with_a_copy_is_ignored() {
    let mut node = node();
    let copied = node.observe(reading(5, 5, 2, 50), ReadMode::Listed);
    assert_eq!(copied, RulesVerdict::Ignore);
}

#[test]
fn documents_that_are_written_again_in_their_order_change_nothing() {
    let mut node = node();
    let copied = node.observe(reading(3, 3, 2, 10), ReadMode::Listed);
    assert_eq!(copied, RulesVerdict::Ignore);
    for version in [5, 8] {
        let again = node.observe(
            reading(version, version, 2, 90 + version),
            ReadMode::Followed,
        );
        assert_eq!(again, RulesVerdict::Ignore);
    }
    let next = node.observe(reading(9, 9, 2, 120), ReadMode::Followed);
    assert_eq!(next, RulesVerdict::Replace(stamp(0, 9)));
}

#[test]
fn another_document_under_a_known_version_begins_a_lineage() {
    for version in [5, 8] {
        let mut node = node();
        let other = node.observe(reading(version, 77, 2, 20), ReadMode::Listed);
        assert_eq!(other, RulesVerdict::Replace(stamp(2, version)));
        let next = node.observe(reading(version + 1, 78, 2, 21), ReadMode::Followed);
        assert_eq!(next, RulesVerdict::Replace(stamp(2, version + 1)));
    }
}

#[test]
fn a_document_under_a_version_that_was_never_used_begins_a_lineage() {
    let mut node = node();
    let other = node.observe(reading(6, 77, 2, 20), ReadMode::Followed);
    assert_eq!(other, RulesVerdict::Replace(stamp(2, 6)));
}

#[test]
fn a_document_that_may_have_been_missed_changes_nothing() {
    let mut node = RulesLineage::default();
    node.observe(reading(8, 8, 1, 80), ReadMode::Listed);
    let copied = node.observe(reading(6, 6, 2, 60), ReadMode::Listed);
    assert_eq!(copied, RulesVerdict::Ignore);
}

#[test]
fn another_document_under_the_same_version_changes_nothing_without_a_restore() {
    let mut node = node();
    let other = node.observe(reading(8, 77, 1, 90), ReadMode::Followed);
    assert_eq!(other, RulesVerdict::Ignore);
}

#[test]
fn a_late_answer_from_before_a_lineage_is_ignored() {
    let mut node = node();
    node.observe(reading(5, 77, 2, 20), ReadMode::Followed);
    let late = node.observe(reading(9, 9, 1, 90), ReadMode::Listed);
    assert_eq!(late, RulesVerdict::Ignore);
}

#[test]
fn a_node_without_memory_takes_the_rules_of_other_nodes() {
    let mut fresh = RulesLineage::default();
    fresh.observe(reading(3, 3, 2, 10), ReadMode::Listed);
    let told = fresh.receive(stamp(0, 8), reading(8, 8, 1, 80));
    assert_eq!(told, RulesVerdict::Replace(stamp(0, 8)));
    let told = fresh.receive(stamp(2, 5), reading(5, 77, 2, 20));
    assert_eq!(told, RulesVerdict::Replace(stamp(2, 5)));
    assert_eq!(
        fresh.receive(stamp(0, 9), reading(9, 9, 1, 90)),
        RulesVerdict::Ignore
    );
}

#[test]
fn a_node_without_memory_joins_the_lineage_that_its_rules_belong_to() {
    let mut fresh = RulesLineage::default();
    fresh.observe(reading(7, 78, 2, 30), ReadMode::Listed);
    let told = fresh.receive(stamp(2, 5), reading(5, 77, 2, 20));
    assert_eq!(told, RulesVerdict::Keep(stamp(2, 7)));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    // Guards against rules that go back at a node, or differ between nodes for ever: operators write
    // under rising versions, and write again what a restore has lost, while nodes restart, are cut off
    // from the store and from each other, and get late answers.
    #[test]
    fn rules_never_go_back_and_agree_in_the_end(steps in steps()) {
        let mut model = Model::open(Numbering::Rising);
        for step in steps {
            model.apply(step);
        }
        // Nothing that any node has in force is undone while the lost documents aren't written again.
        let newest = model.newest_in_force();
        model.settle();
        prop_assert!(model.all_in_force().iter().all(|document| *document >= newest));
        model.apply(Step::WriteAgain);
        model.settle();
        let last = model.last_written();
        prop_assert!(model.all_in_force().iter().all(|document| *document == last));
    }

    // Guards against an operator's word that stays out of force after a restore, where versions are
    // given out again from that of the copy.
    #[test]
    fn versions_given_out_again_agree_in_the_end(steps in steps()) {
        let mut model = Model::open(Numbering::FromCopy);
        for step in steps {
            model.apply(step);
        }
        model.settle();
        // Once the versions have passed those from before.
        model.write_above_all();
        model.settle();
        let last = model.last_written();
        prop_assert!(model.all_in_force().iter().all(|document| *document == last));
    }
}
