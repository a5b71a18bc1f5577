//! Evacuations of failure domains over kills, cut links, lists, watches and restores of the store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use filbertwheel_core::{DomainId, Revision, StorePosition};
use filbertwheel_policy::{EvacuationChange, EvacuationRows, Evacuations, MAX_EVACUATED};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

const DOMAINS: [&str; 3] = ["east", "west", "north"];
const NODES: usize = 4;
const SEEDS: u64 = 500;
const STEPS: usize = 120;

fn at(epoch: u64, revision: Revision) -> StorePosition {
    StorePosition { epoch, revision }
}

fn listed(rows: &[(&'static str, Revision)]) -> EvacuationRows {
    let rows = rows.iter();
    EvacuationRows::Listed(rows.map(|(name, row)| ((*name).into(), *row)).collect())
}

fn changed(name: &'static str, row: Option<Revision>) -> EvacuationRows {
    EvacuationRows::Changed(vec![(name.into(), row)])
}

fn domains(node: &Evacuations, now: Instant) -> BTreeSet<DomainId> {
    node.in_force(now).into_keys().collect()
}

fn names(names: &[&'static str]) -> BTreeSet<DomainId> {
    names.iter().map(|name| (*name).into()).collect()
}

// Guards against evacuations that hold too long or end too early at the node that reads the rows: each
// row counts by itself, a list shows which are gone, and only changes are reported.
#[test]
fn rows_evacuate_domains_until_they_are_removed() {
    let (mut node, now) = (Evacuations::default(), Instant::now());
    let began = node.observe(listed(&[("east", 5), ("west", 7)]), at(1, 9), now);
    let east = EvacuationChange::Began("east".into(), at(1, 5));
    let west = EvacuationChange::Began("west".into(), at(1, 7));
    assert_eq!(began, [east, west]);
    assert_eq!(node.observe(changed("east", Some(11)), at(1, 12), now), []);
    let ended = node.observe(changed("west", None), at(1, 14), now);
    assert_eq!(ended, [EvacuationChange::Ended("west".into(), at(1, 14))]);
    assert_eq!(domains(&node, now), names(&["east"]));
    node.observe(listed(&[("north", 15)]), at(1, 16), now);
    assert_eq!(domains(&node, now), names(&["north"]));
}

// Guards against a row that is written, removed and written again within one response of the store: only
// its last change counts.
#[test]
fn the_last_change_of_a_row_counts() {
    let (mut node, now) = (Evacuations::default(), Instant::now());
    let again = vec![
        ("east".into(), Some(5)),
        ("east".into(), None),
        ("east".into(), Some(8)),
        ("west".into(), Some(6)),
        ("west".into(), None),
    ];
    node.observe(EvacuationRows::Changed(again), at(1, 9), now);
    assert_eq!(domains(&node, now), names(&["east"]));
}

// Guards against a row that was removed since and evacuates its domain again, because the store's answer
// is older than what other nodes have told.
#[test]
fn an_answer_that_others_have_overtaken_evacuates_nothing() {
    let now = Instant::now();
    let mut other = Evacuations::default();
    other.observe(listed(&[]), at(1, 50), now);
    for late in [listed(&[("east", 42)]), changed("east", Some(42))] {
        let mut node = Evacuations::default();
        node.receive(&other.report(now), now);
        node.observe(late, at(1, 45), now);
        assert_eq!(domains(&node, now), names(&[]));
    }
}

// Guards against a node that was cut off while a domain was taken back: what it tells afterwards must not
// evacuate the domain again, also at nodes that have never known of it.
#[test]
fn a_node_that_was_cut_off_brings_no_evacuation_back() {
    let now = Instant::now();
    let mut cut = Evacuations::default();
    cut.observe(listed(&[("east", 5)]), at(1, 6), now);
    let mut fresh = Evacuations::default();
    fresh.observe(listed(&[]), at(1, 20), now);
    assert_eq!(fresh.receive(&cut.report(now), now), []);
    cut.receive(&fresh.report(now), now);
    assert_eq!(domains(&cut, now), names(&[]));
}

// Guards against a confirmed evacuation that is undone by a restore of the store, and against one that
// comes back with the copy though it was taken back.
#[test]
fn a_restore_is_no_word_of_the_operators() {
    let (mut node, now) = (Evacuations::default(), Instant::now());
    node.observe(listed(&[("east", 5)]), at(1, 6), now);
    node.observe(changed("east", None), at(1, 8), now);
    node.observe(changed("west", Some(9)), at(1, 9), now);
    let restored = node.observe(listed(&[("east", 5)]), at(2, 7), now);
    assert_eq!(restored, []);
    assert_eq!(domains(&node, now), names(&["west"]));
    // The operators' next words hold.
    node.observe(changed("east", Some(8)), at(2, 8), now);
    node.observe(changed("west", Some(9)), at(2, 9), now);
    node.observe(changed("west", None), at(2, 10), now);
    assert_eq!(domains(&node, now), names(&["east"]));
}

// Guards against an evacuation that a node which knows it only from before a restore can't end.
#[test]
fn the_removal_of_a_row_that_the_copy_lacks_ends_its_evacuation() {
    let (mut node, now) = (Evacuations::default(), Instant::now());
    node.observe(listed(&[("east", 5)]), at(1, 6), now);
    node.observe(listed(&[]), at(2, 4), now);
    assert_eq!(domains(&node, now), names(&["east"]));
    node.observe(changed("east", None), at(2, 5), now);
    assert_eq!(domains(&node, now), names(&[]));
}

// Guards against an age that begins anew at each node that hears of an evacuation.
#[test]
fn the_age_of_an_evacuation_travels_along() {
    let (mut first, mut second) = (Evacuations::default(), Evacuations::default());
    let began = Instant::now();
    first.observe(changed("east", Some(5)), at(1, 6), began);
    let heard = began + Duration::from_secs(40);
    second.receive(&first.report(heard), heard);
    let later = heard + Duration::from_secs(2);
    let since = second.in_force(later)[&DomainId::from("east")].since;
    assert_eq!(later - since, Duration::from_secs(42));
}

// Guards against rows without end that fill the memory of all nodes and every message about sums.
#[test]
fn only_the_earliest_of_too_many_rows_hold() {
    let (mut node, now) = (Evacuations::default(), Instant::now());
    let row = |number: u64| (DomainId::from(format!("domain{number}")), number);
    let rows: BTreeMap<DomainId, Revision> = (1..=1_000).map(row).collect();
    node.observe(EvacuationRows::Listed(rows.clone()), at(1, 2_000), now);
    let kept: BTreeSet<DomainId> = (1..=MAX_EVACUATED as u64).map(|one| row(one).0).collect();
    assert_eq!(domains(&node, now), kept);
    let removed = rows.into_keys().map(|domain| (domain, None)).collect();
    node.observe(EvacuationRows::Changed(removed), at(1, 3_000), now);
    assert_eq!(domains(&node, now), names(&[]));
    let bytes = postcard::to_allocvec(&node.report(now)).expect("the report can be encoded");
    assert!(bytes.len() < 4_096, "{} bytes", bytes.len());
}

// Guards against calls that overload the other domains before the plan sheds for them, and against a notice
// that begins anew at each node or after a restart.
#[test]
fn an_evacuation_that_is_seen_to_begin_takes_effect_after_a_notice() {
    let (mut first, mut second) = (Evacuations::default(), Evacuations::default());
    let mut restarted = Evacuations::default();
    let began = Instant::now();
    first.observe(listed(&[]), at(1, 4), began);
    first.observe(changed("east", Some(5)), at(1, 5), began);
    let heard = began + Duration::from_millis(700);
    second.receive(&first.report(heard), heard);
    restarted.observe(listed(&[("east", 5)]), at(1, 6), heard);
    let effective = |node: &Evacuations| node.in_force(heard)[&DomainId::from("east")].effective;
    assert!(effective(&first) > heard);
    assert!(effective(&first) <= began + Duration::from_secs(1));
    assert_eq!(effective(&second), effective(&first));
    assert_eq!(effective(&restarted), heard);
}

// Guards against a row that is written again, in the same epoch or after a restore, and gives its domain
// another notice, in which it gets calls.
#[test]
fn a_row_that_is_written_anew_gives_no_second_notice() {
    let (mut node, began) = (Evacuations::default(), Instant::now());
    node.observe(listed(&[]), at(1, 4), began);
    node.observe(changed("east", Some(5)), at(1, 5), began);
    let later = began + Duration::from_secs(9);
    assert_eq!(node.observe(changed("east", Some(8)), at(1, 8), later), []);
    assert!(node.in_force(later)[&DomainId::from("east")].effective < later);
    node.observe(listed(&[]), at(2, 3), later);
    node.observe(changed("east", Some(4)), at(2, 4), later);
    let held = &node.in_force(later)[&DomainId::from("east")];
    assert!(held.effective < later);
    assert_eq!(held.position, at(2, 4));
}

/// A store with its history, and an earlier copy of it.
#[derive(Debug, Clone, Default)]
struct Store {
    epoch: u64,
    revision: Revision,
    rows: BTreeMap<&'static str, Revision>,
    history: Vec<(Revision, &'static str, Option<Revision>)>,
}

impl Store {
    fn change(&mut self, name: &'static str, present: bool) {
        self.revision += 1;
        let row = present.then_some(self.revision);
        match row {
            Some(row) => self.rows.insert(name, row),
            None => self.rows.remove(name),
        };
        self.history.push((self.revision, name, row));
    }

    fn position(&self) -> StorePosition {
        at(self.epoch, self.revision)
    }

    fn names(&self) -> BTreeSet<DomainId> {
        self.rows.keys().map(|name| (*name).into()).collect()
    }
}

/// A node, and up to where it has read the store.
#[derive(Debug, Default)]
struct Node {
    state: Evacuations,
    read: Option<StorePosition>,
}

impl Node {
    fn list(&mut self, store: &Store, now: Instant) {
        let rows = store.rows.iter();
        let rows = rows.map(|(name, row)| ((*name).into(), *row)).collect();
        let rows = EvacuationRows::Listed(rows);
        self.state.observe(rows, store.position(), now);
        self.read = Some(store.position());
    }

    /// Reads what has changed, or all rows if that is not known.
    fn follow(&mut self, store: &Store, now: Instant) {
        let Some(read) = self.read.filter(|read| read.epoch == store.epoch) else {
            return self.list(store, now);
        };
        let history = store.history.iter();
        let missed = history.filter(|(revision, ..)| *revision > read.revision);
        let missed = missed
            .map(|(_, name, row)| ((*name).into(), *row))
            .collect();
        let rows = EvacuationRows::Changed(missed);
        self.state.observe(rows, store.position(), now);
        self.read = Some(store.position());
    }
}

struct Run {
    random: StdRng,
    store: Store,
    copy: Store,
    nodes: Vec<Node>,
    now: Instant,
}

impl Run {
    fn open(seed: u64) -> Self {
        let store = Store {
            epoch: 1,
            ..Store::default()
        };
        Self {
            random: StdRng::seed_from_u64(seed),
            copy: store.clone(),
            store,
            nodes: (0..NODES).map(|_| Node::default()).collect(),
            now: Instant::now(),
        }
    }

    fn step(&mut self, restores: bool) {
        self.now += Duration::from_millis(100);
        let (now, one) = (self.now, self.random.random_range(0..NODES));
        match self.random.random_range(0..if restores { 22 } else { 20 }) {
            0..4 => self.change(),
            4..7 => self.nodes[one].list(&self.store, now),
            7..11 => self.nodes[one].follow(&self.store, now),
            11..18 => self.tell(one, self.random.clone().random_range(0..NODES)),
            18 => self.nodes[one] = Node::default(),
            19 => self.store.revision += 1,
            20 => self.copy = self.store.clone(),
            _ => self.restore(),
        }
    }

    fn change(&mut self) {
        let name = DOMAINS[self.random.random_range(0..DOMAINS.len())];
        let present = self.random.random_range(0..2) == 0;
        self.store.change(name, present);
    }

    fn restore(&mut self) {
        let epoch = self.store.epoch + 1;
        self.store = self.copy.clone();
        self.store.epoch = epoch;
    }

    fn tell(&mut self, from: usize, to: usize) {
        let report = self.nodes[from].state.report(self.now);
        self.nodes[to].state.receive(&report, self.now);
    }

    fn tell_all(&mut self) {
        for from in 0..NODES {
            for to in 0..NODES {
                self.tell(from, to);
            }
        }
    }
}

// Guards against nodes that disagree with the store after kills, lists that hide removals, watches and
// reports that arrive in any order: no report of another node takes a node back behind what it has read.
#[test]
fn nodes_follow_the_store_whatever_the_order_of_reports() {
    for seed in 0..SEEDS {
        let mut run = Run::open(seed);
        for step in 0..STEPS {
            run.step(false);
            for node in &run.nodes {
                if node.read == Some(run.store.position()) {
                    let known = domains(&node.state, run.now);
                    assert_eq!(known, run.store.names(), "seed {seed}, step {step}");
                }
            }
        }
        run.nodes[0].follow(&run.store, run.now);
        run.tell_all();
        for node in &run.nodes {
            assert_eq!(
                domains(&node.state, run.now),
                run.store.names(),
                "seed {seed}"
            );
        }
    }
}

// Guards against nodes that overrule each other for good after restores of the store, and against
// operators' words after a restore that don't reach all nodes.
#[test]
fn nodes_agree_after_restores_and_take_what_is_written_anew() {
    for seed in 0..SEEDS {
        let mut run = Run::open(seed);
        for _ in 0..STEPS {
            run.step(true);
        }
        run.tell_all();
        run.tell_all();
        let agreed = domains(&run.nodes[0].state, run.now);
        for node in &run.nodes {
            assert_eq!(domains(&node.state, run.now), agreed, "seed {seed}");
        }
        run.nodes[1].follow(&run.store, run.now);
        for name in DOMAINS {
            run.store.change(name, true);
            run.store.change(name, name == "west");
        }
        run.nodes[1].follow(&run.store, run.now);
        run.tell_all();
        for node in &run.nodes {
            assert_eq!(
                domains(&node.state, run.now),
                names(&["west"]),
                "seed {seed}"
            );
        }
    }
}

// Guards against a restore that undoes an evacuation which nodes have learnt of.
#[test]
fn no_restore_ends_an_evacuation() {
    for seed in 0..SEEDS {
        let mut run = Run::open(seed);
        run.store.change("north", true);
        run.nodes[0].list(&run.store, run.now);
        for step in 0..STEPS {
            let one = run.random.random_range(0..NODES);
            match run.random.random_range(0..4) {
                0 => run.restore(),
                1 => run.nodes[one].list(&run.store, run.now),
                2 => run.store.revision += 1,
                _ => run.tell(0, one),
            }
            let known = domains(&run.nodes[0].state, run.now);
            assert_eq!(known, names(&["north"]), "seed {seed}, step {step}");
        }
        run.tell_all();
        for node in &run.nodes {
            assert_eq!(
                domains(&node.state, run.now),
                names(&["north"]),
                "seed {seed}"
            );
        }
    }
}
