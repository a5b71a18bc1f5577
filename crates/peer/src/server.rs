//! The door at which other nodes knock.

use std::fmt::Debug;
use std::sync::Arc;

use async_trait::async_trait;
use derive_more::{Display, Error};
use filbertwheel_core::{
    Beat, Call, Claim, Clock, Failure, Pulse, Refusal, RefusalKind, Tokens, Verdict, token,
};
use filbertwheel_http::{Handler, LocalFuture, Request, Response};
use filbertwheel_rpc::{Guard, RPC_PATH, answer, argument, reject};
use jsonrpsee_core::RegisterMethodError;
use jsonrpsee_core::server::RpcModule;

use crate::wire::{Load, decode_call, encode_verdict};
use crate::{BEAT_METHOD, CALL_PATH, CLAIM_METHOD};

/// Decides about forwarded calls.
pub trait CallSink: Debug + Send + Sync {
    /// Runs a call at this node's own backend server. The load travels back with the verdict.
    fn run(&self, call: Call) -> LocalFuture<'_, (Verdict, Load)>;
}

/// Decides about control messages.
#[async_trait]
pub trait ControlSink: Debug + Send + Sync {
    /// Takes a child's beat.
    async fn beat(&self, beat: Beat) -> Result<Pulse, SinkError>;

    /// Takes a claim for tokens.
    async fn claim(&self, claim: Claim) -> Result<Tokens, SinkError>;
}

/// Why a control message was turned down.
#[token]
#[derive(Display, Error, serde::Serialize, serde::Deserialize)]
pub enum SinkError {
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
pub struct PeerDoor {
    calls: Arc<dyn CallSink>,
    module: RpcModule<Arc<dyn ControlSink>>,
    guard: Guard,
    clock: Arc<dyn Clock>,
}

impl PeerDoor {
    /// A door before the two sinks.
    pub fn open(
        calls: Arc<dyn CallSink>,
        controls: Arc<dyn ControlSink>,
        guard: Guard,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, RegisterMethodError> {
        let mut module = RpcModule::new(controls);
        module.register_async_method(BEAT_METHOD, |params, sink, _| async move {
            sink.beat(argument(&params)?).await.map_err(reject)
        })?;
        module.register_async_method(CLAIM_METHOD, |params, sink, _| async move {
            sink.claim(argument(&params)?).await.map_err(reject)
        })?;
        Ok(Self {
            calls,
            module,
            guard,
            clock,
        })
    }

    async fn call(&self, request: Request) -> Response {
        let (verdict, load) = match decode_call(&request.body, self.clock.now()) {
            Some(call) => self.calls.run(call).await,
            None => {
                let refusal = Refusal::new(RefusalKind::Malformed);
                (Err(Failure::Refused(refusal)), Load::default())
            }
        };
        match encode_verdict(verdict, &load, self.clock.now()) {
            Some(frame) => Response::new(200, frame),
            None => Response::new(500, ""),
        }
    }
}

impl Handler for PeerDoor {
    fn handle(&self, request: Request) -> LocalFuture<'_, Response> {
        Box::pin(async move {
            if let Err(error) = self.guard.verify(&request) {
                tracing::warn!("peer: A message was refused: {error}.");
                return Response::new(401, error.to_string());
            }
            match request.path.as_str() {
                Some(CALL_PATH) => self.call(request).await,
                Some(RPC_PATH) => answer(&self.module, &request).await,
                _ => Response::new(404, ""),
            }
        })
    }
}
