//! HTTP server.

use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;

use filbertwheel_core::{Clock, copy_value};
use filbertwheel_runtime::{TcpListener, TcpStream};
use futures_lite::FutureExt as _;
use smol::LocalExecutor;

use crate::budget::ReceiveBudget;
use crate::connection::Connection;
use crate::session::Session;
use crate::{Limits, MessageError, Request, Response, ShutdownSignal, names};

/// Future that stays on its traffic thread.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Handles the requests of one listener.
pub trait Handler: Debug + Send + Sync {
    /// Handles a complete request. The future is dropped if the client closes the connection.
    fn handle(&self, request: Request) -> LocalFuture<'_, Response>;

    /// Handles a complete request from the client at `sender`.
    fn handle_from(&self, request: Request, _sender: SocketAddr) -> LocalFuture<'_, Response> {
        self.handle(request)
    }

    /// Returns the limits currently in force, given the listener's own.
    fn limits(&self, defaults: Limits) -> Limits {
        defaults
    }

    /// Returns whether a request, whose body has not been read, may run beside others of its
    /// connection. It may then be cancelled after it has begun, and its client sends it again.
    fn may_overlap(&self, _request: &Request) -> bool {
        false
    }

    /// Records what happened on a connection.
    fn record(&self, _event: ServerEvent) {}

    /// Returns the response to a message that is not a complete request.
    fn reject(&self, error: MessageError) -> Response {
        let response = Response::new(error_status(error), error.to_string());
        match error {
            MessageError::NoMemory => response.with(names::RETRY_AFTER, MEMORY_RETRY_AFTER_S),
            _ => response,
        }
    }
}

/// What a listener reports to its handler.
#[copy_value]
pub enum ServerEvent {
    /// A request has begun before an earlier one of its connection was answered.
    Overlapped,
    /// A request was refused because the bodies of others take up the memory for bodies.
    BodyRefused,
}

/// Bound listener. Clones share the socket, so that each traffic thread runs its own clone.
#[derive(Debug, Clone)]
pub struct Listener {
    socket: TcpListener,
    address: SocketAddr,
    limits: Limits,
    clock: Arc<dyn Clock>,
    shutdown: ShutdownSignal,
    bodies: Arc<ReceiveBudget>,
}

impl Listener {
    /// Binds an address. Fails with the operating system's error.
    pub async fn bind(
        address: SocketAddr,
        limits: Limits,
        clock: Arc<dyn Clock>,
        shutdown: ShutdownSignal,
    ) -> io::Result<Self> {
        let socket = TcpListener::bind(address)?;
        let address = socket.local_addr()?;
        Ok(Self {
            socket,
            address,
            limits,
            clock,
            shutdown,
            bodies: Arc::default(),
        })
    }

    /// Returns the bound address, with the port that the operating system chose.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts connections and serves them on `executor`. Returns once the shutdown signal is
    /// triggered and the last connection has ended.
    pub async fn run(mut self, executor: Rc<LocalExecutor<'static>>, handler: Arc<dyn Handler>) {
        // Registers the socket with the reactor of the thread that serves it.
        match self.socket.register_clone() {
            Ok(socket) => self.socket = socket,
            Err(error) => tracing::error!("http: Cannot register the listener: {error}."),
        }
        let tasks = self.accept_all(&executor, &handler).await;
        // Closes the socket before the open connections end, so that new clients are refused at
        // once. In the backlog of an open socket they would wait and then be reset.
        drop(self);
        for task in tasks {
            task.await;
        }
    }

    async fn accept_all(
        &self,
        executor: &Rc<LocalExecutor<'static>>,
        handler: &Arc<dyn Handler>,
    ) -> Vec<smol::Task<()>> {
        let mut tasks = Vec::new();
        let mut stopped = pin!(self.shutdown.wait());
        while let Some(stream) = self.accept(stopped.as_mut()).await {
            tasks.retain(|task: &smol::Task<()>| !task.is_finished());
            tasks.extend(self.serve(stream, executor, handler));
        }
        // Connections that are still in the backlog would be reset with the socket.
        for _ in 0..MAX_BACKLOG {
            let Some(stream) = self.socket.try_accept() else {
                break;
            };
            tasks.extend(self.serve(stream, executor, handler));
        }
        tasks
    }

    fn serve(
        &self,
        stream: TcpStream,
        executor: &Rc<LocalExecutor<'static>>,
        handler: &Arc<dyn Handler>,
    ) -> Option<smol::Task<()>> {
        let sender = stream.peer_addr().ok()?;
        let session = Session {
            sender,
            conn: Connection::open(stream).ok()?,
            timer: self.clock.sleep(self.limits.idle_timeout),
            limits: self.limits,
            clock: Arc::clone(&self.clock),
            shutdown: self.shutdown.clone(),
            handler: Arc::clone(handler),
            executor: Rc::clone(executor),
            bodies: Arc::clone(&self.bodies),
        };
        Some(executor.spawn(session.serve()))
    }

    /// Accepts a connection, unless `stopped` completes first. New clients are refused from then on;
    /// those with a connection learn of the stop by the next response.
    async fn accept(&self, mut stopped: Pin<&mut impl Future<Output = ()>>) -> Option<TcpStream> {
        loop {
            let accepted = async { Some(self.socket.accept().await) };
            let stopped = async {
                stopped.as_mut().await;
                None
            };
            match stopped.or(accepted).await? {
                Ok((stream, _)) => return Some(stream),
                Err(error) => {
                    tracing::warn!("http: Cannot accept a connection: {error}.");
                    self.clock.sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Maximum number of backlog connections that are accepted when a listener shuts down.
const MAX_BACKLOG: usize = 1_024;
/// `retry-after` of a request that is refused for want of memory, in seconds.
const MEMORY_RETRY_AFTER_S: &str = "1";
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(50);

fn error_status(error: MessageError) -> u16 {
    match error {
        MessageError::Malformed | MessageError::Ambiguous | MessageError::Truncated => 400,
        MessageError::TimedOut => 408,
        MessageError::HeadTooLarge => 431,
        MessageError::BodyTooLarge => 413,
        MessageError::NoMemory => 503,
    }
}
