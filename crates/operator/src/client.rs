//! Client with which an operator's program sends commands to a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use filbertwheel_core::{Clock, FleetSecret};
use filbertwheel_http::{Limits, Pool};
use filbertwheel_rpc::{RequestAuth, RpcClient, RpcError};

use crate::{
    CommandFailure, CommandRequest, CommandTransport, RUN_METHOD, Reply, send_with_retries,
};

/// Timeout of one attempt to run a command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends commands to one node.
#[derive(Debug)]
pub struct OperatorClient {
    pool: Pool,
    rpc: RpcClient,
    clock: Arc<dyn Clock>,
}

impl OperatorClient {
    /// Creates a client of the node at `address`.
    pub fn open(address: SocketAddr, secret: FleetSecret, clock: Arc<dyn Clock>) -> Self {
        let pool = Pool::open(address, Limits::default(), Arc::clone(&clock));
        let rpc = RpcClient::open(RequestAuth::open(secret, Arc::clone(&clock)));
        Self { pool, rpc, clock }
    }

    /// Runs a command. A change is retried with the same id while its outcome is unknown.
    pub async fn run(&self, request: &CommandRequest) -> Result<Reply, CommandFailure> {
        send_with_retries(self, self.clock.as_ref(), request).await
    }
}

#[async_trait]
impl CommandTransport for OperatorClient {
    async fn send(&self, request: &CommandRequest) -> Result<Reply, CommandFailure> {
        let deadline = self.clock.now() + COMMAND_TIMEOUT;
        let outcome = self
            .rpc
            .call(&self.pool, RUN_METHOD, request, deadline)
            .await;
        outcome.map_err(command_failure)
    }
}

/// Returns the `CommandError` in the node's error reply, or the RPC error if there is none.
fn command_failure(error: RpcError) -> CommandFailure {
    let RpcError::Refused {
        data: Some(data), ..
    } = &error
    else {
        return CommandFailure::Rpc(error);
    };
    match serde_json::from_slice(data.as_bytes()) {
        Ok(command) => CommandFailure::Command(command),
        Err(_) => CommandFailure::Rpc(error),
    }
}
