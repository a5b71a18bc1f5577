//! Listeners of a node: those of its front end, and the one of its metrics.

use std::net::SocketAddr;
use std::sync::Arc;

use filbertwheel_core::{Clock, Text};
use filbertwheel_http::{
    Handler, Limits, Listener, LocalFuture, Request, Response, ShutdownSignal,
};

use crate::engine::Engine;
use crate::node::NodeError;
use crate::settings::EngineSettings;
use crate::traffic::BoundListener;

/// A listener that a front end needs, with the handler of its requests.
#[derive(Debug)]
pub struct ListenerSpec {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Limits of its connections.
    pub limits: Limits,
    /// Handler of its requests.
    pub handler: Arc<dyn Handler>,
}

/// Creates the listeners of a front end for an engine.
pub type ListenerFactory = Box<dyn FnOnce(&Arc<Engine>) -> Vec<ListenerSpec>>;

/// Binds the listeners of a front end and the one of the metrics.
pub(crate) async fn bind_all(
    specs: Vec<ListenerSpec>,
    settings: &EngineSettings,
    engine: &Arc<Engine>,
    clock: &Arc<dyn Clock>,
    shutdown_signal: &ShutdownSignal,
) -> Result<Vec<BoundListener>, NodeError> {
    let metrics = ListenerSpec {
        address: settings.listen.metrics,
        limits: Limits::default(),
        handler: Arc::new(MetricsEndpoint(Arc::clone(engine))),
    };
    let mut listeners = Vec::new();
    for spec in specs.into_iter().chain([metrics]) {
        listeners.push(bind(spec, clock, shutdown_signal).await?);
    }
    Ok(listeners)
}

async fn bind(
    spec: ListenerSpec,
    clock: &Arc<dyn Clock>,
    shutdown_signal: &ShutdownSignal,
) -> Result<BoundListener, NodeError> {
    let ListenerSpec {
        address,
        limits,
        handler,
    } = spec;
    let listener =
        Listener::bind(address, limits, Arc::clone(clock), shutdown_signal.clone()).await;
    let listener = listener.map_err(|source| NodeError::Bind { address, source })?;
    Ok(BoundListener { listener, handler })
}

/// Endpoint of the metrics and the status document.
#[derive(Debug)]
struct MetricsEndpoint(Arc<Engine>);

impl Handler for MetricsEndpoint {
    fn handle(&self, request: Request) -> LocalFuture<'_, Response> {
        Box::pin(async move {
            match request.path_only() {
                b"/metrics" => Response::new(200, self.0.metrics_text()),
                b"/status" => Response::new(200, self.0.status_text())
                    .with("content-type", Text::from_static("application/json")),
                _ => Response::new(404, ""),
            }
        })
    }
}
