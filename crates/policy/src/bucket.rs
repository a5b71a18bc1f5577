//! Token bucket of a rate limit.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use filbertwheel_core::{Rate, invariant, value};

/// Rounding error allowed in a level, in tokens.
const LEVEL_TOLERANCE: f64 = 1e-6;

/// Token bucket that fills at the rate of a limit up to its burst.
///
/// Tokens in transit to another node, and taken tokens that may still be refunded, occupy room in
/// the bucket, so that together with newly added tokens they never exceed the burst.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    level: f64,
    updated_at: Instant,
    /// When each token in transit to another node stops occupying room.
    in_transit: VecDeque<Instant>,
    /// Tokens taken since the last overflow, which can still be refunded.
    refundable: f64,
    /// Number of overflows. Receipts from before the last one are void.
    overflows: u64,
}

/// Receipt for a taken token, needed to refund it.
#[value]
#[derive(Copy)]
pub struct TokenReceipt {
    pub(crate) bucket: u64,
    overflows: u64,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub fn empty(now: Instant) -> Self {
        Self {
            level: 0.0,
            updated_at: now,
            in_transit: VecDeque::new(),
            refundable: 0.0,
            overflows: 0,
        }
    }

    /// Returns the number of tokens in the bucket.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Removes all tokens. Taken tokens can no longer be refunded.
    pub fn drain(&mut self, now: Instant) {
        self.level = 0.0;
        self.updated_at = self.updated_at.max(now);
        self.record_overflow();
    }

    /// Adds the tokens accrued since the last call and drops those above the burst.
    pub fn refill(&mut self, limit: Rate, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        while self
            .in_transit
            .front()
            .is_some_and(|until| *until <= self.updated_at)
        {
            self.in_transit.pop_front();
        }
        let room = (limit.burst - self.in_transit.len() as f64).max(0.0);
        self.level = (self.level + elapsed * limit.rate).min(room);
        if self.level + self.refundable > room {
            self.record_overflow();
        }
        invariant!(
            "bucket-within-burst",
            self.level + self.refundable <= room + LEVEL_TOLERANCE,
            "{} tokens in a bucket of {room}",
            self.level + self.refundable
        );
    }

    /// Takes one token, or returns the time until one is available.
    pub fn take(&mut self, limit: Rate, now: Instant) -> Result<TokenReceipt, Duration> {
        self.withdraw(limit, now)?;
        self.refundable += 1.0;
        Ok(TokenReceipt {
            bucket: 0,
            overflows: self.overflows,
        })
    }

    /// Takes one token for another node, which spends it before `until`.
    pub fn send(&mut self, limit: Rate, now: Instant, until: Instant) -> Result<(), Duration> {
        self.withdraw(limit, now)?;
        self.in_transit.push_back(until);
        Ok(())
    }

    /// Returns an unused token to the bucket. It is lost if the bucket has overflowed since.
    pub fn refund(&mut self, receipt: TokenReceipt) {
        if receipt.overflows == self.overflows && self.refundable >= 1.0 {
            self.refundable -= 1.0;
            self.level += 1.0;
        }
    }

    fn withdraw(&mut self, limit: Rate, now: Instant) -> Result<(), Duration> {
        self.refill(limit, now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        Err(wait_from_secs((1.0 - self.level) / limit.rate))
    }

    fn record_overflow(&mut self) {
        self.refundable = 0.0;
        self.overflows += 1;
    }
}

/// Maximum wait that is reported.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

fn wait_from_secs(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds)
        .unwrap_or(MAX_WAIT)
        .min(MAX_WAIT)
}
