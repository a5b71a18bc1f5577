//! The side of a link that was opened by another node.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use filbertwheel_core::{Attempt, Clock, FleetSecret, Refusal, RefusalKind, Version, VmId};
use filbertwheel_http::{ShutdownSignal, configure_socket};
use filbertwheel_runtime::{TcpListener, TcpStream};
use futures_lite::FutureExt as _;
use smol::{LocalExecutor, Task};

use super::fill_buffer;
use super::frame::{CorrelationId, Frame, VerdictHead};
use super::is_valid_signature;
use super::outbox::Outbox;
use super::{LinkEvent, LinkHandler, ReplyHandle};

/// Time without a frame after which a link counts as lost.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Pause after a failed accept, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Where other nodes open their links.
#[derive(Debug, Clone)]
pub struct LinkEndpoint {
    socket: TcpListener,
    handler: Arc<dyn LinkHandler>,
    secret: FleetSecret,
    clock: Arc<dyn Clock>,
    shutdown: ShutdownSignal,
}

impl LinkEndpoint {
    /// Binds an address. Fails with the system's error.
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
        })
    }

    /// The bound address. Fails with the system's error.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Serves links until the stop signal.
    pub async fn run(mut self, executor: Rc<LocalExecutor<'static>>) {
        // The socket is watched by the thread that serves it.
        match self.socket.register_clone() {
            Ok(socket) => self.socket = socket,
            Err(error) => tracing::error!("peer: A listener can't be shared: {error}."),
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
                    tracing::warn!("peer: Accepting a link failed: {error}.");
                    self.clock.sleep(ACCEPT_RETRY_DELAY).await;
                }
                None => return,
            }
        }
    }
}

/// The calls of one link that are running.
type RunningCalls = Rc<RefCell<HashMap<CorrelationId, (Task<()>, bool)>>>;

struct AcceptedLink {
    endpoint: LinkEndpoint,
    outbox: Arc<Outbox>,
    running: RunningCalls,
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
        running: RunningCalls::default(),
        executor,
    };
    let writer = stream.clone();
    let write = async {
        if let Err(error) = outbox.write_to(writer).await {
            tracing::debug!("peer: Writing to a link failed: {error}.");
        }
    };
    link.read(&mut stream).or(write).await;
    outbox.close();
    // What may run only once goes on; nobody waits for the rest.
    for (_, (task, idempotent)) in link.running.take() {
        if !idempotent {
            task.detach();
        }
    }
}

impl AcceptedLink {
    async fn read(&self, stream: &mut TcpStream) {
        let mut buffer = BytesMut::new();
        let mut sender = None;
        loop {
            loop {
                match Frame::decode(&mut buffer) {
                    Ok(Some(frame)) => {
                        if !self.handle_frame(frame, &mut sender) {
                            return;
                        }
                    }
                    Ok(None) => break,
                    Err(error) => {
                        tracing::warn!("peer: A link was closed: {error}.");
                        return;
                    }
                }
            }
            let more = fill_buffer(stream, &mut buffer);
            let idle = async {
                self.endpoint.clock.sleep(IDLE_TIMEOUT).await;
                false
            };
            if !more.or(idle).await {
                return;
            }
        }
    }

    /// Takes a frame. Returns whether the link goes on.
    fn handle_frame(&self, frame: Frame, sender: &mut Option<VmId>) -> bool {
        let handler = &self.endpoint.handler;
        if let Frame::Hello { member, signature } = frame {
            let wall = self.endpoint.clock.wall();
            if !is_valid_signature(&self.endpoint.secret, &member.vm, &signature, wall) {
                tracing::warn!("peer: A link without a valid proof was closed.");
                return false;
            }
            *sender = Some(member.vm.clone());
            handler.handle_event(LinkEvent::Connected(member));
            return self.push(&Frame::Welcome {
                member: handler.local_member(),
            });
        }
        let Some(vm) = sender else {
            tracing::warn!("peer: A link that began without a hello was closed.");
            return false;
        };
        match frame {
            Frame::Call(id, head, body) => {
                let now = self.endpoint.clock.now();
                match head.into_attempt(body, now) {
                    Some(attempt) => self.start(id, attempt),
                    None => self.refuse(id),
                }
                true
            }
            Frame::Cancel(id) => {
                self.running.borrow_mut().remove(&id);
                true
            }
            Frame::Report(report) => {
                let version = report.version;
                handler.handle_event(LinkEvent::Report(report));
                self.ask_for_rules(version);
                self.push(&Frame::ReportAck {
                    load: handler.load(),
                    version: handler.rules_version(),
                })
            }
            Frame::RulesAnnounced(version) => {
                self.ask_for_rules(version);
                true
            }
            Frame::RulesRequest => {
                if let Some((version, text)) = handler.rules() {
                    self.push(&Frame::Rules(version, text));
                }
                true
            }
            Frame::Rules(version, text) => {
                handler.handle_event(LinkEvent::Rules(version, text));
                true
            }
            Frame::CrashReports(reports) => {
                handler.handle_event(LinkEvent::CrashReports(reports));
                true
            }
            Frame::PortionRequest(request) => {
                let reply = ReplyHandle(Arc::clone(&self.outbox));
                handler.handle_event(LinkEvent::PortionRequest(request, reply));
                true
            }
            Frame::Claim(id, organisation, count) => {
                let (granted, after) = handler.claim_tokens(&organisation, count);
                self.push(&Frame::Tokens(id, granted, after))
            }
            other => {
                tracing::warn!("peer: {vm} sent a frame that only answers: {other:?}.");
                false
            }
        }
    }

    fn ask_for_rules(&self, version: Version) {
        if self.endpoint.handler.wants_rules(version) {
            self.push(&Frame::RulesRequest);
        }
    }

    fn start(&self, id: CorrelationId, attempt: Attempt) {
        let handler = Arc::clone(&self.endpoint.handler);
        let outbox = Arc::clone(&self.outbox);
        let running = Rc::clone(&self.running);
        let idempotent = attempt.idempotent;
        let task = self.executor.spawn(async move {
            let verdict = handler.run(attempt).await;
            let (head, body) = VerdictHead::from_verdict(verdict);
            // A link that's down by now has no use for the verdict.
            let _down = outbox.push(&Frame::Verdict(id, head, handler.load(), body));
            if let Some((task, _)) = running.borrow_mut().remove(&id) {
                task.detach();
            }
        });
        self.running.borrow_mut().insert(id, (task, idempotent));
    }

    fn refuse(&self, id: CorrelationId) {
        let refusal = Refusal::new(RefusalKind::Malformed);
        let (head, body) = VerdictHead::from_verdict(Err(refusal.into()));
        self.push(&Frame::Verdict(
            id,
            head,
            self.endpoint.handler.load(),
            body,
        ));
    }

    fn push(&self, frame: &Frame) -> bool {
        self.outbox.push(frame).is_some()
    }
}
