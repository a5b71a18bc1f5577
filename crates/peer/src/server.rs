//! HTTP endpoint for messages from other nodes.

use std::fmt::Debug;
use std::sync::Arc;

use async_trait::async_trait;
use derive_more::{Display, Error};
use filbertwheel_core::{
    Call, Claim, Clock, Failure, Heartbeat, HeartbeatReply, Refusal, RefusalKind, Tokens, Verdict,
    copy_value,
};
use filbertwheel_http::{Handler, LocalFuture, Request, Response};
use filbertwheel_rpc::{RPC_PATH, RequestAuth, dispatch, method_error, parse_param};
use jsonrpsee_core::RegisterMethodError;
use jsonrpsee_core::server::RpcModule;

use crate::wire::{LoadReport, decode_call, encode_verdict};
use crate::{CALL_PATH, CLAIM_METHOD, HEARTBEAT_METHOD};

/// Handles forwarded calls.
pub trait CallHandler: Debug + Send + Sync {
    /// Runs a call at this node's backend server. Returns the verdict and the load of that server.
    fn run(&self, call: Call) -> LocalFuture<'_, (Verdict, LoadReport)>;
}

/// Handles control messages.
#[async_trait]
pub trait ControlHandler: Debug + Send + Sync {
    /// Handles the heartbeat of a child node.
    async fn heartbeat(&self, heartbeat: Heartbeat) -> Result<HeartbeatReply, ControlError>;

    /// Handles a claim for tokens.
    async fn claim(&self, claim: Claim) -> Result<Tokens, ControlError>;
}

/// Reason for rejecting a control message.
#[copy_value]
#[derive(Display, Error, serde::Serialize, serde::Deserialize)]
pub enum ControlError {
    /// The fencing token of the sender's root differs from that of this node's root.
    #[display("the sender follows another root")]
    WrongFence,
    /// A later heartbeat of the sender was handled already.
    #[display("the message is out of order")]
    OutOfOrder,
    /// This node is not connected to a root.
    #[display("the node has no root")]
    NoRoot,
    /// This node is shutting down.
    #[display("the node is stopping")]
    Stopping,
}

/// HTTP endpoint that decodes calls and control messages from other nodes.
#[derive(Debug)]
pub struct PeerEndpoint {
    calls: Arc<dyn CallHandler>,
    module: RpcModule<Arc<dyn ControlHandler>>,
    auth: RequestAuth,
    clock: Arc<dyn Clock>,
}

impl PeerEndpoint {
    /// Creates an endpoint that passes calls and control messages to the two handlers.
    pub fn open(
        calls: Arc<dyn CallHandler>,
        controls: Arc<dyn ControlHandler>,
        auth: RequestAuth,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, RegisterMethodError> {
        let mut module = RpcModule::new(controls);
        module.register_async_method(HEARTBEAT_METHOD, |params, handler, _| async move {
            handler
                .heartbeat(parse_param(&params)?)
                .await
                .map_err(method_error)
        })?;
        module.register_async_method(CLAIM_METHOD, |params, handler, _| async move {
            handler
                .claim(parse_param(&params)?)
                .await
                .map_err(method_error)
        })?;
        Ok(Self {
            calls,
            module,
            auth,
            clock,
        })
    }

    async fn call(&self, request: Request) -> Response {
        let (verdict, load) = match decode_call(&request.body, self.clock.now()) {
            Some(call) => self.calls.run(call).await,
            None => {
                let refusal = Refusal::new(RefusalKind::Malformed);
                (Err(Failure::Refused(refusal)), LoadReport::default())
            }
        };
        match encode_verdict(verdict, &load, self.clock.now()) {
            Some(frame) => Response::new(200, frame),
            None => Response::new(500, ""),
        }
    }
}

impl Handler for PeerEndpoint {
    fn handle(&self, request: Request) -> LocalFuture<'_, Response> {
        Box::pin(async move {
            if let Err(error) = self.auth.verify(&request) {
                tracing::warn!("peer: Rejected a message that is not authenticated: {error}.");
                return Response::new(401, error.to_string());
            }
            match request.path.as_str() {
                Some(CALL_PATH) => self.call(request).await,
                Some(RPC_PATH) => dispatch(&self.module, &request).await,
                _ => Response::new(404, ""),
            }
        })
    }
}
