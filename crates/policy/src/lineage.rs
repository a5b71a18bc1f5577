//! Which rules are newer, where the store that operators write them to may be restored from an older
//! copy.
//!
//! Rules with a higher version are newer, and a restore doesn't change that: an older document that
//! comes back with the copy, or that operators write again on their way to the latest one, doesn't
//! replace newer rules. Only a document that can't be one of those from before the restore shows that
//! operators have gone on from the copy, under versions that were in use before. It begins a new
//! lineage of the rules, which precedes all earlier ones. Lineages are numbered by the epochs of the
//! store in which they begin, so all nodes agree on their order.

use std::collections::VecDeque;
use std::ops::RangeInclusive;

use filbertwheel_core::{Epoch, RulesStamp, StorePosition, Version, copy_value};

/// Maximum number of earlier documents that a node remembers.
const MAX_EARLIER: usize = 64;

/// A document as it was read from the store.
#[copy_value]
pub struct RulesReading {
    /// Version that the document states.
    pub version: Version,
    /// Hash of the document.
    pub digest: u64,
    /// Epoch in which the document was read, and the revision of its row.
    pub position: StorePosition,
}

/// How a document was read from the store.
#[copy_value]
pub enum ReadMode {
    /// In a list, so earlier changes may have been missed.
    Listed,
    /// In a watch that has reported every change since the previous document.
    Followed,
}

/// What to do with a document.
#[copy_value]
pub enum RulesVerdict {
    /// It is not newer than the rules in force.
    Ignore,
    /// The rules in force stay, under this stamp.
    Keep(RulesStamp),
    /// It replaces the rules in force, under this stamp.
    Replace(RulesStamp),
}

/// Follows the rules in force at one node.
#[derive(Debug, Default)]
pub struct RulesLineage {
    current: Option<Stamped>,
    /// Other documents that this node has seen, the latest one last.
    earlier: VecDeque<Stamped>,
    followed: FollowedVersions,
}

/// Versions of which this node knows all documents of the present lineage.
#[derive(Debug, Default)]
struct FollowedVersions {
    range: Option<RangeInclusive<Version>>,
    /// Whether documents may have been missed since the last one in the range.
    interrupted: bool,
}

/// A document with its place among all rules.
#[copy_value]
struct Stamped {
    stamp: RulesStamp,
    reading: RulesReading,
}

impl RulesLineage {
    /// Returns the stamp of the rules in force, and where and as what any node has read them last.
    pub fn current(&self) -> Option<(RulesStamp, RulesReading)> {
        self.current.map(|current| (current.stamp, current.reading))
    }

    /// Judges a document that this node has read from the store.
    pub fn observe(&mut self, reading: RulesReading, mode: ReadMode) -> RulesVerdict {
        let verdict = self.judge(reading, mode);
        if mode == ReadMode::Listed {
            self.followed.interrupted = true;
        }
        verdict
    }

    fn judge(&mut self, reading: RulesReading, mode: ReadMode) -> RulesVerdict {
        let Some(current) = self.current else {
            return self.replace(0, reading, mode);
        };
        if reading.position.epoch < current.stamp.lineage {
            return RulesVerdict::Ignore;
        }
        if reading.is_same(&current.reading) {
            self.advance(reading.position);
            return RulesVerdict::Ignore;
        }
        let mut earlier = self.earlier.iter();
        if earlier.any(|one| one.reading.is_same(&reading)) {
            return RulesVerdict::Ignore;
        }
        if reading.version > current.reading.version {
            return self.replace(current.stamp.lineage, reading, mode);
        }
        let restored = reading.position.epoch > current.reading.position.epoch;
        if !restored || self.may_be_older(current.stamp, &reading) {
            let version = reading.version;
            let stamp = RulesStamp {
                version,
                ..current.stamp
            };
            self.remember(Stamped { stamp, reading });
            return RulesVerdict::Ignore;
        }
        self.replace(reading.position.epoch, reading, mode)
    }

    /// Judges the rules in force at another node.
    pub fn receive(&mut self, stamp: RulesStamp, reading: RulesReading) -> RulesVerdict {
        let Some(current) = self.current else {
            return self.adopt(stamp, reading);
        };
        if stamp <= current.stamp {
            return RulesVerdict::Ignore;
        }
        if reading.is_same(&current.reading) {
            self.advance(reading.position);
            return self.restamp(stamp);
        }
        // The document of this node may have been read without a memory of what was before, and then
        // belongs to the other node's lineage.
        if current.follows(stamp, &reading) {
            return self.restamp(RulesStamp {
                version: current.stamp.version,
                ..stamp
            });
        }
        self.adopt(stamp, reading)
    }

    /// Returns whether a document with a version that isn't above the current one may be from before
    /// the restore: none of its lineage is known under that version, and one may have been missed.
    fn may_be_older(&self, current: RulesStamp, reading: &RulesReading) -> bool {
        let stamp = RulesStamp {
            version: reading.version,
            ..current
        };
        if stamp == current || self.earlier.iter().any(|one| one.stamp == stamp) {
            return false;
        }
        !self.followed.contains(reading.version)
    }

    /// Puts a document in force that this node has read from the store.
    fn replace(&mut self, lineage: Epoch, reading: RulesReading, mode: ReadMode) -> RulesVerdict {
        let before = self.current.map(|current| current.stamp.lineage);
        if before != Some(lineage) {
            self.followed = FollowedVersions::default();
        }
        if mode == ReadMode::Followed {
            self.followed.extend(reading.version);
        }
        let version = reading.version;
        self.set_current(RulesStamp { lineage, version }, reading)
    }

    /// Puts a document of another node in force. Documents between it and the one before may be unknown.
    fn adopt(&mut self, stamp: RulesStamp, reading: RulesReading) -> RulesVerdict {
        self.followed.interrupted = true;
        self.set_current(stamp, reading)
    }

    fn set_current(&mut self, stamp: RulesStamp, reading: RulesReading) -> RulesVerdict {
        if let Some(before) = self.current.replace(Stamped { stamp, reading }) {
            self.remember(before);
        }
        RulesVerdict::Replace(stamp)
    }

    fn remember(&mut self, document: Stamped) {
        self.earlier.push_back(document);
        if self.earlier.len() > MAX_EARLIER {
            self.earlier.pop_front();
        }
    }

    fn restamp(&mut self, stamp: RulesStamp) -> RulesVerdict {
        if let Some(current) = &mut self.current {
            current.stamp = stamp;
        }
        self.followed = FollowedVersions::default();
        RulesVerdict::Keep(stamp)
    }

    /// Records that the document in force was read at a position, if that is a later one.
    fn advance(&mut self, position: StorePosition) {
        if let Some(current) = &mut self.current {
            let known = &mut current.reading.position;
            *known = (*known).max(position);
        }
    }
}

impl FollowedVersions {
    fn contains(&self, version: Version) -> bool {
        let range = self.range.as_ref();
        range.is_some_and(|range| range.contains(&version))
    }

    /// Records the version of the next document in a watch.
    fn extend(&mut self, version: Version) {
        let first = match &self.range {
            Some(range) if !self.interrupted => *range.start(),
            _ => version,
        };
        self.range = Some(first..=version);
        self.interrupted = false;
    }
}

impl RulesReading {
    fn is_same(&self, other: &Self) -> bool {
        (self.version, self.digest) == (other.version, other.digest)
    }
}

impl Stamped {
    /// Returns whether the document was written after another one, which began or belongs to the
    /// lineage of `stamp`.
    fn follows(&self, stamp: RulesStamp, other: &RulesReading) -> bool {
        let (own, other) = (self.reading.position, other.position);
        let read_before = own.epoch == other.epoch && own.revision < other.revision;
        own.epoch >= stamp.lineage && self.stamp.version > stamp.version && !read_before
    }
}
