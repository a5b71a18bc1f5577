//! A node's side of the heartbeat exchange with its parent.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use filbertwheel_core::{Fence, HeartbeatReply, copy_value};

/// Time without a reply after which a node looks for another parent.
pub const PARENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Numbers the heartbeats and decides which replies are accepted.
///
/// One heartbeat is in flight at a time. Late, duplicate and outdated replies are dropped, so that
/// the node holds exactly what its next heartbeat reports.
#[derive(Debug, Default)]
pub struct ParentSession {
    fence: Fence,
    parent: Option<SocketAddr>,
    /// The root above the parent, if known.
    root: Option<SocketAddr>,
    number: u64,
    first_number: u64,
    last_stamp: u64,
    sent_at: Option<Instant>,
    /// When the parent was chosen, or when the latest heartbeat that it replied to was sent.
    refreshed_at: Option<Instant>,
}

/// Effect of a change of parent on the node's shares.
#[copy_value]
pub enum AttachOutcome {
    /// The parent follows an earlier root and is not accepted.
    Refused,
    /// The shares are kept: they come from this parent, or from a root that has ended.
    Kept,
    /// The shares are dropped, because they remain with the parent that granted them.
    Fresh,
}

impl ParentSession {
    /// Fence of the root that this node follows.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Address of the parent.
    pub fn parent(&self) -> Option<SocketAddr> {
        self.parent
    }

    /// Address of the root, if the parent is not the root itself.
    pub fn distant_root(&self) -> Option<SocketAddr> {
        self.root.filter(|root| Some(*root) != self.parent)
    }

    /// Number of the latest heartbeat.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Number of the first heartbeat to the current parent.
    pub fn first_number(&self) -> u64 {
        self.first_number
    }

    /// Stamp of the latest reply from the current parent, or zero.
    pub fn last_stamp(&self) -> u64 {
        self.last_stamp
    }

    /// Returns whether the node needs another parent.
    pub fn needs_parent(&self, now: Instant) -> bool {
        let silent = |at: Instant| now.saturating_duration_since(at) > PARENT_TIMEOUT;
        self.parent.is_none() || self.refreshed_at.is_none_or(silent)
    }

    /// Returns whether the shares come directly from the root.
    pub fn is_below_root(&self) -> bool {
        self.parent.is_some() && self.parent == self.root
    }

    /// Attaches to `parent`, which follows a root with `fence`.
    pub fn attach(&mut self, parent: SocketAddr, fence: Fence, now: Instant) -> AttachOutcome {
        if fence < self.fence {
            return AttachOutcome::Refused;
        }
        let same = self.parent == Some(parent);
        let ended = fence > self.fence && self.is_below_root();
        if !same || fence > self.fence {
            self.first_number = self.number + 1;
            self.last_stamp = 0;
            self.sent_at = None;
            self.refreshed_at = Some(now);
        }
        self.fence = fence;
        self.parent = Some(parent);
        if same || ended {
            AttachOutcome::Kept
        } else {
            AttachOutcome::Fresh
        }
    }

    /// Detaches from the parent: the node is the root with `fence`, or has lost it.
    pub fn detach(&mut self, fence: Fence) {
        self.fence = self.fence.max(fence);
        self.parent = None;
        self.root = None;
        self.last_stamp = 0;
        self.sent_at = None;
    }

    /// Begins a heartbeat at `now` and abandons the previous one.
    pub fn begin(&mut self, now: Instant) {
        self.number += 1;
        self.sent_at = Some(now);
    }

    /// Accepts the reply to the heartbeat in flight. Returns when that heartbeat was sent.
    pub fn accept(&mut self, reply: &HeartbeatReply) -> Option<Instant> {
        if reply.number != self.number || reply.fence < self.fence {
            return None;
        }
        let sent = self.sent_at.take()?;
        self.fence = reply.fence;
        self.root = Some(reply.root);
        self.last_stamp = reply.stamp;
        Some(sent)
    }

    /// Records that the parent follows a live root, according to its reply to a heartbeat sent at
    /// `sent`.
    pub fn refresh(&mut self, sent: Instant) {
        self.refreshed_at = self.refreshed_at.max(Some(sent));
    }
}
