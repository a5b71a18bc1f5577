//! The door at which other nodes knock.

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

/// Decides about forwarded calls.
pub trait CallHandler: Debug + Send + Sync {
    /// Runs a call at this node's own backend server. The load travels back with the verdict.
    fn run(&self, call: Call) -> LocalFuture<'_, (Verdict, LoadReport)>;
}

/// Decides about control messages.
#[async_trait]
pub trait ControlHandler: Debug + Send + Sync {
    /// Takes a child's beat.
    async fn beat(&self, beat: Heartbeat) -> Result<HeartbeatReply, ControlError>;

    /// Takes a claim for tokens.
    async fn claim(&self, claim: Claim) -> Result<Tokens, ControlError>;
}

/// Why a control message was turned down.
#[copy_value]
#[derive(Display, Error, serde::Serialize, serde::Deserialize)]
pub enum ControlError {
    /// The node follows a newer root than the sender, or an older one.
    #[display("the sender follows another root")]
    WrongFence,
    /// A later beat of the sender was taken already.
    #[display("the message is out of order")]
    OutOfOrder,
    /// The node isn't connected to a root itself.
    #[display("the node has no root")]
    NoRoot,
    /// The node is stopping.
    #[display("the node is stopping")]
    Stopping,
}

/// Turns other nodes' HTTP requests into calls and control messages.
#[derive(Debug)]
pub struct PeerEndpoint {
    calls: Arc<dyn CallHandler>,
    module: RpcModule<Arc<dyn ControlHandler>>,
    auth: RequestAuth,
    clock: Arc<dyn Clock>,
}

impl PeerEndpoint {
    /// A door before the two sinks.
    pub fn open(
        calls: Arc<dyn CallHandler>,
        controls: Arc<dyn ControlHandler>,
        auth: RequestAuth,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, RegisterMethodError> {
        let mut module = RpcModule::new(controls);
        module.register_async_method(HEARTBEAT_METHOD, |params, handler, _| async move {
            handler
                .beat(parse_param(&params)?)
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
                tracing::warn!("peer: A message was refused: {error}.");
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
