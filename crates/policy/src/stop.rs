//! Which requests a node that is stopping still takes.

use std::time::{Duration, Instant};

use filbertwheel_core::copy_value;

/// Multiple of the mean time of a route within which nearly all of its requests are answered.
const TAIL_FACTOR: u32 = 4;

/// Times of the stop of a node.
#[copy_value]
pub struct StopWindow {
    /// Until then callers may not have noticed that the node is stopping.
    pub noticed: Instant,
    /// When the node closes its connections.
    pub closes: Instant,
}

impl StopWindow {
    /// Returns whether a request is taken that arrives at `now`, has to be answered by `deadline`, and
    /// typically takes the time `typical`, if that is known. Once callers have noticed the stop, only
    /// those are taken that are expected to be answered before the connections close.
    pub fn takes(&self, typical: Option<Duration>, deadline: Instant, now: Instant) -> bool {
        let left = self.closes.saturating_duration_since(now);
        let in_time = typical.is_some_and(|typical| typical * TAIL_FACTOR <= left);
        now < self.noticed || deadline <= self.closes || in_time
    }

    /// Returns the time until the connections close.
    pub fn left(&self, now: Instant) -> Duration {
        self.closes.saturating_duration_since(now)
    }
}
