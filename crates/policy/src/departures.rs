//! Which lives of the backend servers at one VM have left, and what of that the store holds.
//!
//! A departure may be acknowledged only once the store holds it, because a process may end at any time.
//! The row of a VM has one writer at a time, but a write of an earlier process may still take effect
//! late. So each write expects the revision that was read, and one whose outcome is unknown is followed
//! by a read.

use std::collections::VecDeque;

use filbertwheel_core::{Epoch, InstanceId, Revision, message, value};

/// Maximum number of departures that are kept. One backend server runs on a VM at a time.
const MAX_DEPARTURES: usize = 16;

/// Lives of one instance that have left: those that began until a moment. The same id may come back
/// as a later life.
#[message]
#[derive(Eq)]
pub struct Departure {
    /// The instance.
    pub instance: InstanceId,
    /// Latest start of the lives that are meant, in milliseconds since the Unix epoch.
    pub until_ms: u64,
}

/// What the row in the store says, and where it was read.
#[message]
#[derive(Default)]
pub struct DepartureRow {
    /// Departures in the row, oldest first.
    pub departures: Vec<Departure>,
    /// Revision of the row; 0 if there is none.
    pub revision: Revision,
    /// Epoch of the store.
    pub epoch: Epoch,
}

/// A write of the row that is due.
#[value]
pub struct DepartureWrite {
    /// All departures, oldest first.
    pub departures: Vec<Departure>,
    /// Revision that the row must have; 0 if it must not exist.
    pub expected: Revision,
}

/// Departures at one VM.
#[derive(Debug, Default)]
pub struct DepartureLog {
    /// Oldest first.
    entries: VecDeque<Entry>,
    /// Revision of the row as it was last read or written; `None` if the row has to be read.
    revision: Option<Revision>,
    /// Epoch of the store, as far as it is known.
    epoch: Epoch,
    /// Whether the row was read since the start of the process.
    recovered: bool,
}

#[derive(Debug)]
struct Entry {
    departure: Departure,
    /// Whether the store holds it.
    stored: bool,
}

impl Departure {
    /// Returns whether it covers all lives of another departure.
    fn includes(&self, other: &Self) -> bool {
        self.instance == other.instance && other.until_ms <= self.until_ms
    }
}

impl DepartureLog {
    /// Returns whether the row was read since the start of the process, so that what earlier
    /// processes have acknowledged is known.
    pub fn is_recovered(&self) -> bool {
        self.recovered
    }

    /// Returns whether the row has to be read.
    pub fn needs_read(&self) -> bool {
        self.revision.is_none()
    }

    /// Returns whether the store holds a departure.
    pub fn is_stored(&self, departure: &Departure) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|entry| entry.stored && entry.departure.includes(departure))
    }

    /// Returns whether a life of an instance has left, by its start in milliseconds since the Unix
    /// epoch.
    pub fn has_left(&self, instance: &InstanceId, started_ms: u64) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|entry| {
            entry.departure.instance == *instance && started_ms <= entry.departure.until_ms
        })
    }

    /// Returns the write that is due, if the row was read and lacks a departure.
    pub fn due_write(&self) -> Option<DepartureWrite> {
        let expected = self.revision?;
        let is_due = self.entries.iter().any(|entry| !entry.stored);
        is_due.then(|| DepartureWrite {
            departures: self
                .entries
                .iter()
                .map(|entry| entry.departure.clone())
                .collect(),
            expected,
        })
    }

    /// Records a departure.
    pub fn record(&mut self, departure: Departure) {
        self.insert(departure, false);
    }

    /// Applies the row as it was read. A reading of before a restore is ignored.
    pub fn apply_row(&mut self, row: DepartureRow) {
        if row.epoch < self.epoch {
            return;
        }
        // The oldest are forgotten first, so those of the row come before those of this process.
        let own = std::mem::take(&mut self.entries);
        for departure in row.departures {
            self.insert(departure, true);
        }
        for entry in own {
            self.insert(entry.departure, false);
        }
        self.revision = Some(row.revision);
        self.epoch = row.epoch;
        self.recovered = true;
    }

    /// Records that a write took effect, at a revision and in an epoch of the store.
    pub fn finish_write(&mut self, write: &DepartureWrite, revision: Revision, epoch: Epoch) {
        if epoch != self.epoch {
            // The store was restored after the read, so another row may have been replaced.
            self.observe_epoch(epoch);
            return;
        }
        self.revision = Some(revision);
        for entry in &mut self.entries {
            entry.stored |= write.departures.contains(&entry.departure);
        }
    }

    /// Records that a write has failed or that its outcome is unknown: the row is read again.
    pub fn fail_write(&mut self) {
        self.revision = None;
    }

    /// Records the epoch of the store. After a restore, the row may lack what the store has held.
    pub fn observe_epoch(&mut self, epoch: Epoch) {
        if self.epoch < epoch {
            self.epoch = epoch;
            self.revision = None;
            self.entries
                .iter_mut()
                .for_each(|entry| entry.stored = false);
        }
    }

    /// Adds a departure as the newest one, unless a known one covers it.
    fn insert(&mut self, departure: Departure, stored: bool) {
        let mut entries = self.entries.iter();
        if entries.any(|entry| entry.departure.includes(&departure)) {
            return;
        }
        self.entries
            .retain(|entry| !departure.includes(&entry.departure));
        if self.entries.len() == MAX_DEPARTURES {
            self.entries.pop_front();
        }
        self.entries.push_back(Entry { departure, stored });
    }
}
