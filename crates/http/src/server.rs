//! HTTP server.

use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use filbertwheel_core::{Clock, SleepFuture};
use filbertwheel_runtime::{TcpListener, TcpStream};
use futures_lite::{AsyncWriteExt as _, FutureExt as _};
use smol::LocalExecutor;

use crate::budget::BodyLimit;
use crate::connection::Connection;
use crate::head::{
    Framing, closes_connection, framing, is_connection_header, parse_request, push_header,
};
use crate::{Limits, MessageError, Request, Response, ShutdownSignal};

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

    /// Returns the response to a message that is not a complete request.
    fn reject(&self, error: MessageError) -> Response {
        Response::new(error_status(error), error.to_string())
    }
}

/// Bound listener. Clones share the socket, so that each traffic thread runs its own clone.
#[derive(Debug, Clone)]
pub struct Listener {
    socket: TcpListener,
    address: SocketAddr,
    limits: Limits,
    clock: Arc<dyn Clock>,
    shutdown: ShutdownSignal,
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
        executor: &LocalExecutor<'static>,
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
        executor: &LocalExecutor<'static>,
        handler: &Arc<dyn Handler>,
    ) -> Option<smol::Task<()>> {
        let sender = stream.peer_addr().ok()?;
        let connection = ServerConnection {
            sender,
            conn: Connection::open(stream).ok()?,
            timer: self.clock.sleep(self.limits.idle_timeout),
            limits: self.limits,
            clock: Arc::clone(&self.clock),
            shutdown: self.shutdown.clone(),
            handler: Arc::clone(handler),
        };
        Some(executor.spawn(connection.serve()))
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
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(50);

/// Maximum number of bytes of pipelined requests read while a request is being handled.
const MAX_READ_AHEAD: usize = 64 * 1024;
/// Interim response that lets the client send the body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Interim response for a request that is still being processed.
const PROCESSING: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";

struct ServerConnection {
    sender: SocketAddr,
    conn: Connection,
    timer: SleepFuture,
    limits: Limits,
    clock: Arc<dyn Clock>,
    shutdown: ShutdownSignal,
    handler: Arc<dyn Handler>,
}

/// A complete request, with the properties that its response depends on.
struct ReceivedRequest {
    request: Request,
    keep_alive: bool,
    bodiless: bool,
}

impl ServerConnection {
    /// Serves requests until either end closes the connection.
    async fn serve(mut self) {
        while self.has_next().await {
            if !self.serve_one().await {
                return;
            }
        }
    }

    /// Waits for the first byte of the next request. Returns `false` if the connection is to be
    /// closed instead.
    async fn has_next(&mut self) -> bool {
        if self.conn.has_buffered() {
            return true;
        }
        self.limits = self.handler.limits(self.limits);
        let (clock, limits, shutdown) = (&self.clock, self.limits, &self.shutdown);
        let since = clock.now();
        let arrived = async { matches!(self.conn.fill().await, Ok(true)) };
        // One timer serves many requests, because each timer costs a system call.
        let idle = async {
            loop {
                (&mut self.timer).await;
                let idle = clock.now().saturating_duration_since(since);
                if idle >= limits.idle_timeout {
                    return false;
                }
                self.timer = clock.sleep(limits.idle_timeout - idle);
            }
        };
        let stopped = async {
            shutdown.wait().await;
            clock.sleep(limits.drain_time).await;
            false
        };
        arrived.or(idle).or(stopped).await
    }

    /// Serves one request. Returns whether the connection can be reused.
    async fn serve_one(&mut self) -> bool {
        match self.receive().await {
            Ok(None) => false,
            Ok(Some(received)) => self.answer(received).await,
            Err(error) => self.send(self.handler.reject(error), false, false).await,
        }
    }

    async fn receive(&mut self) -> Result<Option<ReceivedRequest>, MessageError> {
        let timeout = timed_out(&self.clock, self.limits.head_timeout);
        let Some(head) = self
            .conn
            .read_head(self.limits.head_bytes)
            .or(timeout)
            .await?
        else {
            return Ok(None);
        };
        let head = parse_request(head)?;
        let has = |name: &[u8]| head.headers.iter().any(|line| line.name.as_bytes() == name);
        if !has(b"host") {
            return Err(MessageError::Malformed);
        }
        let framing = framing(&head.headers)?;
        if matches!(framing, Framing::Length(length) if length > self.limits.body_bytes) {
            return Err(MessageError::BodyTooLarge);
        }
        if has(b"expect") && self.conn.write(CONTINUE).await.is_err() {
            return Ok(None);
        }
        let timeout = timed_out(&self.clock, self.limits.body_timeout);
        let limit = BodyLimit::open(self.limits.body_bytes);
        let body = match framing {
            Framing::Length(length) => self.conn.read_body(length, limit).or(timeout).await?,
            Framing::Chunked => self.conn.read_chunked(limit).or(timeout).await?,
            Framing::UntilClose => Bytes::new(),
        };
        let keep_alive = !closes_connection(&head.headers);
        let bodiless = head.line.method.as_bytes() == b"HEAD";
        let request = Request {
            method: head.line.method,
            path: head.line.path,
            headers: head.headers,
            body,
        };
        Ok(Some(ReceivedRequest {
            request: request.without_connection_headers(),
            keep_alive,
            bodiless,
        }))
    }

    async fn answer(&mut self, received: ReceivedRequest) -> bool {
        let stream = self.conn.stream().clone();
        let handler = Arc::clone(&self.handler);
        let handled = handler.handle_from(received.request, self.sender);
        let answered = async { Some(handled.await) };
        let report_progress = report_progress(
            stream,
            self.limits.progress_interval,
            Arc::clone(&self.clock),
        );
        let peer_closed = peer_closed(&mut self.conn);
        let Some(response) = answered.or(peer_closed).or(report_progress).await else {
            return false;
        };
        let keep_alive = received.keep_alive && !self.shutdown.is_triggered();
        self.send(response, received.bodiless, keep_alive).await
    }

    /// Sends head and body in one write. Returns whether the connection can be reused.
    async fn send(&mut self, response: Response, bodiless: bool, keep_alive: bool) -> bool {
        let encoded = encode(&response, bodiless, keep_alive);
        let (clock, limit) = (Arc::clone(&self.clock), self.limits.head_timeout);
        let sent = async { self.conn.write(&encoded).await.is_ok() };
        let timeout = async {
            clock.sleep(limit).await;
            false
        };
        sent.or(timeout).await && keep_alive
    }
}

/// Fails with `TimedOut` after a time limit.
fn timed_out<T>(
    clock: &Arc<dyn Clock>,
    limit: std::time::Duration,
) -> impl Future<Output = Result<T, MessageError>> + use<T> {
    let clock = Arc::clone(clock);
    async move {
        clock.sleep(limit).await;
        Err(MessageError::TimedOut)
    }
}

/// Completes once the client has closed the connection. Pipelined requests that arrive in the
/// meantime stay buffered.
async fn peer_closed(connection: &mut Connection) -> Option<Response> {
    while connection.buffered_len() < MAX_READ_AHEAD {
        if !matches!(connection.fill().await, Ok(true)) {
            return None;
        }
    }
    std::future::pending().await
}

/// Sends `102 Processing` at each interval. Completes when sending fails.
async fn report_progress(
    mut stream: TcpStream,
    interval: Option<std::time::Duration>,
    clock: Arc<dyn Clock>,
) -> Option<Response> {
    let Some(interval) = interval else {
        return std::future::pending().await;
    };
    loop {
        clock.sleep(interval).await;
        stream.write_all(PROCESSING).await.ok()?;
    }
}

fn encode(response: &Response, bodiless: bool, keep_alive: bool) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256 + response.body.len());
    bytes.extend_from_slice(b"HTTP/1.1 ");
    bytes.extend_from_slice(response.status.to_string().as_bytes());
    bytes.push(b' ');
    bytes.extend_from_slice(reason_phrase(response.status).as_bytes());
    bytes.extend_from_slice(b"\r\n");
    for header in &response.headers {
        let name = header.name.as_bytes();
        if !is_connection_header(name) && !push_header(&mut bytes, name, header.value.as_bytes()) {
            tracing::warn!(
                "http: Omitted a header whose value contains a line break or a null byte."
            );
        }
    }
    // Responses with these statuses have neither a body nor a length.
    if !matches!(response.status, 204 | 304) {
        let length = response.body.len().to_string();
        push_header(&mut bytes, b"content-length", length.as_bytes());
    }
    if !keep_alive {
        push_header(&mut bytes, b"connection", b"close");
    }
    bytes.extend_from_slice(b"\r\n");
    if !bodiless && !matches!(response.status, 204 | 304) {
        bytes.extend_from_slice(&response.body);
    }
    bytes
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

fn error_status(error: MessageError) -> u16 {
    match error {
        MessageError::Malformed | MessageError::Ambiguous | MessageError::Truncated => 400,
        MessageError::TimedOut => 408,
        MessageError::HeadTooLarge => 431,
        MessageError::BodyTooLarge => 413,
    }
}
