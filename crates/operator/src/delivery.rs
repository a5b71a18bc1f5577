//! Sending an order until its outcome is known.

use std::fmt::Debug;
use std::time::Duration;

use async_trait::async_trait;
use derive_more::{Display, Error};
use filbertwheel_core::{Clock, value};
use filbertwheel_http::SendError;
use filbertwheel_rpc::AskError;

use crate::{CommandError, Order, Reply};

/// Times that an order is sent again at most.
const RESENDS: u32 = 4;
/// Time before an order is sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// The way to one node.
#[async_trait]
pub trait Link: Debug + Send + Sync {
    /// Sends an order once.
    async fn send(&self, order: &Order) -> Result<Reply, RunError>;
}

/// Why a command has no reply.
#[value]
#[derive(Display, Error)]
pub enum RunError {
    /// The node didn't carry it out.
    #[display("{_0}")]
    Command(CommandError),
    /// The node didn't answer.
    #[display("{_0}")]
    Ask(AskError),
}

impl RunError {
    /// Whether the order may have been carried out all the same.
    pub fn is_unknown(&self) -> bool {
        match self {
            Self::Command(error) => *error == CommandError::Unknown,
            Self::Ask(AskError::NoAnswer(error)) => !error.is_unsent(),
            Self::Ask(AskError::Malformed) => true,
            Self::Ask(AskError::Refused { .. } | AskError::Denied) => false,
        }
    }

    /// Whether it says nothing about an earlier sending of the same order.
    fn is_silent(&self) -> bool {
        matches!(
            self,
            Self::Command(CommandError::Unavailable | CommandError::Stopping)
                | Self::Ask(AskError::NoAnswer(SendError::NotSent))
        )
    }
}

/// Sends an order, and sends it again while its outcome isn't known.
pub async fn deliver(link: &dyn Link, clock: &dyn Clock, order: &Order) -> Result<Reply, RunError> {
    let mut outcome = link.send(order).await;
    let is_unknown =
        |outcome: &Result<Reply, RunError>| outcome.as_ref().is_err_and(RunError::is_unknown);
    if !is_unknown(&outcome) {
        return outcome;
    }
    for _ in 0..RESENDS {
        clock.sleep(RESEND_INTERVAL).await;
        outcome = link.send(order).await;
        let is_silent = outcome.as_ref().is_err_and(RunError::is_silent);
        if !is_unknown(&outcome) && !is_silent {
            return outcome;
        }
    }
    Err(RunError::Command(CommandError::Unknown))
}
