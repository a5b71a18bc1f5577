//! Which requests a node that is stopping still takes, and by when they have ended.

use std::time::{Duration, Instant};

use filbertwheel_core::{VERDICT_TIME, copy_value};

/// Time before the connections close in which requests that still run are answered.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(60);

/// Times of the stop of a node.
#[copy_value]
pub struct StopWindow {
    /// Until then callers may not have noticed that the node is stopping.
    pub noticed: Instant,
    /// When the node closes its connections.
    pub closes: Instant,
}

impl StopWindow {
    /// Creates the window of a stop whose times are that far ahead. Returns `None` if they are not
    /// representable as an `Instant` on this VM.
    pub fn ahead(now: Instant, noticed: Duration, closes: Duration) -> Option<Self> {
        Some(Self {
            noticed: now.checked_add(noticed)?,
            closes: now.checked_add(closes)?,
        })
    }

    /// Returns the window of a request that passes through this stopping node and another one.
    pub fn stricter(self, other: Self) -> Self {
        Self {
            noticed: self.noticed.min(other.noticed),
            closes: self.closes.min(other.closes),
        }
    }

    /// Returns whether a request is taken that arrives at `now`, has to be answered by `deadline`, and
    /// whose route has taken at most the time `longest` of late, if that is known. What may not end
    /// before the connections close is refused, so that it can run elsewhere. As long as callers
    /// may not have noticed the stop, what is unknown is taken: its end is bounded by
    /// [`bounded`](Self::bounded). Later, half as long again as the longest time has to fit in.
    pub fn takes(&self, longest: Option<Duration>, deadline: Instant, now: Instant) -> bool {
        if deadline <= self.last_end() {
            return true;
        }
        let left = self.last_end().saturating_duration_since(now);
        if now < self.noticed {
            return longest.is_none_or(|longest| longest <= left);
        }
        longest.is_some_and(|longest| longest + longest / 2 <= left)
    }

    /// Returns the deadline of a request that is taken: what still runs then is ended by its backend
    /// server, whose answer reaches the caller before the connections close.
    pub fn bounded(&self, deadline: Instant) -> Instant {
        deadline.min(self.last_end())
    }

    /// Returns the time until the connections close.
    pub fn left(&self, now: Instant) -> Duration {
        self.closes.saturating_duration_since(now)
    }

    /// Returns the time until requests that still run are answered as unknown.
    pub fn left_to_run(&self, now: Instant) -> Duration {
        self.left(now).saturating_sub(LAST_ANSWER_TIME)
    }

    /// Returns when a backend server has to end its work at the latest, so that its answer arrives before
    /// the request is answered as unknown, also by way of another node.
    fn last_end(&self) -> Instant {
        let way = VERDICT_TIME + LAST_ANSWER_TIME;
        self.closes.checked_sub(way).unwrap_or(self.closes)
    }
}
