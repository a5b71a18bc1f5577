//! Token buckets.

use std::time::{Duration, Instant};

use filbertwheel_core::Rate;

/// A bucket that fills at a rate up to a burst.
#[derive(Debug, Clone)]
pub struct Bucket {
    level: f64,
    at: Instant,
}

impl Bucket {
    /// An empty bucket.
    pub fn empty(now: Instant) -> Self {
        Self {
            level: 0.0,
            at: now,
        }
    }

    /// A bucket filled to its burst.
    pub fn full(limit: Rate, now: Instant) -> Self {
        Self {
            level: limit.burst,
            at: now,
        }
    }

    /// Tokens in the bucket.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Adds what has come in since the last call and drops what's over the burst.
    pub fn refill(&mut self, limit: Rate, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.level = (self.level + elapsed * limit.rate).min(limit.burst);
    }

    /// Takes one token, or returns how long it takes until there's one.
    pub fn take(&mut self, limit: Rate, now: Instant) -> Result<(), Duration> {
        self.refill(limit, now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        Err(seconds((1.0 - self.level) / limit.rate))
    }

    /// Gives back a token that wasn't used.
    pub fn put_back(&mut self, limit: Rate) {
        self.level = (self.level + 1.0).min(limit.burst);
    }
}

/// Longest wait that's ever reported.
const LONGEST_WAIT: Duration = Duration::from_secs(3_600);

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds)
        .unwrap_or(LONGEST_WAIT)
        .min(LONGEST_WAIT)
}
