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
    /// A request needs a token, and the node's share has none left.
    ClaimToken {
        /// Organisation whose rate limit applies.
        organisation: OrganisationId,
        /// Deadline of the request.
        deadline: Instant,
        /// Channel for the outcome.
        reply: Sender<ClaimReply>,
    },
    /// A heartbeat from another node.
    Heartbeat(Box<Heartbeat>, Sender<Result<HeartbeatReply, ControlError>>),
    /// A claim from another node.
    Claim(Claim, Sender<Result<Tokens, ControlError>>),
    /// An operator's command.
    Command(CommandRequest, Sender<Result<Reply, CommandError>>),
}

/// Outcome of a claim.
#[derive(Debug, Clone, Copy)]
pub enum ClaimReply {
    /// A token was granted.
    Granted,
    /// No token is available; one may be after this time.
    RetryAfter(Duration),
}
