//! HTTP client with a pool of connections.

use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertwheel_core::{Clock, Text, is_final_status};
use filbertwheel_runtime::TcpStream;
use futures_lite::{AsyncWriteExt as _, FutureExt as _};

use crate::budget::{BodyLimit, ReceiveBudget};
use crate::connection::Connection;
use crate::encode::Encoded;
use crate::head::{
    Framing, closes_connection, framing, is_connection_header, parse_response, push_header,
};
use crate::idle::IdleConnections;
use crate::options::{SendError, SendOptions, StallPolicy, TimeLeft};
use crate::{Limits, MessageError, Request, Response, configure_socket};

/// Number of progress intervals without a byte after which a connection counts as stalled.
const STALL_INTERVALS: u32 = 4;
/// Interim status of a server that waits for the body.
const CONTINUE: u16 = 100;
/// Interim status of a request that is still being processed.
const PROCESSING: u16 = 102;
/// Maximum number of `100 Continue` responses, and responses to other requests, before the response.
const MAX_SKIPPED_RESPONSES: usize = 16;
/// Share of the idle timeout announced by the server for which a connection is reused, in tenths.
/// The margin avoids sending a request while the server closes the connection.
const ANNOUNCED_IDLE_TENTHS: u32 = 7;

/// Pool of connections to one address. A connection carries one exchange at a time.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    limits: Limits,
    clock: Arc<dyn Clock>,
    idle: IdleConnections,
    receiving: ReceiveBudget,
}

/// A complete response, and whether and how long its connection can be reused.
struct ReceivedResponse {
    response: Response,
    keep_alive: bool,
    limit: Duration,
}

/// What the response to a request is recognised by.
struct Exchange<'a> {
    /// Whether the response has no body.
    bodiless: bool,
    /// Name and value of a header that it must echo.
    echo: Option<&'a (&'static str, Text)>,
    /// Whether the connection has carried earlier requests.
    reused: bool,
}

impl Exchange<'_> {
    /// Returns whether a response belongs to this request. Fails if that is unknown.
    fn is_answered_by(&self, response: &Response) -> Result<bool, MessageError> {
        let Some((name, value)) = self.echo else {
            return Ok(true);
        };
        match response.header(name) {
            Some(found) => Ok(found == value),
            None if self.reused => {
                tracing::warn!(
                    status = response.status,
                    "http: A response on a reused connection doesn't say which request it is for."
                );
                Err(MessageError::Malformed)
            }
            None => Ok(true),
        }
    }
}

impl Pool {
    /// Creates an empty pool. Connections are opened on demand.
    pub fn open(address: SocketAddr, limits: Limits, clock: Arc<dyn Clock>) -> Self {
        Self {
            address,
            limits,
            idle: IdleConnections::open(limits.idle_timeout, Arc::clone(&clock)),
            clock,
            receiving: ReceiveBudget::default(),
        }
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and returns the complete response. The connection is reused only after a
    /// complete response; dropping the future closes it.
    pub async fn exchange(
        &self,
        request: Request,
        deadline: Instant,
    ) -> Result<Response, SendError> {
        self.exchange_with(request, deadline, StallPolicy::Wait)
            .await
    }

    /// Sends a request with a policy for a connection that stalls while new connections succeed.
    pub async fn exchange_with(
        &self,
        request: Request,
        deadline: Instant,
        on_stall: StallPolicy,
    ) -> Result<Response, SendError> {
        let options = SendOptions {
            on_stall,
            ..SendOptions::until(deadline)
        };
        self.send(&request, &options).await
    }

    /// Sends a request with the given options.
    pub async fn send(
        &self,
        request: &Request,
        options: &SendOptions,
    ) -> Result<Response, SendError> {
        let (mut connection, used) = self.checkout(options).await?;
        // Opening a connection takes a part of the time that the server has.
        let encoded = self.encode(request, options.time_left)?;
        let exchange = Exchange {
            bodiless: request.method.as_bytes() == b"HEAD",
            echo: options.echo.as_ref(),
            reused: used,
        };
        let received = self.send_and_receive(&mut connection, &encoded, &exchange);
        let timeout = async {
            // The timers run one after the other, because each costs a system call.
            let watched = used && options.on_stall != StallPolicy::Ignore;
            let stalled = watched && self.is_stalled(options.deadline).await;
            if stalled && options.on_stall == StallPolicy::Abort {
                return Err(SendError::Lost);
            }
            self.sleep_until(options.deadline).await;
            Err(SendError::Late)
        };
        let received = received.or(timeout).await;
        let has_strays = match &received {
            Ok(received) => received.keep_alive && connection.has_strays(),
            Err(error) => used && *error == SendError::Broken,
        };
        if has_strays {
            self.idle.pause(self.address);
        }
        let received = received?;
        if received.keep_alive && !connection.has_buffered() {
            self.idle.put(connection, received.limit);
        }
        Ok(received.response)
    }

    /// Closes the pool with its idle connections.
    pub fn close(self) {
        drop(self);
    }

    /// Closes the idle connections, because a connection of the pool has stalled.
    pub fn discard_idle(&self) {
        self.idle.discard();
    }

    /// Waits for half of the time until the deadline, then checks whether a new connection can be
    /// opened. If so, the reused connection without a response is probably dead, and the idle
    /// connections are discarded too, because they are as old.
    async fn is_stalled(&self, deadline: Instant) -> bool {
        let left = deadline.saturating_duration_since(self.clock.now());
        self.clock.sleep(left / 2).await;
        let probe = self.connect(deadline).await;
        if probe.is_ok() {
            self.discard_idle();
        }
        probe.is_ok()
    }

    fn encode(&self, request: &Request, time_left: Option<TimeLeft>) -> Result<Encoded, SendError> {
        let mut bytes = Vec::with_capacity(512 + Encoded::copied_len(&request.body));
        let is_graphic =
            |text: &Text| !text.is_empty() && text.as_bytes().iter().all(u8::is_ascii_graphic);
        if !is_graphic(&request.method) || !is_graphic(&request.path) {
            return Err(SendError::Unencodable);
        }
        bytes.extend_from_slice(request.method.as_bytes());
        bytes.push(b' ');
        bytes.extend_from_slice(request.path.as_bytes());
        bytes.extend_from_slice(b" HTTP/1.1\r\n");
        let mut push = |name: &[u8], value: &[u8]| {
            let pushed = push_header(&mut bytes, name, value);
            pushed.then_some(()).ok_or(SendError::Unencodable)
        };
        if request.header("host").is_none() {
            push(b"host", self.address.to_string().as_bytes())?;
        }
        if let Some(TimeLeft { header, until }) = time_left {
            let left = until.saturating_duration_since(self.clock.now());
            push(header.as_bytes(), left.as_millis().to_string().as_bytes())?;
        }
        for header in &request.headers {
            if !is_connection_header(header.name.as_bytes()) {
                push(header.name.as_bytes(), header.value.as_bytes())?;
            }
        }
        let may_omit_length = matches!(request.method.as_bytes(), b"GET" | b"HEAD" | b"DELETE");
        if !request.body.is_empty() || !may_omit_length {
            push(b"content-length", request.body.len().to_string().as_bytes())?;
        }
        bytes.extend_from_slice(b"\r\n");
        Ok(Encoded::with_body(bytes, &request.body))
    }

    /// Returns an open connection, and whether it has been used before.
    async fn checkout(&self, options: &SendOptions) -> Result<(Connection, bool), SendError> {
        while let Some(connection) = self.idle.take(options.idle) {
            if connection.stream().is_idle() {
                return Ok((connection, true));
            }
        }
        let connection = self.connect(options.deadline).await;
        Ok((connection.map_err(|_| SendError::NotSent)?, false))
    }

    async fn connect(&self, deadline: Instant) -> io::Result<Connection> {
        let opened = async {
            let stream = TcpStream::connect(self.address).await?;
            configure_socket(&stream);
            let mut connection = Connection::open(stream)?;
            if let Some(interval) = self.limits.progress_interval {
                connection.expect_progress(interval * STALL_INTERVALS, Arc::clone(&self.clock));
            }
            Ok(connection)
        };
        let timeout = async {
            let now = self.clock.now();
            let wait = self
                .limits
                .connect_timeout
                .min(deadline.saturating_duration_since(now));
            self.clock.sleep(wait).await;
            Err(io::Error::from(io::ErrorKind::TimedOut))
        };
        opened.or(timeout).await
    }

    /// Sends a request and reads the response, which may arrive before the request is sent in full.
    async fn send_and_receive(
        &self,
        connection: &mut Connection,
        encoded: &Encoded,
        exchange: &Exchange<'_>,
    ) -> Result<ReceivedResponse, SendError> {
        let mut stream = connection.stream().clone();
        let mut written = None;
        let write = async {
            let mut done = stream.write_all(&encoded.start).await;
            if done.is_ok() {
                done = stream.write_all(&encoded.rest).await;
            }
            written = Some(done.is_ok());
            // The server may respond and close the connection before it has read the whole request.
            std::future::pending().await
        };
        let received = self.receive(connection, exchange).or(write).await;
        if connection.is_stalled() {
            self.discard_idle();
        }
        match received {
            Ok(Some(mut received)) => {
                received.keep_alive &= written == Some(true);
                Ok(received)
            }
            Ok(None) => Err(SendError::Lost),
            Err(_) if connection.is_stalled() => Err(SendError::Lost),
            Err(_) if written == Some(false) => Err(SendError::Lost),
            Err(_) => Err(SendError::Broken),
        }
    }

    /// Reads the response. Returns `None` if the server closed the connection before its first
    /// byte.
    async fn receive(
        &self,
        connection: &mut Connection,
        exchange: &Exchange<'_>,
    ) -> Result<Option<ReceivedResponse>, MessageError> {
        let bodiless = exchange.bodiless;
        let (mut discarded, mut interim) = (false, false);
        let mut skipped = 0;
        while skipped < MAX_SKIPPED_RESPONSES {
            let Some(head) = connection.read_head(self.limits.head_bytes).await? else {
                return if interim {
                    Err(MessageError::Truncated)
                } else {
                    Ok(None)
                };
            };
            let head = parse_response(head)?;
            if head.line < 200 {
                let is_progress =
                    head.line == PROCESSING && self.limits.progress_interval.is_some();
                if is_progress || head.line == CONTINUE {
                    skipped += usize::from(!is_progress);
                    interim = true;
                    continue;
                }
                return Err(MessageError::Malformed);
            }
            if !is_final_status(head.line) {
                return Err(MessageError::Malformed);
            }
            let framing = framing(&head.headers)?;
            let body = self.read_body(
                connection,
                framing,
                bodiless || matches!(head.line, 204 | 304),
            );
            let body = body.await?;
            let open =
                framing == Framing::UntilClose && !bodiless && !matches!(head.line, 204 | 304);
            let keep_alive = !open && !discarded && !closes_connection(&head.headers);
            let limit = announced_idle_limit(&head.headers);
            let response = Response {
                status: head.line,
                headers: head.headers,
                body,
            };
            if !exchange.is_answered_by(&response)? {
                tracing::warn!("http: Discarded a response that belongs to another request.");
                discarded = true;
                skipped += 1;
                continue;
            }
            let mut response = response;
            response
                .headers
                .retain(|header| !is_connection_header(header.name.as_bytes()));
            return Ok(Some(ReceivedResponse {
                response,
                keep_alive,
                limit,
            }));
        }
        Err(MessageError::Malformed)
    }

    async fn read_body(
        &self,
        connection: &mut Connection,
        framing: Framing,
        bodiless: bool,
    ) -> Result<bytes::Bytes, MessageError> {
        let mut limit = BodyLimit::open(self.limits.body_bytes)
            .with_budget(&self.receiving, self.limits.total_bytes);
        match framing {
            _ if bodiless => Ok(bytes::Bytes::new()),
            Framing::Length(len) if !limit.allows(len) => Err(MessageError::BodyTooLarge),
            Framing::Length(len) => connection.read_body(len, &mut limit).await,
            Framing::Chunked => connection.read_chunked(&mut limit).await,
            Framing::UntilClose => connection.read_to_end(&mut limit).await,
        }
    }

    async fn sleep_until(&self, deadline: Instant) {
        self.clock
            .sleep(deadline.saturating_duration_since(self.clock.now()))
            .await;
    }
}

/// Idle timeout announced by the server in seconds (`Keep-Alive: timeout=5`), less a margin.
fn announced_idle_limit(headers: &[filbertwheel_core::Header]) -> Duration {
    let mut lines = headers.iter();
    let line = lines.find(|header| header.name.as_bytes() == b"keep-alive");
    let seconds = line.and_then(|header| {
        let mut parameters = header.value.as_str()?.split(',');
        let timeout = parameters.find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.trim().parse::<u32>().ok()
    });
    seconds.map_or(Duration::MAX, |seconds| {
        Duration::from_secs(seconds.into()) * ANNOUNCED_IDLE_TENTHS / 10
    })
}
