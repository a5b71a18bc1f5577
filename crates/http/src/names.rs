//! Names of the headers that filbertwheel reads and writes.

/// API key of a caller.
pub const KEY: &str = "filbertwheel-key";
/// Organisation on whose behalf a request runs, sent to backend servers.
pub const ORGANISATION: &str = "filbertwheel-organisation";
/// Request id chosen by the caller; a retry has the same id.
pub const REQUEST: &str = "filbertwheel-request";
/// Time of the caller's first attempt, in milliseconds since the Unix epoch; a retry has the same
/// value.
pub const FIRST_ATTEMPT: &str = "filbertwheel-tried-ms";
/// Milliseconds until the deadline of the response.
pub const DEADLINE: &str = "filbertwheel-deadline-ms";
/// Criticality of the request; a caller can only lower it.
pub const CRITICALITY: &str = "filbertwheel-criticality";
/// Identifies a running call to the node of its backend server.
pub const TOKEN: &str = "filbertwheel-token";
/// Signature of a message from a node of the fleet.
pub const PROOF: &str = "filbertwheel-proof";
/// Outcome of the request: `whole`, `not-run` or `unknown`.
pub const OUTCOME: &str = "filbertwheel-outcome";
/// Kind of refusal, or reason for an unknown outcome.
pub const REASON: &str = "filbertwheel-reason";
/// Load reported by a backend server, from 0 to 1.
pub const LOAD: &str = "filbertwheel-load";
/// Common prefix of filbertwheel's own header names.
pub const PREFIX: &str = "filbertwheel-";
/// Seconds after which a retry may succeed.
pub const RETRY_AFTER: &str = "retry-after";
