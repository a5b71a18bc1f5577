//! The operator's side.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use filbertwheel_core::{Clock, FleetSecret, value};
use filbertwheel_http::{Limits, Pool};
use filbertwheel_rpc::{AskError, Guard, RpcClient};

use crate::{CommandError, Order, RUN_METHOD, Reply};

/// How long a command may take.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends commands to one node.
#[derive(Debug)]
pub struct OperatorClient {
    pool: Pool,
    rpc: RpcClient,
    clock: Arc<dyn Clock>,
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

impl OperatorClient {
    /// A client of the node at `address`.
    pub fn open(address: SocketAddr, secret: FleetSecret, clock: Arc<dyn Clock>) -> Self {
        let pool = Pool::open(address, Limits::default(), Arc::clone(&clock));
        let rpc = RpcClient::open(Guard::open(secret, Arc::clone(&clock)));
        Self { pool, rpc, clock }
    }

    /// Runs a command. The same order may be sent again when the answer was lost.
    pub async fn run(&self, order: &Order) -> Result<Reply, RunError> {
        let deadline = self.clock.now() + COMMAND_TIMEOUT;
        self.rpc
            .ask(&self.pool, RUN_METHOD, order, deadline)
            .await
            .map_err(|error| {
                let AskError::Refused {
                    data: Some(data), ..
                } = &error
                else {
                    return RunError::Ask(error);
                };
                match serde_json::from_slice(data.as_bytes()) {
                    Ok(command) => RunError::Command(command),
                    Err(_) => RunError::Ask(error),
                }
            })
    }
}
