//! Names of the headers that filbertwheel reads and writes.

/// A caller's key.
pub const KEY: &str = "filbertwheel-key";
/// The organisation that a call runs for, told to backend servers.
pub const ORGANISATION: &str = "filbertwheel-organisation";
/// A caller's id for its request; a repeat carries the same one.
pub const REQUEST: &str = "filbertwheel-request";
/// When a caller first tried its request, in milliseconds since 1970; the same on a repeat.
pub const TRIED: &str = "filbertwheel-tried-ms";
/// Milliseconds until the answer is no longer wanted.
pub const DEADLINE: &str = "filbertwheel-deadline-ms";
/// How much the request matters; a caller can only lower it.
pub const CRITICALITY: &str = "filbertwheel-criticality";
/// Stands for a running call at the node beside its backend server.
pub const TOKEN: &str = "filbertwheel-token";
/// Proof that a message comes from a node of the fleet.
pub const PROOF: &str = "filbertwheel-proof";
/// What became of the request: `whole`, `not-run` or `unknown`.
pub const OUTCOME: &str = "filbertwheel-outcome";
/// The kind of refusal or doubt.
pub const REASON: &str = "filbertwheel-reason";
/// A backend server's own report of its load, from 0 to 1.
pub const LOAD: &str = "filbertwheel-load";
/// Start of all these names.
pub const PREFIX: &str = "filbertwheel-";
/// Seconds after which a repeat may succeed.
pub const RETRY_AFTER: &str = "retry-after";
