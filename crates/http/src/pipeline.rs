//! Requests of one connection that have begun, in the order in which their responses are sent.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::Instant;

use crate::budget::BodyLimit;
use crate::{LocalFuture, Response};

/// Maximum number of requests of a connection that have begun and are unanswered.
const MAX_REQUESTS: usize = 16;
/// Size of requests and responses, in bytes, that a connection holds or expects before further
/// requests wait.
const MAX_BYTES: usize = 1024 * 1024;
/// Maximum size, in bytes, of all complete responses of a connection that wait for their turn.
const MAX_WAITING_BYTES: usize = 4 * 1024 * 1024;

/// A request that has begun, and what its response depends on.
pub(crate) struct PendingRequest<'a> {
    /// Source of the response.
    pub response: ResponseSource<'a>,
    /// Whether the connection can be reused after the response.
    pub keep_alive: bool,
    /// Whether the response has no body.
    pub bodiless: bool,
    /// Whether further requests may begin before the response.
    pub overlaps: bool,
    /// Size of the request in bytes.
    pub bytes: usize,
    /// Memory that the body of the request takes until the response has been sent.
    pub body: BodyLimit<'a>,
}

/// Source of a response.
pub(crate) enum ResponseSource<'a> {
    /// A request that runs as part of the connection's task.
    Inline(LocalFuture<'a, Response>),
    /// A request that runs as a task of its own behind others. It has no response if the response is
    /// too large to wait for its turn.
    Task(smol::Task<Option<Response>>),
    /// The response to a message that is not a complete request.
    Rejected(Response),
}

impl ResponseSource<'_> {
    /// Waits for the response.
    pub async fn wait(self) -> Option<Response> {
        match self {
            Self::Inline(handled) => Some(handled.await),
            Self::Task(task) => task.await,
            Self::Rejected(response) => Some(response),
        }
    }
}

/// Complete responses of a connection that wait for their turn.
#[derive(Debug, Default)]
pub(crate) struct WaitingResponses {
    bytes: Cell<usize>,
    /// Size of the largest response so far, in bytes.
    largest: Cell<usize>,
    /// Number of the request whose response is sent next.
    turn: Cell<u64>,
}

impl WaitingResponses {
    /// Handles request `number` and keeps its response, unless it is too large.
    pub async fn keep(
        self: Rc<Self>,
        number: u64,
        handled: impl Future<Output = Response>,
    ) -> Option<Response> {
        let response = handled.await;
        let bytes = response.body.len();
        self.largest.set(self.largest.get().max(bytes));
        let held = self.bytes.get() + bytes;
        if held > MAX_WAITING_BYTES && self.turn.get() != number {
            tracing::warn!(
                bytes,
                held,
                "http: A response is too large to wait for its turn."
            );
            return None;
        }
        self.bytes.set(held);
        Some(response)
    }
}

/// Requests of one connection that have begun. Its reader and its writer are parts of one task,
/// which polls both again after each change.
pub(crate) struct Pipeline<'a> {
    queue: RefCell<VecDeque<PendingRequest<'a>>>,
    /// Size of the request whose response is awaited or sent, in bytes.
    current: Cell<Option<usize>>,
    /// Number of the next request.
    next: Cell<u64>,
    /// Whether all unanswered requests may overlap others.
    overlaps: Cell<bool>,
    /// Size of the unanswered requests in bytes.
    request_bytes: Cell<usize>,
    waiting: Rc<WaitingResponses>,
    /// Whether the connection closes after the requests that have begun.
    closing: Cell<bool>,
    /// Whether a response is being sent.
    sending: Cell<bool>,
    /// Whether anything has changed since the last poll.
    changed: Cell<bool>,
    /// Time of the last response.
    idle_since: Cell<Instant>,
}

impl<'a> Pipeline<'a> {
    /// Creates an empty pipeline.
    pub fn open(now: Instant) -> Self {
        Self {
            queue: RefCell::default(),
            current: Cell::new(None),
            next: Cell::new(0),
            overlaps: Cell::new(true),
            request_bytes: Cell::new(0),
            waiting: Rc::default(),
            closing: Cell::new(false),
            sending: Cell::new(false),
            changed: Cell::new(false),
            idle_since: Cell::new(now),
        }
    }

    /// Returns whether all requests that have begun are answered.
    pub fn is_empty(&self) -> bool {
        self.unanswered() == 0
    }

    /// Returns the time of the last response.
    pub fn idle_since(&self) -> Instant {
        self.idle_since.get()
    }

    /// Returns whether a request of `bytes` bytes may begin now.
    pub fn has_room(&self, overlaps: bool, bytes: usize) -> bool {
        if self.closing.get() {
            return false;
        }
        let unanswered = self.unanswered();
        if unanswered == 0 {
            return true;
        }
        let expected = unanswered * self.waiting.largest.get();
        let held = self.request_bytes.get() + self.waiting.bytes.get() + expected;
        overlaps && self.overlaps.get() && unanswered < MAX_REQUESTS && held + bytes <= MAX_BYTES
    }

    /// Returns the number of the next request, and where its response waits for its turn.
    pub fn next_place(&self) -> (u64, Rc<WaitingResponses>) {
        (self.next.get(), Rc::clone(&self.waiting))
    }

    /// Appends a request that has begun. One that may not overlap begins only when none is unanswered,
    /// so the last one speaks for all.
    pub fn push(&self, request: PendingRequest<'a>) {
        self.next.set(self.next.get() + 1);
        self.overlaps.set(request.overlaps);
        self.closing.set(!request.keep_alive);
        self.request_bytes
            .set(self.request_bytes.get() + request.bytes);
        self.queue.borrow_mut().push_back(request);
        self.changed.set(true);
    }

    /// Waits for the next request to answer. Registers no waker: the session polls again after each
    /// change.
    pub async fn next(&self) -> PendingRequest<'a> {
        let request = poll_fn(|_| match self.queue.borrow_mut().pop_front() {
            Some(request) => Poll::Ready(request),
            None => Poll::Pending,
        });
        let request = request.await;
        self.current.set(Some(request.bytes));
        request
    }

    /// Notes that a response is about to be sent. Returns whether the connection stays open after
    /// it. A connection that is to `stop` closes after the last request that has begun.
    pub fn begin_send(&self, keep_alive: bool, stop: bool) -> bool {
        let keep_alive = keep_alive && !(stop && self.queue.borrow().is_empty());
        self.closing.set(self.closing.get() || !keep_alive);
        self.sending.set(true);
        keep_alive
    }

    /// Notes that the response to the present request has been sent.
    pub fn finish(&self, waited: bool, response_bytes: usize, now: Instant) {
        let waiting = &self.waiting;
        waiting.turn.set(waiting.turn.get() + 1);
        waiting
            .largest
            .set(waiting.largest.get().max(response_bytes));
        if waited {
            waiting.bytes.set(waiting.bytes.get() - response_bytes);
        }
        let answered = self.current.take().unwrap_or_default();
        self.request_bytes.set(self.request_bytes.get() - answered);
        self.sending.set(false);
        self.idle_since.set(now);
        self.changed.set(true);
    }

    /// Waits until a condition on the pipeline holds. Registers no waker: the session polls again after
    /// each change.
    pub async fn wait_until(&self, mut holds: impl FnMut(&Self) -> bool) {
        poll_fn(|_| {
            if holds(self) {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        })
        .await;
    }

    /// Completes once no response is partly sent.
    pub async fn sent(&self) {
        self.wait_until(|pipeline| !pipeline.sending.get()).await;
    }

    /// Lets the writer run once.
    pub async fn yield_to_writer(&self) {
        let mut yielded = false;
        self.wait_until(|_| std::mem::replace(&mut yielded, true))
            .await;
    }

    /// Returns whether anything has changed since the last call of this function.
    pub fn take_change(&self) -> bool {
        self.changed.take()
    }

    fn unanswered(&self) -> usize {
        self.queue.borrow().len() + usize::from(self.current.get().is_some())
    }
}
