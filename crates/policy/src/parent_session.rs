//! A node's side of the exchange with its parent.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use filbertwheel_core::{Fence, HeartbeatReply, copy_value};

/// Time without an answer after which a node looks for another parent.
pub const LOST_TIME: Duration = Duration::from_millis(1_500);

/// Numbers the beats and tells which answers count.
///
/// One beat is under way at a time. A late, repeated or outdated answer is dropped, so that the
/// node holds exactly what its next beat says.
#[derive(Debug, Default)]
pub struct ParentSession {
    fence: Fence,
    parent: Option<SocketAddr>,
    /// The root above the parent, as far as it's known.
    root: Option<SocketAddr>,
    number: u64,
    since: u64,
    heard: u64,
    sent: Option<Instant>,
    /// When the parent was chosen, or last answered a beat sent then.
    fresh: Option<Instant>,
}

/// What a change of the parent does to the node's shares.
#[copy_value]
pub enum AttachOutcome {
    /// The root is an earlier one and isn't followed.
    Refused,
    /// The shares are kept: they come from this parent, or from a root that has ended.
    Kept,
    /// The shares stay behind with the parent that gave them.
    Fresh,
}

impl ParentSession {
    /// Fence of the root that's followed.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// The parent.
    pub fn parent(&self) -> Option<SocketAddr> {
        self.parent
    }

    /// The root above the parent, if the parent isn't it.
    pub fn distant_root(&self) -> Option<SocketAddr> {
        self.root.filter(|root| Some(*root) != self.parent)
    }

    /// Number of the latest beat.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Number of the first beat since this parent was chosen.
    pub fn since(&self) -> u64 {
        self.since
    }

    /// Stamp of the latest pulse of this parent, or zero.
    pub fn heard(&self) -> u64 {
        self.heard
    }

    /// Whether the node needs another parent.
    pub fn is_lost(&self, now: Instant) -> bool {
        let silent = |at: Instant| now.saturating_duration_since(at) > LOST_TIME;
        self.parent.is_none() || self.fresh.is_none_or(silent)
    }

    /// Whether the shares come straight from the root.
    pub fn is_below_root(&self) -> bool {
        self.parent.is_some() && self.parent == self.root
    }

    /// Beats to `parent` from now on, which follows a root with `fence`.
    pub fn attach(&mut self, parent: SocketAddr, fence: Fence, now: Instant) -> AttachOutcome {
        if fence < self.fence {
            return AttachOutcome::Refused;
        }
        let same = self.parent == Some(parent);
        let ended = fence > self.fence && self.is_below_root();
        if !same || fence > self.fence {
            self.since = self.number + 1;
            self.heard = 0;
            self.sent = None;
            self.fresh = Some(now);
        }
        self.fence = fence;
        self.parent = Some(parent);
        if same || ended {
            AttachOutcome::Kept
        } else {
            AttachOutcome::Fresh
        }
    }

    /// Follows no parent: the node is the root with `fence`, or has lost it.
    pub fn detach(&mut self, fence: Fence) {
        self.fence = self.fence.max(fence);
        self.parent = None;
        self.root = None;
        self.heard = 0;
        self.sent = None;
    }

    /// Begins a beat at `now` and gives up the one before it.
    pub fn begin(&mut self, now: Instant) {
        self.number += 1;
        self.sent = Some(now);
    }

    /// Takes the answer to the beat that's under way. Returns when that beat was sent.
    pub fn accept(&mut self, pulse: &HeartbeatReply) -> Option<Instant> {
        if pulse.number != self.number || pulse.fence < self.fence {
            return None;
        }
        let sent = self.sent.take()?;
        self.fence = pulse.fence;
        self.root = Some(pulse.root);
        self.heard = pulse.stamp;
        Some(sent)
    }

    /// Takes note that the parent follows a live root, as it answered to a beat sent at `sent`.
    pub fn refresh(&mut self, sent: Instant) {
        self.fresh = self.fresh.max(Some(sent));
    }
}
