//! Control messages exchanged between nodes.

use std::net::SocketAddr;
use std::time::Duration;

use filbertwheel_macros::message;

use crate::{Change, Configuration, Fence, Incarnation, Member, OrganisationId, Version, VmId};

/// Heartbeat that a node sends periodically to its parent in the tree.
#[message]
pub struct Heartbeat {
    /// The sending node.
    pub member: Member,
    /// Sequence number within the node's incarnation.
    pub number: u64,
    /// Sequence number of the first heartbeat since the node last switched to this parent.
    pub since: u64,
    /// Stamp of the latest reply received from this parent; 0 if there is none.
    pub heard: u64,
    /// Fencing token of the root that the node follows. From then on the node rejects lower ones.
    pub fence: Fence,
    /// Lowest configuration version in force on the node and the nodes below it.
    pub config: Version,
    /// Position in the parent's sequence of member changes up to which the node has received them.
    pub roster: u64,
    /// Changed members in the subtree below the node.
    pub members: Vec<Member>,
    /// Demand of the node and its subtree, and the shares that they hold at most.
    pub demands: Vec<Demand>,
}

/// Demand of a node for an organisation's rate limit.
#[message]
pub struct Demand {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Demand in calls per second.
    pub rate: f64,
    /// Share of the rate limit that the node holds, in billionths.
    pub held: u64,
}

/// Parent's reply to a heartbeat.
#[message]
pub struct HeartbeatReply {
    /// Sequence number of the heartbeat that it replies to.
    pub number: u64,
    /// Unique stamp. The next heartbeat returns it, which confirms that this reply was received.
    pub stamp: u64,
    /// Fencing token of the root, which may be the parent itself.
    pub fence: Fence,
    /// Address of the root.
    pub root: SocketAddr,
    /// Address of another parent that the node should send its heartbeats to.
    pub parent: Option<SocketAddr>,
    /// How long the node may serve without another reply, counted from when it sent the heartbeat.
    pub lease: Duration,
    /// How long the shares are valid, counted from when the node sent the heartbeat.
    pub lifetime: Duration,
    /// Configuration version that all live members have confirmed.
    pub confirmed: Version,
    /// Changes to the configuration.
    pub delta: Delta,
    /// Position in the parent's sequence of member changes after `members`.
    pub roster: u64,
    /// Members that have changed since the position in the heartbeat.
    pub members: Vec<Member>,
    /// The node's shares. If `None`, the node keeps its current shares until they expire.
    pub grant: Option<Grant>,
}

/// Update that brings a node's configuration up to date.
#[message]
pub enum Delta {
    /// The changes after the node's version.
    Changes(Vec<Change>),
    /// The complete document, if the changes are no longer retained.
    Whole(Configuration),
}

/// Shares granted to a node and the nodes below it. They replace all earlier ones.
#[message]
pub struct Grant {
    /// Whether the node starts a new share ledger. What it lent from its earlier shares is then
    /// accounted for by the parent that granted those.
    pub fresh: bool,
    /// Shares by organisation. An organisation that isn't listed has no share.
    pub shares: Vec<Share>,
}

/// A node's share of an organisation's rate limit.
#[message]
pub struct Share {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Share of its rate and burst, in billionths.
    pub portion: u64,
}

/// Request for single tokens from a node whose share doesn't cover its calls.
#[message]
pub struct Claim {
    /// VM of the claiming node.
    pub vm: VmId,
    /// Incarnation of the claiming node.
    pub incarnation: Incarnation,
    /// Fencing token of the root that the node follows.
    pub fence: Fence,
    /// The organisation.
    pub organisation: OrganisationId,
    /// Number of tokens claimed.
    pub count: u32,
    /// Number of times that the claim may still be forwarded to a parent.
    pub hops: u8,
}

/// Tokens granted for a claim. Tokens that aren't spent at once are lost.
#[message]
#[derive(Copy)]
pub struct Tokens {
    /// Number of tokens granted; never more than claimed.
    pub count: u32,
    /// Delay after which to claim again, if fewer tokens were granted than claimed.
    pub retry_after: Duration,
}
