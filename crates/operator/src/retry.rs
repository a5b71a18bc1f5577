//! Retries of a command until its outcome is known.

use std::fmt::Debug;
use std::time::Duration;

use async_trait::async_trait;
use derive_more::{Display, Error};
use filbertwheel_core::{Clock, value};
use filbertwheel_http::SendError;
use filbertwheel_rpc::RpcError;

use crate::{CommandError, CommandRequest, Reply};

/// Maximum number of retries of a command.
const MAX_RETRIES: u32 = 4;
/// Time from the first attempt after which a command is not retried.
const RETRY_WINDOW: Duration = Duration::from_secs(60);
/// Delay before each retry.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Sends commands to one node.
#[async_trait]
pub trait CommandTransport: Debug + Send + Sync {
    /// Makes one attempt to run a command.
    async fn send(&self, request: &CommandRequest) -> Result<Reply, CommandFailure>;
}

/// Why a command has no successful reply.
#[value]
#[derive(Display, Error)]
pub enum CommandFailure {
    /// The node reported an error of the command.
    #[display("{_0}")]
    Command(CommandError),
    /// The RPC failed or its response is unusable.
    #[display("{_0}")]
    Rpc(RpcError),
}

impl CommandFailure {
    /// Returns whether the command may have been carried out despite the failure.
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::Command(error) => *error == CommandError::Unknown,
            Self::Rpc(RpcError::Transport(error)) => !error.is_unsent(),
            Self::Rpc(RpcError::Malformed) => true,
            Self::Rpc(RpcError::Refused { .. } | RpcError::Unauthenticated) => false,
        }
    }

    /// Returns whether the failure gives no information about earlier attempts of the command.
    fn is_inconclusive(&self) -> bool {
        matches!(
            self,
            Self::Command(CommandError::Unavailable | CommandError::Stopping)
                | Self::Rpc(RpcError::Transport(SendError::NotSent))
        )
    }
}

/// Sends a command and retries it while its outcome is unknown. A query is sent only once, as
/// it changes nothing.
///
/// A retry that cannot reach the node or the platform does not settle the outcome: an earlier
/// attempt may have run.
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
