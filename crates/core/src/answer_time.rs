//! How long after its deadline a request may still be answered.
//!
//! A backend server ends its work at the deadline that it is handed, and its answer needs its way. So each
//! hop waits for longer than the one behind it.

use std::time::{Duration, Instant};

/// Time after a deadline in which the answer of the backend server may arrive at the node beside it.
pub const ANSWER_TIME: Duration = Duration::from_millis(100);
/// Time after a deadline in which the verdict of another node may arrive, which waits for the answer of
/// its backend server.
pub const VERDICT_TIME: Duration = Duration::from_millis(150);

/// Returns until when the node beside a backend server waits for its answer.
pub fn answer_deadline(deadline: Instant) -> Instant {
    deadline.checked_add(ANSWER_TIME).unwrap_or(deadline)
}

/// Returns until when a node waits for the verdict of another one.
pub fn verdict_deadline(deadline: Instant) -> Instant {
    deadline.checked_add(VERDICT_TIME).unwrap_or(deadline)
}
