//! Paces the calls to a backend server that states how many requests per second it accepts.
//!
//! The generic cell rate algorithm: each call reserves the next send time, and a call whose send
//! time would be too late is turned away. Only the node beside a backend server sends to it, so the
//! limit holds over the whole fleet.

use std::time::{Duration, Instant};

use filbertwheel_core::RequestRate;

/// Unused time that may be caught up on at once.
const BURST_TOLERANCE: Duration = Duration::from_millis(250);
/// Lowest rate that is paced, in requests per second. A backend server that accepts fewer, or none,
/// still gets this many, because only a response shows that the limit has ended.
const MIN_RATE: RequestRate = 0.5;
/// Longest time after its send time at which a call may still be sent without another reservation.
const MAX_LATENESS: Duration = Duration::from_millis(100);
/// Ratio of a new limit to the one before below which calls that wait must reserve again.
const FALL_RATIO: f64 = 0.9;

/// Returns the slots that a backend server can use at a rate (Little's law). One if it isn't known how
/// long its runs take, because all of them would stand for far more calls than it gets.
pub fn usable_slots(slots: u32, rate: RequestRate, run_seconds: Option<f64>) -> u32 {
    let used = run_seconds.map_or(1.0, |seconds| (rate * seconds).ceil());
    (used as u32).clamp(1, slots.max(1))
}

/// Send times of the calls to one backend server.
#[derive(Debug, Clone)]
pub struct Pacer {
    rate: RequestRate,
    /// When the next call would be due if all calls were spaced evenly. It may be sent earlier by
    /// the burst tolerance.
    due: Instant,
    /// Number of times that the limit has fallen.
    falls: u64,
}

/// Reserved send time of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendReservation {
    /// Time until the call may be sent.
    pub wait: Duration,
    /// When it may be sent.
    at: Instant,
    falls: u64,
}

impl Pacer {
    /// Creates the pacer of a limit that has just become known.
    pub fn open(limit: RequestRate, now: Instant) -> Self {
        Self {
            rate: limit.max(MIN_RATE),
            due: now + BURST_TOLERANCE,
            falls: 0,
        }
    }

    /// Returns the paced rate, in requests per second.
    pub fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Changes the limit. What was reserved before counts towards the new one. After a fall that is
    /// at most one call, since those that wait reserve again.
    pub fn set_limit(&mut self, limit: RequestRate, now: Instant) {
        let rate = limit.max(MIN_RATE);
        let calls = self.wait(now).as_secs_f64() * self.rate;
        let calls = if rate < self.rate * FALL_RATIO {
            self.falls += 1;
            calls.min(1.0)
        } else {
            calls
        };
        if calls > 0.0 {
            self.due = now + BURST_TOLERANCE + Duration::from_secs_f64(calls / rate);
        }
        self.rate = rate;
    }

    /// Reserves the send time of a call, or returns the time until one within `max_wait` can be
    /// reserved.
    pub fn reserve(
        &mut self,
        max_wait: Duration,
        now: Instant,
    ) -> Result<SendReservation, Duration> {
        let wait = self.wait(now);
        if wait > max_wait {
            return Err(wait - max_wait);
        }
        self.due = self.due.max(now) + Duration::from_secs_f64(self.rate.recip());
        Ok(SendReservation {
            wait,
            at: now + wait,
            falls: self.falls,
        })
    }

    /// Returns whether a call may be sent now by its reservation. After the limit has fallen, or if it
    /// is late because the process stood still, it must reserve again: calls whose times have passed
    /// together would be sent together.
    pub fn is_valid(&self, reservation: &SendReservation, now: Instant) -> bool {
        reservation.falls == self.falls && now <= reservation.at + MAX_LATENESS
    }

    /// Returns how long a call would wait.
    pub fn wait(&self, now: Instant) -> Duration {
        let earliest = self.due - BURST_TOLERANCE;
        earliest.saturating_duration_since(now)
    }
}
