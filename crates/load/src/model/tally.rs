//! Counts of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use filbertwheel_core::{Criticality, copy_value};

use super::profile::ORGANISATION_PARTS;

/// Time span of one bin.
pub const BIN: Duration = Duration::from_millis(250);

/// Why an attempt of a caller failed.
#[copy_value]
#[derive(serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FailureKind {
    /// A gate refused it because of overload.
    Overloaded,
    /// The sender refused it because of a cut-off, before any work.
    CutOff,
    /// Its organisation exceeded its rate limit.
    OverRate,
    /// The caller's timeout expired.
    TimedOut,
    /// A backend server failed or was unreachable.
    Lost,
}

/// Counts of one time span.
#[derive(Debug, Default, Clone)]
pub struct Bin {
    /// Requests scheduled to be sent in this bin.
    pub offered: u64,
    /// Number of `offered` requests that eventually got a complete response.
    pub succeeded: u64,
    /// Complete responses received in this bin, for requests of any bin.
    pub completed: u64,
    /// Attempts by callers.
    pub attempts: u64,
    /// Latencies in seconds of the responses received in this bin.
    pub latencies: Vec<f64>,
    /// Failed attempts by kind.
    pub misses: BTreeMap<FailureKind, u64>,
    /// `offered` and `succeeded`, by organisation.
    pub organisations: [(u64, u64); ORGANISATION_PARTS.len()],
}

/// The counts of a run.
#[derive(Debug, Default)]
pub struct Tally {
    /// Counts by time.
    pub bins: Vec<Bin>,
    /// Seconds of work for attempts that succeeded.
    pub useful_seconds: f64,
    /// Seconds of work for attempts that failed.
    pub wasted_seconds: f64,
    /// Maximum number of retries inside the fleet for one attempt by a caller.
    pub most_retries: u32,
    /// Number of calls sent, over all hops.
    pub sends: u64,
    /// Requests and complete responses by criticality, for requests sent during the disturbance.
    pub classes: BTreeMap<Criticality, (u64, u64)>,
}

impl Tally {
    /// Returns the bin that contains `at`.
    pub fn bin(&mut self, at: Duration) -> &mut Bin {
        let index = (at.as_nanos() / BIN.as_nanos()) as usize;
        if self.bins.len() <= index {
            self.bins.resize_with(index + 1, Bin::default);
        }
        &mut self.bins[index]
    }
}
