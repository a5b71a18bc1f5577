//! Sending an order until its outcome is known.

use std::fmt::Debug;
use std::time::Duration;

use async_trait::async_trait;
use derive_more::{Display, Error};
use filbertwheel_core::{Clock, value};
use filbertwheel_http::SendError;
use filbertwheel_rpc::RpcError;

use crate::{CommandError, CommandRequest, Reply};

/// Times that an order is sent again at most.
const MAX_RETRIES: u32 = 4;
/// Time after which an order isn't sent again.
const RETRY_WINDOW: Duration = Duration::from_secs(60);
/// Time before an order is sent again.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The way to one node.
#[async_trait]
pub trait CommandTransport: Debug + Send + Sync {
    /// Sends an order once.
    async fn send(&self, request: &CommandRequest) -> Result<Reply, CommandFailure>;
}

/// Why a command has no reply.
#[value]
#[derive(Display, Error)]
pub enum CommandFailure {
    /// The node didn't carry it out.
    #[display("{_0}")]
    Command(CommandError),
    /// The node didn't answer.
    #[display("{_0}")]
    Rpc(RpcError),
}

impl CommandFailure {
    /// Whether the order may have been carried out all the same.
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::Command(error) => *error == CommandError::Unknown,
            Self::Rpc(RpcError::Transport(error)) => !error.is_unsent(),
            Self::Rpc(RpcError::Malformed) => true,
            Self::Rpc(RpcError::Refused { .. } | RpcError::Unauthenticated) => false,
        }
    }

    /// Whether it says nothing about an earlier sending of the same order.
    fn is_inconclusive(&self) -> bool {
        matches!(
            self,
            Self::Command(CommandError::Unavailable | CommandError::Stopping)
                | Self::Rpc(RpcError::Transport(SendError::NotSent))
        )
    }
}

/// Sends an order, and sends it again while its outcome isn't known. A question is asked once.
pub async fn send_with_retries(
    transport: &dyn CommandTransport,
    clock: &dyn Clock,
    request: &CommandRequest,
) -> Result<Reply, CommandFailure> {
    let retry_until = clock.now() + RETRY_WINDOW;
    let outcome = transport.send(request).await;
    if !request.command.is_change() || !is_unknown(&outcome) {
        return outcome;
    }
    for _ in 0..MAX_RETRIES {
        clock.sleep(RETRY_INTERVAL).await;
        if clock.now() >= retry_until {
            break;
        }
        let outcome = transport.send(request).await;
        let is_inconclusive = outcome.as_ref().is_err_and(CommandFailure::is_inconclusive);
        if !is_unknown(&outcome) && !is_inconclusive {
            return outcome;
        }
    }
    Err(CommandFailure::Command(CommandError::Unknown))
}

fn is_unknown(outcome: &Result<Reply, CommandFailure>) -> bool {
    outcome.as_ref().is_err_and(CommandFailure::may_have_run)
}
