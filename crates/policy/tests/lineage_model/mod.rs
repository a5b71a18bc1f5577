//! Nodes that follow a store, which comes back from older copies.

use filbertwheel_core::{RulesStamp, StorePosition};
use filbertwheel_policy::{ReadMode, RulesLineage, RulesReading, RulesVerdict};
use proptest::prelude::*;

const NODES: usize = 4;
/// Rounds in which all nodes read the store and hear each other.
const SETTLE_ROUNDS: usize = 4;

/// Number of a document in the order in which operators have first written them.
pub type Document = u64;

/// Versions of documents that operators write after a restore.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Numbering {
    /// Above all earlier ones; what was lost is written again under its versions.
    Rising,
    /// Above the version in the store, so some are given out again.
    FromCopy,
}

#[derive(Debug, Clone)]
pub enum Step {
    /// Operators write the next document, its version this much higher.
    Write(u64),
    /// Another row is written.
    WriteOther(u64),
    Copy,
    /// The store goes back to the latest copy but so many.
    Restore(usize),
    /// Operators write again what a restore has lost, each document or only the last one.
    ReplayAll,
    WriteAgain,
    /// A node reads the store.
    Read(usize),
    /// A node's list of the store is answered, but the answer arrives later.
    DelayRead(usize),
    DeliverLate(usize),
    /// A node hears of another one's rules.
    Tell(usize, usize),
    Restart(usize),
}

pub fn steps() -> impl Strategy<Value = Vec<Step>> {
    let node = || 0..NODES;
    let step = prop_oneof![
        4 => (1..4_u64).prop_map(Step::Write),
        2 => (1..6_u64).prop_map(Step::WriteOther),
        2 => Just(Step::Copy),
        2 => (0..3_usize).prop_map(Step::Restore),
        1 => Just(Step::ReplayAll),
        1 => Just(Step::WriteAgain),
        8 => node().prop_map(Step::Read),
        1 => node().prop_map(Step::DelayRead),
        1 => node().prop_map(Step::DeliverLate),
        6 => (node(), node()).prop_map(|(from, to)| Step::Tell(from, to)),
        1 => node().prop_map(Step::Restart),
    ];
    prop::collection::vec(step, 1..80)
}

/// A row of rules: the document, its version and the revision of the row.
type Row = (Document, u64, u64);

#[derive(Debug, Clone, Default)]
struct Contents {
    revision: u64,
    /// All writes of the row since the store began.
    rows: Vec<Row>,
}

#[derive(Debug, Default)]
struct Node {
    lineage: RulesLineage,
    /// Up to where the node has followed the store.
    position: Option<StorePosition>,
    late: Vec<RulesReading>,
    in_force: Document,
}

#[derive(Debug)]
pub struct Model {
    numbering: Numbering,
    epoch: u64,
    store: Contents,
    copies: Vec<Contents>,
    nodes: Vec<Node>,
    /// What operators have written: documents and their versions.
    written: Vec<(Document, u64)>,
}

impl Model {
    pub fn open(numbering: Numbering) -> Self {
        let mut model = Self {
            numbering,
            epoch: 1,
            store: Contents::default(),
            copies: Vec::new(),
            nodes: (0..NODES).map(|_| Node::default()).collect(),
            written: Vec::new(),
        };
        model.write(1);
        model.copies.push(model.store.clone());
        model
    }

    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Write(step) => self.write(step),
            Step::WriteOther(count) => self.store.revision += count,
            Step::Copy => self.copies.push(self.store.clone()),
            Step::Restore(age) => {
                let index = self.copies.len().saturating_sub(1 + age);
                self.store = self.copies[index].clone();
                self.copies.truncate(index + 1);
                self.epoch += 1;
            }
            Step::ReplayAll => self.replay(),
            Step::WriteAgain => self.write_again(),
            Step::Read(node) => self.read(node),
            Step::DelayRead(node) => {
                let late = self.listed();
                self.nodes[node].late.push(late);
            }
            Step::DeliverLate(node) => {
                if let Some(late) = self.nodes[node].late.pop() {
                    self.observe(node, late, ReadMode::Listed);
                }
            }
            Step::Tell(from, to) => self.tell(from, to),
            Step::Restart(node) => self.nodes[node] = Node::default(),
        }
    }

    /// Writes documents until their version is above all earlier ones.
    pub fn write_above_all(&mut self) {
        let highest = self.written.iter().map(|(_, version)| *version).max();
        while self.store.rows.last().map(|row| row.1) <= highest {
            self.write(1);
        }
    }

    /// Lets all nodes read the store and hear each other.
    pub fn settle(&mut self) {
        for _ in 0..SETTLE_ROUNDS {
            for node in 0..NODES {
                self.read(node);
            }
            for from in 0..NODES {
                for to in 0..NODES {
                    self.tell(from, to);
                }
            }
        }
    }

    pub fn last_written(&self) -> Document {
        self.written.last().map_or(0, |(document, _)| *document)
    }

    pub fn newest_in_force(&self) -> Document {
        self.all_in_force().into_iter().max().unwrap_or_default()
    }

    pub fn all_in_force(&self) -> Vec<Document> {
        self.nodes.iter().map(|node| node.in_force).collect()
    }

    fn write(&mut self, step: u64) {
        let known = match self.numbering {
            Numbering::Rising => {
                // The operators' word is never older than what they have written.
                self.write_again();
                self.written.last().map_or(0, |(_, version)| *version)
            }
            Numbering::FromCopy => self.store.rows.last().map_or(0, |row| row.1),
        };
        let document = self.written.len() as u64 + 1;
        self.written.push((document, known + step));
        self.put(document, known + step);
    }

    fn put(&mut self, document: Document, version: u64) {
        self.store.revision += 1;
        let row = (document, version, self.store.revision);
        self.store.rows.push(row);
    }

    fn replay(&mut self) {
        let stored = self.store.rows.last().map_or(0, |row| row.0);
        if self.numbering == Numbering::Rising {
            for (document, version) in self.written.clone() {
                if document > stored {
                    self.put(document, version);
                }
            }
        }
    }

    fn write_again(&mut self) {
        let Some((document, version)) = self.written.last().copied() else {
            return;
        };
        let stored = self.store.rows.last().map_or(0, |row| row.0);
        if self.numbering == Numbering::Rising && document > stored {
            self.put(document, version);
        }
    }

    fn reading(&self, row: Row) -> RulesReading {
        let (document, version, revision) = row;
        RulesReading {
            version,
            digest: document,
            position: StorePosition {
                epoch: self.epoch,
                revision,
            },
        }
    }

    fn listed(&self) -> RulesReading {
        let row = self.store.rows.last().copied();
        self.reading(row.expect("the store has rules"))
    }

    /// A node lists the store, or follows it if it has listed it in this epoch.
    fn read(&mut self, index: usize) {
        let known = self.nodes[index].position;
        self.nodes[index].position = Some(StorePosition {
            epoch: self.epoch,
            revision: self.store.revision,
        });
        match known.filter(|known| known.epoch == self.epoch) {
            None => self.observe(index, self.listed(), ReadMode::Listed),
            Some(known) => {
                let rows = self.store.rows.clone();
                for row in rows.into_iter().filter(|row| row.2 > known.revision) {
                    let reading = self.reading(row);
                    self.observe(index, reading, ReadMode::Followed);
                }
            }
        }
    }

    fn observe(&mut self, index: usize, reading: RulesReading, mode: ReadMode) {
        let verdict = self.nodes[index].lineage.observe(reading, mode);
        self.put_in_force(index, verdict, reading.digest);
    }

    fn tell(&mut self, from: usize, to: usize) {
        let Some((stamp, reading)) = self.nodes[from].lineage.current() else {
            return;
        };
        let known = self.nodes[to].lineage.current();
        if stamp > known.map_or(RulesStamp::default(), |(stamp, _)| stamp) {
            let verdict = self.nodes[to].lineage.receive(stamp, reading);
            self.put_in_force(to, verdict, reading.digest);
        }
    }

    fn put_in_force(&mut self, index: usize, verdict: RulesVerdict, document: Document) {
        if !matches!(verdict, RulesVerdict::Replace(_)) {
            return;
        }
        let node = &mut self.nodes[index];
        assert!(
            self.numbering == Numbering::FromCopy || document > node.in_force,
            "document {document} replaces {} at node {index}",
            node.in_force
        );
        node.in_force = document;
    }
}
