//! Control messages between nodes.

use std::net::SocketAddr;
use std::time::Duration;

use filbertwheel_macros::message;

use crate::{Change, Configuration, Fence, Incarnation, Member, OrganisationId, Version, VmId};

/// What a node tells its parent in the tree at every interval.
#[message]
pub struct Heartbeat {
    /// The node itself.
    pub member: Member,
    /// Number of this beat within the incarnation.
    pub number: u64,
    /// Number of the first beat since the node last chose this parent.
    pub since: u64,
    /// Stamp of the latest pulse that came back from this parent, or zero.
    pub heard: u64,
    /// Fence of the root that the node follows. It refuses lower ones from then on.
    pub fence: Fence,
    /// Version of the configuration that's in force at the node and below it.
    pub config: Version,
    /// Position of the node's view of the members in its parent's sequence.
    pub roster: u64,
    /// Members below the node that have changed.
    pub members: Vec<Member>,
    /// What the node and the nodes below it want to spend, and hold at most.
    pub demands: Vec<Demand>,
}

/// What a node wants of an organisation's rate.
#[message]
pub struct Demand {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Calls a second that were asked for.
    pub rate: f64,
    /// Portion of the rate and burst that the node holds, in billionths.
    pub held: u64,
}

/// What a parent answers.
#[message]
pub struct HeartbeatReply {
    /// Number of the beat that it answers.
    pub number: u64,
    /// Tells this pulse from all others, so that the next beat proves that it came.
    pub stamp: u64,
    /// Fence of the root that the parent follows or is.
    pub fence: Fence,
    /// Address of that root.
    pub root: SocketAddr,
    /// The parent that the node shall beat to instead.
    pub parent: Option<SocketAddr>,
    /// How long the node may serve without another pulse, counted from when it sent its beat.
    pub lease: Duration,
    /// How long the shares may be used, counted from when the node sent its beat.
    pub lifetime: Duration,
    /// Version of the configuration that every live member has confirmed.
    pub confirmed: Version,
    /// What's new in the configuration.
    pub delta: Delta,
    /// Position of the members below in the parent's sequence.
    pub roster: u64,
    /// Members that have changed since the position in the beat.
    pub members: Vec<Member>,
    /// The node's shares. Where there are none given, it goes on with what it holds until that
    /// runs out.
    pub grant: Option<Grant>,
}

/// What a node needs to bring its configuration up to date.
#[message]
pub enum Delta {
    /// The changes that follow the node's version.
    Changes(Vec<Change>),
    /// The whole document, where the changes are no longer at hand.
    Whole(Configuration),
}

/// The shares of a node and the nodes below it. They replace all earlier ones.
#[message]
pub struct Grant {
    /// Whether what the node gave out of earlier shares stays behind with whoever gave those.
    pub fresh: bool,
    /// Shares by organisation; one that's left out has none.
    pub shares: Vec<Share>,
}

/// A node's share of an organisation's rate and burst.
#[message]
pub struct Share {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Portion of its rate and burst, in billionths.
    pub portion: u64,
}

/// A request for single tokens, by a node whose share doesn't cover its calls.
#[message]
pub struct Claim {
    /// The node that asks.
    pub vm: VmId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Fence of the root that the node follows.
    pub fence: Fence,
    /// The organisation.
    pub organisation: OrganisationId,
    /// Tokens that are wanted.
    pub count: u32,
    /// Parents that may still pass the claim on.
    pub hops: u8,
}

/// Tokens given for a claim. They're spent at once or lost.
#[message]
#[derive(Copy)]
pub struct Tokens {
    /// Tokens that were given, at most as many as were claimed.
    pub count: u32,
    /// When it's worth asking again, where fewer were given.
    pub retry_after: Duration,
}
