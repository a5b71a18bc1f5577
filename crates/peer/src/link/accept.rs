//! Accepting side of a link.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf as _, BytesMut};
use filbertwheel_core::{
    Attempt, Clock, FleetSecret, InstanceNotice, Refusal, RefusalKind, RulesStamp, VmId,
};
use filbertwheel_http::{ShutdownSignal, configure_socket};
use filbertwheel_policy::StopWindow;
use filbertwheel_runtime::{TcpListener, TcpStream};
use futures_lite::FutureExt as _;
use smol::{LocalExecutor, Task};

use super::calls::ReceivedCalls;
use super::fill_buffer;
use super::frame::{CorrelationId, Frame, MAX_FRAME_BYTES, MAX_HELLO_BYTES, VerdictHead};
use super::is_valid_signature;
use super::memory::{CallMemory, HeldMemory};
use super::outbox::Outbox;
use super::{Filled, LinkEvent, LinkHandler, NodeProcess, ReplyHandle};

/// Time without incoming bytes, or without a complete hello, after which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Listener for links that other nodes open.
#[derive(Debug, Clone)]
pub struct LinkEndpoint {
    socket: TcpListener,
    handler: Arc<dyn LinkHandler>,
    secret: FleetSecret,
    clock: Arc<dyn Clock>,
    shutdown: ShutdownSignal,
    memory: CallMemory,
}

impl LinkEndpoint {
    /// Binds the listener. Fails with the operating system's error.
    pub async fn bind(
        address: SocketAddr,
        handler: Arc<dyn LinkHandler>,
        secret: FleetSecret,
        clock: Arc<dyn Clock>,
        shutdown: ShutdownSignal,
    ) -> io::Result<Self> {
        Ok(Self {
            socket: TcpListener::bind(address)?,
            handler,
            secret,
            clock,
            shutdown,
            memory: CallMemory::default(),
        })
    }

    /// Returns the bound address. Fails with the operating system's error.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Accepts and serves links until the shutdown signal.
    pub async fn run(mut self, executor: Rc<LocalExecutor<'static>>) {
        // Registers the socket with the reactor of the thread that serves it.
        match self.socket.register_clone() {
            Ok(socket) => self.socket = socket,
            Err(error) => tracing::error!("peer: Cannot register the listener: {error}."),
        }
        let mut links: Vec<Task<()>> = Vec::new();
        loop {
            let accepted = async { Some(self.socket.accept().await) };
            let stopped = async {
                self.shutdown.wait().await;
                None
            };
            match accepted.or(stopped).await {
                Some(Ok((stream, _))) => {
                    links.retain(|link| !link.is_finished());
                    let link = serve(self.clone(), stream, Rc::clone(&executor));
                    links.push(executor.spawn(link));
                }
                Some(Err(error)) => {
                    tracing::warn!("peer: Cannot accept a link: {error}.");
                    self.clock.sleep(ACCEPT_RETRY_DELAY).await;
                }
                None => return,
            }
        }
    }
}

/// The large frame that arrives on a link.
#[derive(Debug, Default)]
struct LargeFrame {
    /// Memory that it holds.
    held: Option<HeldMemory>,
    /// Number of bytes that are still to be discarded, because there is no memory for it.
    skipped: usize,
}

struct AcceptedLink {
    endpoint: LinkEndpoint,
    outbox: Arc<Outbox>,
    calls: ReceivedCalls,
    executor: Rc<LocalExecutor<'static>>,
}

async fn serve(
    endpoint: LinkEndpoint,
    mut stream: TcpStream,
    executor: Rc<LocalExecutor<'static>>,
) {
    configure_socket(&stream);
    let outbox = Arc::new(Outbox::open());
    outbox.reset();
    let link = AcceptedLink {
        endpoint,
        outbox: Arc::clone(&outbox),
        calls: ReceivedCalls::default(),
        executor,
    };
    let writer = stream.clone();
    let write = async {
        if let Err(error) = outbox.write_to(writer).await {
            tracing::debug!("peer: Cannot write to a link: {error}.");
            // What has arrived before is read to its end.
            std::future::pending().await
        }
    };
    link.read(&mut stream).or(write).await;
    outbox.close();
    link.calls.close();
}

impl AcceptedLink {
    async fn read(&self, stream: &mut TcpStream) {
        let mut buffer = BytesMut::new();
        let mut sender = None;
        let mut large = LargeFrame::default();
        let began = self.endpoint.clock.now();
        loop {
            loop {
                if sender.is_some() && !self.make_room(&mut buffer, &mut large) {
                    break;
                }
                let limit = match sender {
                    Some(_) => MAX_FRAME_BYTES,
                    None => MAX_HELLO_BYTES,
                };
                match Frame::decode(&mut buffer, limit) {
                    Ok(Some((frame, notice))) => {
                        let held = large.held.take();
                        if held.is_some() {
                            // Frees the memory of the frame, which the buffer would keep.
                            buffer = BytesMut::from(&buffer[..]);
                        }
                        if !self.handle_frame(frame, notice, &mut sender, held) {
                            return;
                        }
                    }
                    Ok(None) => break,
                    Err(error) => {
                        tracing::warn!("peer: Closed a link after an invalid frame: {error}.");
                        return;
                    }
                }
            }
            let clock = &self.endpoint.clock;
            let timeout = match sender {
                Some(_) => IDLE_TIMEOUT,
                None => IDLE_TIMEOUT.saturating_sub(clock.now().saturating_duration_since(began)),
            };
            let filled = fill_buffer(stream, &mut buffer);
            let idle = async {
                clock.sleep(timeout).await;
                Filled::Failed
            };
            match filled.or(idle).await {
                Filled::More => {}
                Filled::Failed => return,
                Filled::Closed => {
                    if let Some(process) = sender {
                        let handler = &self.endpoint.handler;
                        handler.handle_event(LinkEvent::Ended(process));
                    }
                    return;
                }
            }
        }
    }

    /// Takes memory for the large call that arrives next, or refuses it and discards its frame as it
    /// arrives. Returns `false` if more bytes are needed for that.
    fn make_room(&self, buffer: &mut BytesMut, large: &mut LargeFrame) -> bool {
        let discarded = large.skipped.min(buffer.len());
        buffer.advance(discarded);
        large.skipped -= discarded;
        if large.skipped > 0 {
            return false;
        }
        let Some(size) = Frame::announced_size(buffer) else {
            return true;
        };
        let is_valid = size <= MAX_FRAME_BYTES;
        if large.held.is_some() || !is_valid || !CallMemory::is_large(size) {
            return true;
        }
        let Some(id) = Frame::announced_call(buffer) else {
            return true;
        };
        let memory = &self.endpoint.memory;
        large.held = memory.take(size);
        if large.held.is_some() {
            return true;
        }
        tracing::info!(
            held = memory.held(),
            size,
            "peer: Refused a call for want of memory."
        );
        self.refuse(id, RefusalKind::Overloaded);
        large.skipped = size;
        self.make_room(buffer, large)
    }

    /// Handles a frame. Returns whether to keep the link open.
    fn handle_frame(
        &self,
        frame: Frame,
        notice: Option<InstanceNotice>,
        sender: &mut Option<NodeProcess>,
        held: Option<HeldMemory>,
    ) -> bool {
        let handler = &self.endpoint.handler;
        if let Frame::Hello { member, signature } = frame {
            let wall = self.endpoint.clock.wall();
            if !is_valid_signature(&self.endpoint.secret, &member.vm, &signature, wall) {
                tracing::warn!("peer: Closed a link without a valid signature.");
                return false;
            }
            *sender = Some(NodeProcess::of(&member));
            if let Some(notice) = notice {
                handler.learn_notice(notice);
            }
            handler.handle_event(LinkEvent::Connected(member));
            return self.push_with_notice(&Frame::Welcome {
                member: handler.local_member(),
                rules: handler.rules_stamp(),
            });
        }
        let Some(process) = sender else {
            tracing::warn!("peer: Closed a link whose first frame is not a hello.");
            return false;
        };
        let vm = &process.vm;
        match frame {
            Frame::Call(id, head, body) => {
                let now = self.endpoint.clock.now();
                match head.into_attempt(body, now) {
                    Some(attempt) => self.start(id, attempt, held),
                    None => self.refuse(id, RefusalKind::Malformed),
                }
                true
            }
            Frame::Cancel(id) => {
                self.calls.cancel(id);
                true
            }
            Frame::Report(report) => {
                let rules = report.rules;
                handler.handle_event(LinkEvent::Report(report, notice));
                self.request_rules(rules);
                self.push_with_notice(&Frame::ReportAck {
                    load: handler.load(),
                    rules: handler.rules_stamp(),
                })
            }
            Frame::RulesAnnounced(rules) => {
                self.request_rules(rules);
                true
            }
            Frame::RulesRequest => {
                if let Some(rules) = handler.rules() {
                    // A node that takes callers by these rules has to know the evacuations.
                    self.push(&Frame::Evacuations(handler.evacuations()));
                    self.push(&Frame::Rules(rules));
                }
                true
            }
            Frame::Evacuations(report) => {
                handler.handle_event(LinkEvent::Evacuations(report));
                true
            }
            Frame::Rules(rules) => {
                handler.handle_event(LinkEvent::Rules(rules));
                true
            }
            Frame::CrashReports(reports) => {
                handler.handle_event(LinkEvent::CrashReports(reports));
                true
            }
            Frame::Sums(message) => {
                handler.handle_event(LinkEvent::Sums(message));
                true
            }
            Frame::LeaseOffer(fence, left) => {
                handler.handle_event(LinkEvent::LeaseOffer(vm.clone(), fence, left));
                true
            }
            Frame::Stopping { noticed, closes } => {
                self.bound_calls(vm, noticed, closes);
                true
            }
            Frame::PortionRequest(request) => {
                let reply = ReplyHandle(Arc::clone(&self.outbox));
                handler.handle_event(LinkEvent::PortionRequest(request, reply));
                true
            }
            Frame::DeparturesRequest => {
                let reply = ReplyHandle(Arc::clone(&self.outbox));
                handler.handle_event(LinkEvent::DeparturesRequest(process.clone(), reply));
                true
            }
            Frame::Claim(id, organisation, count) => {
                let (granted, after) = handler.claim_tokens(&organisation, count);
                self.push(&Frame::Tokens(id, granted, after))
            }
            other => {
                tracing::warn!(
                    "peer: Closed the link from {vm} after an unexpected frame: {other:?}."
                );
                false
            }
        }
    }

    fn request_rules(&self, stamp: RulesStamp) {
        if self.endpoint.handler.wants_rules(stamp) {
            self.push(&Frame::RulesRequest);
        }
    }

    /// Makes the calls of a node that is stopping end before it closes its connections.
    fn bound_calls(&self, sender: &VmId, noticed: Duration, closes: Duration) {
        let now = self.endpoint.clock.now();
        let Some(window) = StopWindow::ahead(now, noticed, closes) else {
            tracing::warn!("peer: Ignored the stop of {sender}, whose times can't be represented.");
            return;
        };
        tracing::info!(
            vm = %sender,
            closes_ms = closes.as_millis() as u64,
            waiting = self.calls.waiting(),
            "peer: The sender of calls is stopping."
        );
        self.calls.set_sender_stop(window);
    }

    /// Starts a call, which holds its memory until it ends.
    fn start(&self, id: CorrelationId, attempt: Attempt, held: Option<HeldMemory>) {
        let handler = Arc::clone(&self.endpoint.handler);
        let outbox = Arc::clone(&self.outbox);
        let calls = self.calls.clone();
        let idempotent = attempt.idempotent;
        let state = calls.new_state();
        let running = state.clone();
        let task = self.executor.spawn(async move {
            let verdict = handler.run(attempt, running).await;
            drop(held);
            let (head, body) = VerdictHead::from_verdict(verdict);
            // If the link is down by now, the verdict is dropped.
            let frame = Frame::Verdict(id, head, handler.load(), body);
            let _down = outbox.push_with(&frame, handler.notice());
            calls.finish(id);
        });
        self.calls.insert(id, task, idempotent, state);
    }

    fn refuse(&self, id: CorrelationId, kind: RefusalKind) {
        let refusal = Refusal::new(kind);
        let (head, body) = VerdictHead::from_verdict(Err(refusal.into()));
        self.push(&Frame::Verdict(
            id,
            head,
            self.endpoint.handler.load(),
            body,
        ));
    }

    /// Sends a frame with what the local backend server states about itself.
    fn push_with_notice(&self, frame: &Frame) -> bool {
        let notice = self.endpoint.handler.notice();
        self.outbox.push_with(frame, notice).is_some()
    }

    fn push(&self, frame: &Frame) -> bool {
        self.outbox.push(frame).is_some()
    }
}
