//! What backend servers state about themselves in their responses.

use std::time::Duration;

use filbertwheel_macros::message;

use crate::InstanceId;

/// Requests per second.
pub type RequestRate = f64;

/// What one instance of a backend server last stated about itself, as nodes exchange it.
#[message]
pub struct InstanceNotice {
    /// The instance.
    pub instance: InstanceId,
    /// Wall-clock time of its start in milliseconds since the Unix epoch; 0 if not reported.
    pub started_ms: u64,
    /// Maximum number of requests per second that it accepts from all nodes together; `None` if it
    /// states none.
    pub limit: Option<RequestRate>,
    /// Whether it is leaving and takes no new requests.
    pub leaving: bool,
    /// How much longer it was cold when it stated this; zero if it was warm.
    pub warmup_left: Duration,
    /// Sequence number of its last status report.
    pub sequence: u64,
    /// Time since it stated this.
    pub age: Duration,
}
