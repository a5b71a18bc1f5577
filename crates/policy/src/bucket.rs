//! Token buckets.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use filbertwheel_core::{Rate, invariant, value};

/// Rounding error that's allowed in a level, in tokens.
const LEVEL_TOLERANCE: f64 = 1e-6;

/// A bucket that fills at a rate up to a burst.
///
/// Tokens that are on their way to another node, and tokens that may still come back, take room
/// in the bucket. So they never add up to more than the burst with what has come in meanwhile.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    level: f64,
    at: Instant,
    /// Until when tokens are on their way.
    in_transit: VecDeque<Instant>,
    /// Tokens taken since the last overflow.
    refundable: f64,
    /// Grows with each overflow.
    overflows: u64,
}

/// Proof of a token that was taken, with which it can be put back.
#[value]
#[derive(Copy)]
pub struct TokenReceipt {
    pub(crate) bucket: u64,
    overflows: u64,
}

impl TokenBucket {
    /// An empty bucket.
    pub fn empty(now: Instant) -> Self {
        Self {
            level: 0.0,
            at: now,
            in_transit: VecDeque::new(),
            refundable: 0.0,
            overflows: 0,
        }
    }

    /// Tokens in the bucket.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Loses all tokens. Those that are taken can't come back.
    pub fn drain(&mut self, now: Instant) {
        self.level = 0.0;
        self.at = self.at.max(now);
        self.record_overflow();
    }

    /// Adds what has come in since the last call and drops what's over the burst.
    pub fn refill(&mut self, limit: Rate, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        while self
            .in_transit
            .front()
            .is_some_and(|until| *until <= self.at)
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

    /// Takes one token, or returns how long it takes until there's one.
    pub fn take(&mut self, limit: Rate, now: Instant) -> Result<TokenReceipt, Duration> {
        self.withdraw(limit, now)?;
        self.refundable += 1.0;
        Ok(TokenReceipt {
            bucket: 0,
            overflows: self.overflows,
        })
    }

    /// Takes one token that's spent elsewhere until `until`.
    pub fn send(&mut self, limit: Rate, now: Instant, until: Instant) -> Result<(), Duration> {
        self.withdraw(limit, now)?;
        self.in_transit.push_back(until);
        Ok(())
    }

    /// Gives back a token that wasn't used. It's lost if the bucket has overflowed meanwhile.
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

/// Longest wait that's ever reported.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

fn wait_from_secs(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds)
        .unwrap_or(MAX_WAIT)
        .min(MAX_WAIT)
}
