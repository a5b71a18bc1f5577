//! Traffic threads. Each serves connections of all listeners on its own executor.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};

use filbertwheel_http::{Handler, Listener};
use smol::LocalExecutor;

/// A listener with the handler of its requests.
#[derive(Debug, Clone)]
pub(crate) struct Endpoint {
    pub listener: Listener,
    pub handler: Arc<dyn Handler>,
}

/// A running traffic thread.
#[derive(Debug)]
pub(crate) struct TrafficThread {
    thread: JoinHandle<()>,
}

impl TrafficThread {
    /// Starts a thread that serves the endpoints until their shutdown signal.
    pub fn spawn(index: usize, endpoints: Vec<Endpoint>) -> io::Result<Self> {
        let thread = Builder::new()
            .name(format!("traffic-{index}"))
            .spawn(move || {
                let executor = Rc::new(LocalExecutor::new());
                let running = endpoints.into_iter().map(|endpoint| {
                    executor.spawn(
                        endpoint
                            .listener
                            .run(Rc::clone(&executor), endpoint.handler),
                    )
                });
                let running: Vec<_> = running.collect();
                filbertwheel_runtime::block_on(executor.run(async {
                    for endpoint in running {
                        endpoint.await;
                    }
                }));
            })?;
        Ok(Self { thread })
    }

    /// Waits for the thread to end.
    pub fn join(self) {
        if self.thread.join().is_err() {
            tracing::error!("traffic: A traffic thread panicked.");
        }
    }
}
