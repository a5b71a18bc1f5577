//! Messages to the control thread.

use std::time::{Duration, Instant};

use async_channel::Sender;
use filbertwheel_backend::Announcement;
use filbertwheel_core::{Claim, Heartbeat, HeartbeatReply, OrganisationId, Tokens};
use filbertwheel_operator::{CommandError, CommandRequest, Reply};
use filbertwheel_peer::ControlError;

/// A message to the control thread.
#[derive(Debug)]
pub enum Message {
    /// The backend server announced itself.
    Announce(Announcement),
    /// A call wants a token that the node's share doesn't have.
    ClaimToken {
        /// The organisation.
        organisation: OrganisationId,
        /// When the call's answer is no longer wanted.
        deadline: Instant,
        /// Where the outcome goes.
        reply: Sender<ClaimReply>,
    },
    /// Another node's beat.
    Heartbeat(Box<Heartbeat>, Sender<Result<HeartbeatReply, ControlError>>),
    /// Another node's claim.
    Claim(Claim, Sender<Result<Tokens, ControlError>>),
    /// An operator's command.
    Command(CommandRequest, Sender<Result<Reply, CommandError>>),
}

/// What became of a claim.
#[derive(Debug, Clone, Copy)]
pub enum ClaimReply {
    /// A token was given.
    Granted,
    /// There's none, perhaps after a while.
    RetryAfter(Duration),
}
