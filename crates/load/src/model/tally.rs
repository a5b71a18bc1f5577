//! What's counted in a run.

use std::collections::BTreeMap;
use std::time::Duration;

use filbertwheel_core::{Criticality, copy_value};

use super::profile::ORGANISATION_PARTS;

/// Length of one bin of the plots.
pub const BIN: Duration = Duration::from_millis(250);

/// Why an attempt of a caller failed.
#[copy_value]
#[derive(serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FailureKind {
    /// A gate shed it.
    Overloaded,
    /// It was refused before work was done, because of a cut-off.
    CutOff,
    /// Its organisation was over its rate.
    OverRate,
    /// The caller's patience ran out.
    TimedOut,
    /// A backend server was lost or not reached.
    Lost,
}

/// Requests by the time at which they were meant to be sent.
#[derive(Debug, Default, Clone)]
pub struct Bin {
    /// Requests meant to be sent.
    pub offered: u64,
    /// Those of them that were answered whole in the end.
    pub succeeded: u64,
    /// Requests answered whole in this bin, whenever they were sent.
    pub completed: u64,
    /// Attempts of callers.
    pub attempts: u64,
    /// Latency in seconds of the answers that came in this bin.
    pub latencies: Vec<f64>,
    /// Misses by kind.
    pub misses: BTreeMap<FailureKind, u64>,
    /// Requests meant to be sent and answered, by organisation.
    pub organisations: [(u64, u64); ORGANISATION_PARTS.len()],
}

/// The counts of a run.
#[derive(Debug, Default)]
pub struct Tally {
    /// Counts by time.
    pub bins: Vec<Bin>,
    /// Seconds of work for calls that ended whole.
    pub useful_seconds: f64,
    /// Seconds of work for calls that failed.
    pub wasted_seconds: f64,
    /// Most sends at all hops beyond the chain's length, for one attempt of a caller.
    pub most_retries: u32,
    /// Sends at all hops.
    pub sends: u64,
    /// Requests and answers by criticality while the cause was at work.
    pub classes: BTreeMap<Criticality, (u64, u64)>,
}

impl Tally {
    /// The bin of a time.
    pub fn bin(&mut self, at: Duration) -> &mut Bin {
        let index = (at.as_nanos() / BIN.as_nanos()) as usize;
        if self.bins.len() <= index {
            self.bins.resize_with(index + 1, Bin::default);
        }
        &mut self.bins[index]
    }
}
