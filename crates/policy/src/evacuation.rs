//! Which failure domains operators have evacuated, from their rows in a store that may be restored from
//! an older copy, and from what other nodes know of these rows.
//!
//! A node keeps the latest record of each domain in each epoch of the store. Within an epoch the newer
//! record holds. A restore is no word of the operators: a row that the copy lacks stays in force, and one
//! that it brings back after it was removed stays taken back, until operators write or remove it anew.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use filbertwheel_core::{DomainId, Epoch, Revision, StorePosition, message, value};

/// Maximum number of domains that are evacuated at a time. More rows than that have no effect.
pub const MAX_EVACUATED: usize = 64;
/// Maximum number of records of domains that were taken back.
const MAX_TAKEN_BACK: usize = 64;
/// Time between the moment at which a node sees a row being written and that at which calls to the domain
/// end. Meanwhile all nodes plan without its slots, so that what would not fit is shed first.
const EFFECT_DELAY: Duration = Duration::from_secs(1);

/// Rows of evacuated domains as read from the store.
#[value]
pub enum EvacuationRows {
    /// All rows, with the revision of the last change of each.
    Listed(BTreeMap<DomainId, Revision>),
    /// Rows that were written or, if there is no revision, removed since the last reading. Only the last
    /// change of a row counts.
    Changed(Vec<(DomainId, Option<Revision>)>),
}

/// What a node knows of evacuations, as it is sent to other nodes.
#[message]
#[derive(Default)]
pub struct EvacuationReport {
    /// Position up to which the records cover all rows.
    as_of: StorePosition,
    /// The latest record of each domain in each epoch.
    records: BTreeMap<RecordKey, EvacuationRecord>,
}

/// A domain and an epoch of the store.
type RecordKey = (DomainId, Epoch);

/// What is known of a domain in one epoch.
#[message]
struct EvacuationRecord {
    /// Whether the row exists.
    evacuated: bool,
    /// Revision of the row's last change, or at which it was found to be removed.
    revision: Revision,
    /// Revision of the row's last change before it was removed, if that is known.
    row: Revision,
    /// Whether a node has seen the row being written or removed, so that it can't be part of a copy.
    witnessed: bool,
    /// Time since a node first learnt of the evacuation. A row that was listed may be old already, so it
    /// begins with the time of the notice.
    age: Duration,
}

/// A row that asks for an evacuation in force.
#[derive(Debug, Clone, Copy)]
struct HeldEvacuation {
    position: StorePosition,
    /// Time since a node first learnt of the evacuation.
    age: Duration,
}

/// An evacuation in force.
#[value]
pub struct Evacuation {
    /// Position of the row that asks for it.
    pub position: StorePosition,
    /// When a node first learnt of it, or earlier by the notice if that was from a list.
    pub since: Instant,
    /// From when on the domain gets no calls.
    pub effective: Instant,
}

/// A change of the evacuations in force.
#[value]
pub enum EvacuationChange {
    /// A domain is evacuated from now on.
    Began(DomainId, StorePosition),
    /// A domain is taken back.
    Ended(DomainId, StorePosition),
}

/// Follows the evacuations at one node.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    report: EvacuationReport,
    /// Time that the ages in the report refer to.
    aged: Option<Instant>,
}

impl Evacuations {
    /// Records rows that this node has read from the store at a position, and returns what changes.
    pub fn observe(
        &mut self,
        rows: EvacuationRows,
        position: StorePosition,
        now: Instant,
    ) -> Vec<EvacuationChange> {
        self.apply(now, |report| report.observe(rows, position))
    }

    /// Merges what another node knows, and returns what changes.
    pub fn receive(&mut self, other: &EvacuationReport, now: Instant) -> Vec<EvacuationChange> {
        self.apply(now, |report| report.merge(other, Duration::ZERO))
    }

    /// Returns all that this node knows, for other nodes.
    pub fn report(&self, now: Instant) -> EvacuationReport {
        let mut report = self.report.clone();
        report.advance(self.elapsed(now));
        report
    }

    /// Returns the position up to which all rows are taken into account.
    pub fn as_of(&self) -> StorePosition {
        self.report.as_of
    }

    /// Returns the evacuated domains.
    pub fn in_force(&self, now: Instant) -> BTreeMap<DomainId, Evacuation> {
        let elapsed = self.elapsed(now);
        let in_force = self.report.in_force().into_iter();
        in_force
            .map(|(domain, held)| {
                let age = held.age.saturating_add(elapsed);
                let since = now.checked_sub(age).unwrap_or(now);
                let evacuation = Evacuation {
                    position: held.position,
                    since,
                    effective: since + EFFECT_DELAY,
                };
                (domain.clone(), evacuation)
            })
            .collect()
    }

    fn apply(
        &mut self,
        now: Instant,
        change: impl FnOnce(&mut EvacuationReport),
    ) -> Vec<EvacuationChange> {
        let before = self.evacuated();
        self.report.advance(self.elapsed(now));
        self.aged = Some(now);
        change(&mut self.report);
        self.report.drop_excess();
        let after = self.evacuated();
        let began = after
            .iter()
            .filter(|(domain, _)| !before.contains_key(*domain));
        let began =
            began.map(|(domain, position)| EvacuationChange::Began(domain.clone(), *position));
        let ended = before.keys().filter(|domain| !after.contains_key(*domain));
        let ended = ended.map(|domain| {
            EvacuationChange::Ended(domain.clone(), self.report.last_position(domain))
        });
        began.chain(ended).collect()
    }

    fn evacuated(&self) -> BTreeMap<DomainId, StorePosition> {
        let in_force = self.report.in_force().into_iter();
        in_force
            .map(|(domain, held)| (domain.clone(), held.position))
            .collect()
    }

    fn elapsed(&self, now: Instant) -> Duration {
        self.aged
            .map_or(Duration::ZERO, |aged| now.saturating_duration_since(aged))
    }
}

impl EvacuationReport {
    /// Merges another report, received `elapsed` ago.
    pub(crate) fn merge(&mut self, other: &Self, elapsed: Duration) {
        // A row that only one of them has is gone if the other covers its position.
        for (key, own) in &mut self.records {
            if !other.has_row(key) {
                own.remove_if_covered(key.1, other.as_of);
            }
        }
        for (key, theirs) in &other.records {
            let mut theirs = theirs.clone();
            theirs.age = theirs.age.saturating_add(elapsed);
            if !self.has_row(key) {
                theirs.remove_if_covered(key.1, self.as_of);
            }
            self.insert(key.clone(), theirs);
        }
        self.as_of = self.as_of.max(other.as_of);
    }

    fn observe(&mut self, rows: EvacuationRows, position: StorePosition) {
        let epoch = position.epoch;
        match rows {
            EvacuationRows::Listed(rows) => {
                for ((domain, _), record) in self.records_of(epoch) {
                    if !rows.contains_key(domain) {
                        record.remove_if_covered(epoch, position);
                    }
                }
                for (domain, revision) in rows {
                    self.observe_record((domain, epoch), EvacuationRecord::listed(revision));
                }
            }
            EvacuationRows::Changed(changes) => {
                // Later changes of a row replace earlier ones.
                let changes: BTreeMap<DomainId, Option<Revision>> = changes.into_iter().collect();
                for (domain, revision) in changes {
                    let record = match revision {
                        Some(revision) => EvacuationRecord::written(revision),
                        None => {
                            EvacuationRecord::removed(position.revision, self.last_row(&domain))
                        }
                    };
                    self.observe_record((domain, epoch), record);
                }
            }
        }
        self.as_of = self.as_of.max(position);
    }

    /// Inserts what the store has stated. Other nodes may have read more of it already.
    fn observe_record(&mut self, key: RecordKey, mut record: EvacuationRecord) {
        if !self.has_row(&key) {
            record.remove_if_covered(key.1, self.as_of);
        }
        self.insert(key, record);
    }

    fn insert(&mut self, key: RecordKey, record: EvacuationRecord) {
        match self.records.get_mut(&key) {
            Some(known) => known.merge(record),
            None => {
                self.records.insert(key, record);
            }
        }
    }

    /// Returns whether the row of a domain is known to exist in an epoch.
    fn has_row(&self, key: &RecordKey) -> bool {
        let record = self.records.get(key);
        record.is_some_and(|record| record.evacuated)
    }

    fn records_of(
        &mut self,
        epoch: Epoch,
    ) -> impl Iterator<Item = (&RecordKey, &mut EvacuationRecord)> {
        let records = self.records.iter_mut();
        records.filter(move |((_, known), _)| *known == epoch)
    }

    /// Returns which rows ask for the evacuations that hold.
    fn in_force(&self) -> BTreeMap<&DomainId, HeldEvacuation> {
        let mut held: BTreeMap<&DomainId, HeldEvacuation> = BTreeMap::new();
        let mut removed: BTreeMap<&DomainId, &EvacuationRecord> = BTreeMap::new();
        // In the order of epochs, for each domain.
        for ((domain, epoch), record) in &self.records {
            if !record.evacuated {
                held.remove(domain);
                removed.insert(domain, record);
                continue;
            }
            let removed = removed.get(domain).filter(|_| !held.contains_key(domain));
            if removed.is_some_and(|removed| record.is_copy_of(removed)) {
                continue;
            }
            // An evacuation that already holds goes on under a row that is written anew.
            let age = held
                .get(domain)
                .map_or(record.age, |one| one.age.max(record.age));
            let position = record.position(*epoch);
            held.insert(domain, HeldEvacuation { position, age });
        }
        held
    }

    fn last_row(&self, domain: &DomainId) -> Revision {
        let records = self.records.iter().rev();
        let mut rows = records.filter(|((known, _), _)| known == domain);
        rows.next().map_or(0, |(_, record)| record.row)
    }

    fn last_position(&self, domain: &DomainId) -> StorePosition {
        let records = self.records.iter().rev();
        let mut positions = records.filter(|((known, _), _)| known == domain);
        let last = positions.next();
        last.map_or(self.as_of, |((_, epoch), record)| record.position(*epoch))
    }

    fn advance(&mut self, elapsed: Duration) {
        for record in self.records.values_mut() {
            record.age = record.age.saturating_add(elapsed);
        }
    }

    /// Drops the records that exceed the limits: the earliest ones of domains that were taken back, and
    /// the latest ones of evacuated domains.
    fn drop_excess(&mut self) {
        let evacuated = |record: &EvacuationRecord| record.evacuated;
        let excess = self.positions(evacuated).into_iter().skip(MAX_EVACUATED);
        let taken_back = self.positions(|record| !evacuated(record));
        let surplus = taken_back.len().saturating_sub(MAX_TAKEN_BACK);
        let dropped: BTreeSet<_> = excess.chain(taken_back.into_iter().take(surplus)).collect();
        for (position, domain) in dropped {
            // Without its last record, earlier ones of the domain must not hold again.
            self.records
                .retain(|(known, epoch), _| *known != domain || *epoch > position.epoch);
        }
    }

    /// Returns the positions of some records in order, with their domains.
    fn positions(
        &self,
        is_meant: impl Fn(&EvacuationRecord) -> bool,
    ) -> Vec<(StorePosition, DomainId)> {
        let records = self.records.iter().filter(|(_, record)| is_meant(record));
        let mut positions: Vec<(StorePosition, DomainId)> = records
            .map(|((domain, epoch), record)| (record.position(*epoch), domain.clone()))
            .collect();
        positions.sort();
        positions
    }
}

impl EvacuationRecord {
    /// Creates the record of a row that was found in a list.
    fn listed(revision: Revision) -> Self {
        Self {
            evacuated: true,
            revision,
            row: revision,
            witnessed: false,
            age: EFFECT_DELAY,
        }
    }

    /// Creates the record of a row that was seen to be written.
    fn written(revision: Revision) -> Self {
        Self {
            witnessed: true,
            age: Duration::ZERO,
            ..Self::listed(revision)
        }
    }

    fn removed(revision: Revision, row: Revision) -> Self {
        Self {
            evacuated: false,
            revision,
            row,
            witnessed: true,
            age: Duration::ZERO,
        }
    }

    fn position(&self, epoch: Epoch) -> StorePosition {
        StorePosition {
            epoch,
            revision: self.revision,
        }
    }

    /// Keeps the newer of two records of the same domain and epoch.
    fn merge(&mut self, other: Self) {
        let row = self.row.max(other.row);
        // A row that is written anew doesn't begin another evacuation.
        let goes_on = self.evacuated && other.evacuated;
        let age = self.age.max(other.age);
        if other.revision > self.revision {
            *self = other;
        } else if other.revision == self.revision {
            self.witnessed |= other.witnessed;
        }
        self.row = row;
        if goes_on {
            self.age = age;
        }
    }

    /// Takes the domain back if all rows at a position are known, and the row is not among them.
    fn remove_if_covered(&mut self, epoch: Epoch, covered: StorePosition) {
        if self.evacuated && covered.epoch == epoch && self.revision <= covered.revision {
            *self = Self::removed(covered.revision, self.row);
        }
    }

    /// Returns whether this is the row that was removed in an earlier epoch, brought back by a copy.
    fn is_copy_of(&self, earlier: &Self) -> bool {
        let is_present = self.evacuated && !self.witnessed;
        is_present && !earlier.evacuated && self.row == earlier.row
    }
}
