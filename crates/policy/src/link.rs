//! A node's side of the exchange with its parent.

use std::time::Instant;

use filbertwheel_core::Fence;

/// Numbers the beats and tells which answers count.
///
/// One beat is under way at a time. A late, repeated or outdated answer is dropped, so that the
/// node holds exactly what its next beat says.
#[derive(Debug, Default)]
pub struct Link {
    fence: Fence,
    number: u64,
    heard: u64,
    sent: Option<Instant>,
}

impl Link {
    /// Fence of the root that's followed.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Number of the latest beat.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Number of the latest beat that this root has answered, or zero.
    pub fn heard(&self) -> u64 {
        self.heard
    }

    /// Follows a root. Returns whether it's taken; one with a lower fence never is.
    pub fn follow(&mut self, fence: Fence) -> bool {
        if fence < self.fence {
            return false;
        }
        if fence > self.fence {
            self.fence = fence;
            self.heard = 0;
            self.sent = None;
        }
        true
    }

    /// Begins a beat at `now` and gives up the one before it.
    pub fn begin(&mut self, now: Instant) {
        self.number += 1;
        self.sent = Some(now);
    }

    /// Takes the answer to the beat that's under way. Returns when that beat was sent.
    pub fn accept(&mut self, number: u64, fence: Fence) -> Option<Instant> {
        if number != self.number || fence < self.fence {
            return None;
        }
        let sent = self.sent.take()?;
        self.follow(fence);
        self.heard = number;
        Some(sent)
    }
}
