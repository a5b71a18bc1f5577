//! The reading part of a connection of a server.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use filbertwheel_core::{Clock, SleepFuture};
use futures_lite::FutureExt as _;
use smol::LocalExecutor;

use crate::budget::{BodyLimit, ReceiveBudget};
use crate::connection::Connection;
use crate::head::{Framing, closes_connection, framing, parse_request};
use crate::pipeline::{PendingRequest, Pipeline, ResponseSource};
use crate::{Handler, Limits, MessageError, Request, ServerEvent, ShutdownSignal};

/// Maximum number of bytes that are read ahead of requests that wait for their turn.
const MAX_READ_AHEAD: usize = 64 * 1024;
/// Interim response that lets the client send the body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Reads the requests of a connection and begins them.
pub(crate) struct Reader<'a, 'h> {
    /// Address of the client.
    pub sender: SocketAddr,
    /// The connection.
    pub conn: &'a mut Connection,
    /// Timer of the idle timeout.
    pub timer: SleepFuture,
    /// Where requests are appended that have begun.
    pub pipeline: &'a Pipeline<'h>,
    /// Limits in force.
    pub limits: &'a Cell<Limits>,
    /// Clock of the listener.
    pub clock: &'a Arc<dyn Clock>,
    /// Triggered when the listener stops.
    pub shutdown: &'a ShutdownSignal,
    /// Handles the requests.
    pub handler: &'h Arc<dyn Handler>,
    /// Runs requests that overlap others.
    pub executor: &'a Rc<LocalExecutor<'static>>,
    /// Memory for the bodies of all requests of the listener.
    pub bodies: &'h ReceiveBudget,
}

/// A complete request, with the properties that its response depends on.
struct ReceivedRequest<'h> {
    request: Request,
    keep_alive: bool,
    bodiless: bool,
    overlaps: bool,
    bytes: usize,
    body: BodyLimit<'h>,
}

impl<'h> Reader<'_, 'h> {
    /// Begins requests until the connection is to be closed. Behind a request that closes it, only
    /// watches whether the client leaves.
    pub async fn run(mut self) {
        while self.has_next().await {
            let keep_alive = match self.receive().await {
                Ok(Some(received)) => self.begin(received),
                Ok(None) => break,
                // The client has left, or it would have waited for the responses.
                Err(MessageError::Truncated) if !self.pipeline.is_empty() => break,
                Err(error) => self.reject(error),
            };
            // A request that is answered at once is answered before the next one is read.
            self.pipeline.yield_to_writer().await;
            if !keep_alive {
                self.client_left().await;
                break;
            }
        }
        self.pipeline.sent().await;
    }

    /// Waits for the first byte of the next request. Returns `false` if the connection is to be
    /// closed instead.
    async fn has_next(&mut self) -> bool {
        if self.conn.has_buffered() {
            return true;
        }
        self.limits.set(self.handler.limits(self.limits.get()));
        let (clock, limits, shutdown) = (self.clock, self.limits.get(), self.shutdown);
        let pipeline = self.pipeline;
        let arrived = async { matches!(self.conn.fill().await, Ok(true)) };
        // One timer serves many requests, because each timer costs a system call.
        let idle = async {
            pipeline.wait_until(Pipeline::is_empty).await;
            loop {
                (&mut self.timer).await;
                let idle = clock.now().saturating_duration_since(pipeline.idle_since());
                if idle >= limits.idle_timeout {
                    return false;
                }
                self.timer = clock.sleep(limits.idle_timeout - idle);
            }
        };
        let stopped = async {
            pipeline.wait_until(Pipeline::is_empty).await;
            shutdown.wait().await;
            clock.sleep(limits.drain_time).await;
            false
        };
        arrived.or(idle).or(stopped).await
    }

    /// Reads a request once it may begin. Returns `None` if the client has left.
    async fn receive(&mut self) -> Result<Option<ReceivedRequest<'h>>, MessageError> {
        let limits = self.limits.get();
        let timeout = timed_out(self.clock, limits.head_timeout);
        let Some(head) = self.conn.read_head(limits.head_bytes).or(timeout).await? else {
            return Ok(None);
        };
        let head_bytes = head.len();
        let head = parse_request(head)?;
        let has = |name: &[u8]| head.headers.iter().any(|line| line.name.as_bytes() == name);
        if !has(b"host") {
            return Err(MessageError::Malformed);
        }
        let framing = framing(&head.headers)?;
        let mut body =
            BodyLimit::open(limits.body_bytes).with_budget(self.bodies, limits.total_bytes);
        body.check_length(known_length(framing))?;
        let expects_continue = has(b"expect");
        let keep_alive = !closes_connection(&head.headers);
        let bodiless = head.line.method.as_bytes() == b"HEAD";
        let request = Request {
            method: head.line.method,
            path: head.line.path,
            headers: head.headers,
            body: Bytes::new(),
        };
        let mut request = request.without_connection_headers();
        // An interim response can't be sent before the responses to earlier requests.
        let overlaps = !expects_continue && self.handler.may_overlap(&request);
        let bytes = head_bytes + known_length(framing);
        let overlaps = overlaps && framing != Framing::Chunked;
        if !self.has_turn(overlaps, bytes).await {
            return Ok(None);
        }
        if expects_continue && self.conn.write(CONTINUE).await.is_err() {
            return Ok(None);
        }
        request.body = self.read_body(framing, limits, &mut body).await?;
        // The listener may have begun to stop while the body arrived.
        if !self.has_turn(overlaps, bytes).await {
            return Ok(None);
        }
        Ok(Some(ReceivedRequest {
            request,
            keep_alive,
            bodiless,
            overlaps,
            bytes,
            body,
        }))
    }

    async fn read_body(
        &mut self,
        framing: Framing,
        limits: Limits,
        limit: &mut BodyLimit<'_>,
    ) -> Result<Bytes, MessageError> {
        let timeout = timed_out(self.clock, limits.body_timeout);
        match framing {
            Framing::Length(length) => self.conn.read_body(length, limit).or(timeout).await,
            Framing::Chunked => self.conn.read_chunked(limit).or(timeout).await,
            Framing::UntilClose => Ok(Bytes::new()),
        }
    }

    /// Waits until a request may begin. Returns `false` if the client leaves before that.
    async fn has_turn(&mut self, overlaps: bool, bytes: usize) -> bool {
        let (pipeline, shutdown) = (self.pipeline, self.shutdown);
        let has_room = |pipeline: &Pipeline<'_>| {
            let stops = shutdown.is_triggered() && !pipeline.is_empty();
            !stops && pipeline.has_room(overlaps, bytes)
        };
        let room = async {
            pipeline.wait_until(has_room).await;
            true
        };
        let left = async {
            self.client_left().await;
            false
        };
        room.or(left).await
    }

    /// Completes once the client has closed the connection. What arrives until then stays buffered.
    async fn client_left(&mut self) {
        while self.conn.buffered_len() < MAX_READ_AHEAD {
            if !matches!(self.conn.fill().await, Ok(true)) {
                return;
            }
        }
        std::future::pending().await
    }

    /// Begins a request. Returns whether further ones may follow it.
    fn begin(&mut self, received: ReceivedRequest<'h>) -> bool {
        let (request, sender) = (received.request, self.sender);
        let answer = if self.pipeline.is_empty() {
            ResponseSource::Inline(self.handler.handle_from(request, sender))
        } else {
            self.handler.record(ServerEvent::Overlapped);
            let handler = Arc::clone(self.handler);
            let handled = async move { handler.handle_from(request, sender).await };
            let (number, waiting) = self.pipeline.next_place();
            ResponseSource::Task(self.executor.spawn(waiting.keep(number, handled)))
        };
        self.pipeline.push(PendingRequest {
            response: answer,
            keep_alive: received.keep_alive,
            bodiless: received.bodiless,
            overlaps: received.overlaps,
            bytes: received.bytes,
            body: received.body,
        });
        received.keep_alive
    }

    /// Responds to a message that is not a complete request, as the last one of the connection.
    fn reject(&mut self, error: MessageError) -> bool {
        if error == MessageError::NoMemory {
            tracing::info!(
                held = self.bodies.held(),
                total = self.limits.get().total_bytes,
                "http: Refused a request for want of memory for its body."
            );
            self.handler.record(ServerEvent::BodyRefused);
        }
        self.pipeline.push(PendingRequest {
            response: ResponseSource::Rejected(self.handler.reject(error)),
            keep_alive: false,
            bodiless: false,
            overlaps: false,
            bytes: 0,
            body: BodyLimit::open(0),
        });
        false
    }
}

/// Returns the length of a body, as far as the head states it.
fn known_length(framing: Framing) -> usize {
    match framing {
        Framing::Length(length) => length,
        Framing::Chunked | Framing::UntilClose => 0,
    }
}

/// Fails with `TimedOut` after a time limit.
fn timed_out<T>(
    clock: &Arc<dyn Clock>,
    limit: Duration,
) -> impl Future<Output = Result<T, MessageError>> + use<T> {
    let clock = Arc::clone(clock);
    async move {
        clock.sleep(limit).await;
        Err(MessageError::TimedOut)
    }
}
