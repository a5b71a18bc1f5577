//! Whether a backend server is cold.
//!
//! A cold backend server takes few requests per second until it has warmed up. It states how long
//! that lasts, in status reports and in some responses. It may become cold again at any moment, and
//! it may restart between two reports without a word.

use std::time::{Duration, Instant};

/// Requests lost one after the other, without a response between them, from which the backend server
/// may have restarted. A single one is often the loss of its response.
const RESTART_LOSSES: u32 = 2;

/// Longest time for which a backend server counts as cold by one statement.
const MAX_WARMUP: Duration = Duration::from_secs(600);

/// Sequence number of a status report, which increases within a life of a backend server.
pub type ReportSequence = u64;

/// What is known of the warm-up of one life of a backend server.
#[derive(Debug, Clone, Default)]
pub struct Coldness {
    /// Until when it is cold, by its last statement.
    until: Option<Instant>,
    /// When that statement arrived.
    stated_at: Option<Instant>,
    /// Sequence number of the last report that was applied.
    sequence: ReportSequence,
    /// Whether it may have restarted since its last report.
    suspected: bool,
    /// Requests lost since its last response or report.
    losses: u32,
}

impl Coldness {
    /// Applies a status report, which says how much longer the backend server stays cold. Ignores one
    /// that is older than what is known.
    pub fn report(&mut self, left: Duration, sequence: ReportSequence, now: Instant) {
        if sequence < self.sequence {
            return;
        }
        self.sequence = sequence;
        self.suspected = false;
        self.losses = 0;
        self.state(left, now);
    }

    /// Records a response to a request sent at `sent`, and what it says of the warm-up. A response to
    /// a request sent before the last statement arrived may be older than that, so it says nothing.
    pub fn respond(&mut self, left: Option<Duration>, sent: Instant, now: Instant) {
        self.losses = 0;
        let Some(left) = left else { return };
        if self.stated_at.is_none_or(|at| sent >= at) {
            self.state(left, now);
        }
    }

    /// Applies what another node knew: the last report that had arrived there, and until when the
    /// backend server is cold.
    pub fn learn(&mut self, sequence: ReportSequence, until: Option<Instant>, heard: Instant) {
        if sequence > self.sequence {
            self.sequence = sequence;
            self.until = until.map(|until| until.min(heard + MAX_WARMUP));
            self.stated_at = Some(heard);
        }
    }

    /// Records that a request was lost on its connection.
    pub fn lose(&mut self) {
        self.losses += 1;
        self.suspected |= self.losses >= RESTART_LOSSES;
    }

    /// Records that the backend server may have restarted. Until its next report it counts as cold.
    pub fn suspect(&mut self) {
        self.suspected = true;
    }

    /// Returns whether the backend server may have restarted since its last report.
    pub fn is_suspected(&self) -> bool {
        self.suspected
    }

    /// Returns whether the backend server is cold, or may be.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.suspected || self.until.is_some_and(|until| now < until)
    }

    /// Returns how much longer the backend server stays cold; `unknown` if it may have restarted.
    pub fn left(&self, unknown: Duration, now: Instant) -> Duration {
        let stated = self.until.unwrap_or(now).saturating_duration_since(now);
        if self.suspected {
            stated.max(unknown)
        } else {
            stated
        }
    }

    /// Returns until when the backend server is cold, by its last statement.
    pub fn until(&self) -> Option<Instant> {
        self.until
    }

    /// Returns the sequence number of the last report that was applied.
    pub fn sequence(&self) -> ReportSequence {
        self.sequence
    }

    fn state(&mut self, left: Duration, now: Instant) {
        let left = left.min(MAX_WARMUP);
        self.until = (!left.is_zero()).then(|| now + left);
        self.stated_at = Some(now);
    }
}
