//! Client for the HTTP and JSON-RPC endpoints of other nodes.

use std::collections::HashMap;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use derive_more::{Display, Error};
use filbertwheel_core::{
    Call, Claim, Clock, Heartbeat, HeartbeatReply, Tokens, Verdict, copy_value, verdict_deadline,
};
use filbertwheel_http::{Limits, Pool, Request, SendError};
use filbertwheel_rpc::{RequestAuth, RpcClient, RpcError};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::wire::{LoadReport, decode_verdict, encode_call};
use crate::{CALL_PATH, CLAIM_METHOD, HEARTBEAT_METHOD};

/// Timeout of one control message, including its reply.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Forwards calls to other nodes, which run them at their backend servers.
#[async_trait]
pub trait CallForwarder: Debug + Send + Sync {
    /// Forwards a call. Returns its verdict and the load of the other node's backend server.
    async fn forward(
        &self,
        to: SocketAddr,
        call: &Call,
    ) -> Result<(Verdict, LoadReport), ForwardError>;
}

/// Sends control messages to other nodes.
#[async_trait]
pub trait ControlClient: Debug + Send + Sync {
    /// Sends a heartbeat to the parent node.
    async fn heartbeat(
        &self,
        to: SocketAddr,
        heartbeat: &Heartbeat,
    ) -> Result<HeartbeatReply, RpcError>;

    /// Claims tokens from the parent node.
    async fn claim(&self, to: SocketAddr, claim: &Claim) -> Result<Tokens, RpcError>;
}

/// Error of a forwarded call that has no verdict.
#[copy_value]
#[derive(Display, Error)]
pub enum ForwardError {
    /// The other node cannot have received the call.
    #[display("the node is unreachable")]
    NotSent,
    /// The connection was lost after the call was sent.
    #[display("the connection to the node was lost")]
    Lost,
    /// The deadline passed after the call was sent.
    #[display("the node did not answer before the deadline")]
    Late,
    /// The verdict was truncated or malformed.
    #[display("the verdict of the node was truncated or malformed")]
    Broken,
}

/// Client for all other nodes, with one connection pool per address.
#[derive(Debug)]
pub struct PeerClient {
    limits: Limits,
    clock: Arc<dyn Clock>,
    rpc: RpcClient,
    pools: Mutex<HashMap<SocketAddr, Arc<Pool>>>,
}

impl PeerClient {
    /// Creates a client without connections; `auth` signs its messages.
    pub fn open(limits: Limits, clock: Arc<dyn Clock>, auth: RequestAuth) -> Self {
        Self {
            limits,
            clock,
            rpc: RpcClient::open(auth),
            pools: Mutex::default(),
        }
    }

    async fn call_method<Q: Serialize + Sync, A: DeserializeOwned + Clone>(
        &self,
        to: SocketAddr,
        method: &str,
        argument: &Q,
    ) -> Result<A, RpcError> {
        let deadline = self.clock.now() + CONTROL_TIMEOUT;
        self.rpc
            .call(&self.pool(to), method, argument, deadline)
            .await
    }

    fn pool(&self, to: SocketAddr) -> Arc<Pool> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let open = || Arc::new(Pool::open(to, self.limits, Arc::clone(&self.clock)));
        Arc::clone(pools.entry(to).or_insert_with(open))
    }
}

#[async_trait]
impl CallForwarder for PeerClient {
    async fn forward(
        &self,
        to: SocketAddr,
        call: &Call,
    ) -> Result<(Verdict, LoadReport), ForwardError> {
        let frame = encode_call(call, self.clock.now()).ok_or(ForwardError::NotSent)?;
        let request = Request::post(CALL_PATH, frame);
        let reply = self
            .rpc
            .send_signed(&self.pool(to), request, verdict_deadline(call.deadline))
            .await;
        let reply = reply.map_err(|error| match error {
            SendError::NotSent | SendError::Unencodable => ForwardError::NotSent,
            SendError::Lost => ForwardError::Lost,
            SendError::Late => ForwardError::Late,
            SendError::Broken => ForwardError::Broken,
        })?;
        decode_verdict(&reply.body, self.clock.now()).ok_or(ForwardError::Broken)
    }
}

#[async_trait]
impl ControlClient for PeerClient {
    async fn heartbeat(
        &self,
        to: SocketAddr,
        heartbeat: &Heartbeat,
    ) -> Result<HeartbeatReply, RpcError> {
        self.call_method(to, HEARTBEAT_METHOD, heartbeat).await
    }

    async fn claim(&self, to: SocketAddr, claim: &Claim) -> Result<Tokens, RpcError> {
        self.call_method(to, CLAIM_METHOD, claim).await
    }
}
