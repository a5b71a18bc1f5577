//! When a node that has just started knows the departures of before, if it can't read them itself.
//!
//! That another node has run for longer says nothing of what it remembers. Either a node has read the row
//! in the store since it was asked, or it was linked to the process before until that one ended, which had
//! told it of its departures before it acknowledged them.

use std::time::{Duration, Instant};

use filbertwheel_core::{Incarnation, message};

use crate::{Departure, DepartureRow};

/// Time after the start of a node in which backend servers that had left before it have exited.
const EXIT_TIME: Duration = Duration::from_secs(30);
/// Longest time from the end of a process to the start of the next one between which no other has run.
const MAX_DOWN_TIME: Duration = Duration::from_secs(3);

/// What a node knows of the departures at another VM.
#[message]
pub enum KnownDepartures {
    /// The row of the VM, read from the store after the question.
    Stored(DepartureRow),
    /// All that the process before the asking one had told of departures, up to its end.
    Told {
        /// Departures that it had told.
        departures: Vec<Departure>,
        /// Time since its end.
        ended: Duration,
    },
    /// Some departures, and maybe not all.
    Partial(Vec<Departure>),
}

/// Decides when the departures of before the start of a node are known.
#[derive(Debug)]
pub struct DepartureRecovery {
    started: Instant,
}

impl DepartureRecovery {
    /// Creates the state of a node that starts.
    pub fn open(now: Instant) -> Self {
        Self { started: now }
    }

    /// Returns whether an answer of another node holds all departures that may matter.
    pub fn is_complete(&self, known: &KnownDepartures, now: Instant) -> bool {
        match known {
            KnownDepartures::Stored(_) => true,
            KnownDepartures::Told { ended, .. } => {
                let running = now.saturating_duration_since(self.started);
                *ended <= running + MAX_DOWN_TIME
            }
            KnownDepartures::Partial(_) => false,
        }
    }

    /// Returns whether the node has run for so long that no departure of before matters any more.
    pub fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) >= EXIT_TIME
    }
}

/// What a node remembers of the processes that have run at another VM.
#[derive(Debug, Default)]
pub struct ProcessMemory {
    present: Option<Process>,
    /// The one before.
    previous: Option<Process>,
}

#[derive(Debug, Clone, Copy)]
struct Process {
    incarnation: Incarnation,
    /// Whether its backend server was in use, so that it knew the departures of before.
    served: bool,
    /// When it ended, if what it had sent has arrived.
    ended: Option<Instant>,
}

impl ProcessMemory {
    /// Records a new link with a process, and whether its backend server is in use. What it has told on
    /// earlier links may lack what has happened between them.
    pub fn record_link(&mut self, incarnation: Incarnation, serving: bool) {
        let linked = Process {
            incarnation,
            served: serving,
            ended: None,
        };
        match self.present {
            Some(present) if present.incarnation > incarnation => {}
            Some(present) if present.incarnation == incarnation => self.present = Some(linked),
            _ => self.previous = self.present.replace(linked),
        }
    }

    /// Records a report of a process that this node is linked to, and whether its backend server is in
    /// use. If it is leaving, the report says so.
    pub fn record_report(&mut self, incarnation: Incarnation, serving: bool) {
        if let Some(present) = &mut self.present
            && present.incarnation == incarnation
        {
            present.served |= serving;
        }
    }

    /// Records that a process has ended or closed its link, and that what it had sent has arrived.
    pub fn record_end(&mut self, incarnation: Incarnation, now: Instant) {
        let processes = [&mut self.present, &mut self.previous];
        for process in processes.into_iter().flatten() {
            if process.incarnation == incarnation {
                process.ended = Some(now);
            }
        }
    }

    /// Returns how long ago the process before an asking one has ended, if that one knew and told of all
    /// departures.
    pub fn since_end(&self, asking: Incarnation, now: Instant) -> Option<Duration> {
        let present = self.present?;
        let before = match present.incarnation {
            incarnation if incarnation == asking => self.previous?,
            incarnation if incarnation < asking => present,
            _ => return None,
        };
        let ended = before.ended.filter(|_| before.served)?;
        Some(now.saturating_duration_since(ended))
    }
}
