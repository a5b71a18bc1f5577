//! HTTP endpoint for operators: commands, metrics and health.

use std::fmt::Debug;
use std::sync::Arc;

use async_trait::async_trait;
use filbertwheel_http::{Handler, LocalFuture, Request, Response};
use filbertwheel_rpc::{RPC_PATH, RequestAuth, dispatch, method_error, parse_param};
use jsonrpsee_core::RegisterMethodError;
use jsonrpsee_core::server::RpcModule;

use crate::{CommandError, CommandRequest, RUN_METHOD, Reply};

/// Runs operators' commands at a node.
#[async_trait]
pub trait CommandHandler: Debug + Send + Sync {
    /// Runs one command.
    async fn run(&self, request: CommandRequest) -> Result<Reply, CommandError>;

    /// Returns the metrics in the Prometheus text format.
    fn metrics(&self) -> String;

    /// Returns whether the node can serve calls.
    fn is_healthy(&self) -> bool;
}

/// Serves commands to authenticated operators, and metrics and health without authentication.
#[derive(Debug)]
pub struct OperatorEndpoint {
    handler: Arc<dyn CommandHandler>,
    module: RpcModule<Arc<dyn CommandHandler>>,
    auth: RequestAuth,
}

impl OperatorEndpoint {
    /// Creates an endpoint that passes commands to `handler`.
    pub fn open(
        handler: Arc<dyn CommandHandler>,
        auth: RequestAuth,
    ) -> Result<Self, RegisterMethodError> {
        let mut module = RpcModule::new(Arc::clone(&handler));
        module.register_async_method(RUN_METHOD, |params, handler, _| async move {
            handler
                .run(parse_param(&params)?)
                .await
                .map_err(method_error)
        })?;
        Ok(Self {
            handler,
            module,
            auth,
        })
    }

    async fn handle_command(&self, request: Request) -> Response {
        if let Err(error) = self.auth.verify(&request) {
            tracing::warn!("operator: Rejected a command: {error}.");
            return Response::new(401, error.to_string());
        }
        dispatch(&self.module, &request).await
    }

    fn health(&self) -> Response {
        if self.handler.is_healthy() {
            Response::new(200, "serving\n")
        } else {
            Response::new(503, "not serving\n")
        }
    }
}

impl Handler for OperatorEndpoint {
    fn handle(&self, request: Request) -> LocalFuture<'_, Response> {
        Box::pin(async move {
            match request.path.as_str() {
                Some(RPC_PATH) => self.handle_command(request).await,
                Some("/metrics") => {
                    Response::new(200, self.handler.metrics()).with("content-type", METRICS_TYPE)
                }
                Some("/healthz") => self.health(),
                _ => Response::new(404, ""),
            }
        })
    }
}

/// Content type of the metrics response.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
