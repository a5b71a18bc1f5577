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

use super::frame::{CallNumber, Frame, VerdictHead};
use super::is_proved;
use super::outbox::Outbox;
use super::read_more;
use super::{LinkEvent, LinkHandler, ReplyHandle};

/// Time without a frame after which a link counts as lost.
const SILENCE_LIMIT: Duration = Duration::from_secs(6);
/// Pause after a failed accept, such as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Where other nodes open their links.
#[derive(Debug, Clone)]
pub struct LinkEndpoint {
    socket: TcpListener,
    sink: Arc<dyn LinkHandler>,
    secret: FleetSecret,
    clock: Arc<dyn Clock>,
    stop: ShutdownSignal,
}

impl LinkEndpoint {
    /// Binds an address. Fails with the system's error.
    pub async fn bind(
        address: SocketAddr,
        sink: Arc<dyn LinkHandler>,
        secret: FleetSecret,
        clock: Arc<dyn Clock>,
        stop: ShutdownSignal,
    ) -> io::Result<Self> {
        Ok(Self {
            socket: TcpListener::bind(address)?,
            sink,
            secret,
            clock,
            stop,
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
                self.stop.wait().await;
                None
            };
            match accepted.or(stopped).await {
                Some(Ok((stream, _))) => {
                    links.retain(|link| !link.is_finished());
                    let serving = serve(self.clone(), stream, Rc::clone(&executor));
                    links.push(executor.spawn(serving));
                }
                Some(Err(error)) => {
                    tracing::warn!("peer: Accepting a link failed: {error}.");
                    self.clock.sleep(ACCEPT_PAUSE).await;
                }
                None => return,
            }
        }
    }
}

/// The calls of one link that are running.
type Running = Rc<RefCell<HashMap<CallNumber, (Task<()>, bool)>>>;

struct Serving {
    door: LinkEndpoint,
    outbox: Arc<Outbox>,
    running: Running,
    executor: Rc<LocalExecutor<'static>>,
}

async fn serve(door: LinkEndpoint, mut stream: TcpStream, executor: Rc<LocalExecutor<'static>>) {
    configure_socket(&stream);
    let outbox = Arc::new(Outbox::open());
    outbox.begin();
    let serving = Serving {
        door,
        outbox: Arc::clone(&outbox),
        running: Running::default(),
        executor,
    };
    let writer = stream.clone();
    let write = async {
        if let Err(error) = outbox.write_to(writer).await {
            tracing::debug!("peer: Writing to a link failed: {error}.");
        }
    };
    serving.read(&mut stream).or(write).await;
    outbox.end();
    // What may run only once goes on; nobody waits for the rest.
    for (_, (task, idempotent)) in serving.running.take() {
        if !idempotent {
            task.detach();
        }
    }
}

impl Serving {
    async fn read(&self, stream: &mut TcpStream) {
        let mut buffer = BytesMut::new();
        let mut sender = None;
        loop {
            loop {
                match Frame::take(&mut buffer) {
                    Ok(Some(frame)) => {
                        if !self.take(frame, &mut sender) {
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
            let more = read_more(stream, &mut buffer);
            let silence = async {
                self.door.clock.sleep(SILENCE_LIMIT).await;
                false
            };
            if !more.or(silence).await {
                return;
            }
        }
    }

    /// Takes a frame. Returns whether the link goes on.
    fn take(&self, frame: Frame, sender: &mut Option<VmId>) -> bool {
        let sink = &self.door.sink;
        if let Frame::Hello { member, proof } = frame {
            let wall = self.door.clock.wall();
            if !is_proved(&self.door.secret, &member.vm, &proof, wall) {
                tracing::warn!("peer: A link without a valid proof was closed.");
                return false;
            }
            *sender = Some(member.vm.clone());
            sink.handle_event(LinkEvent::Connected(member));
            return self.push(&Frame::Welcome {
                member: sink.local_member(),
            });
        }
        let Some(vm) = sender else {
            tracing::warn!("peer: A link that began without a hello was closed.");
            return false;
        };
        match frame {
            Frame::Call(number, head, body) => {
                let now = self.door.clock.now();
                match head.into_attempt(body, now) {
                    Some(attempt) => self.start(number, attempt),
                    None => self.refuse(number),
                }
                true
            }
            Frame::Cancel(number) => {
                self.running.borrow_mut().remove(&number);
                true
            }
            Frame::Report(report) => {
                let version = report.version;
                sink.handle_event(LinkEvent::Report(report));
                self.ask_for_rules(version);
                self.push(&Frame::ReportAck {
                    load: sink.load(),
                    version: sink.rules_version(),
                })
            }
            Frame::RulesAnnounced(version) => {
                self.ask_for_rules(version);
                true
            }
            Frame::RulesRequest => {
                if let Some((version, document)) = sink.rules() {
                    self.push(&Frame::Rules(version, document));
                }
                true
            }
            Frame::Rules(version, document) => {
                sink.handle_event(LinkEvent::Rules(version, document));
                true
            }
            Frame::CrashReports(suspicions) => {
                sink.handle_event(LinkEvent::CrashReports(suspicions));
                true
            }
            Frame::PortionRequest(ask) => {
                let answering = ReplyHandle(Arc::clone(&self.outbox));
                sink.handle_event(LinkEvent::PortionRequest(ask, answering));
                true
            }
            Frame::Claim(number, organisation, count) => {
                let (paid, after) = sink.claim_tokens(&organisation, count);
                self.push(&Frame::Tokens(number, paid, after))
            }
            other => {
                tracing::warn!("peer: {vm} sent a frame that only answers: {other:?}.");
                false
            }
        }
    }

    fn ask_for_rules(&self, version: Version) {
        if self.door.sink.wants_rules(version) {
            self.push(&Frame::RulesRequest);
        }
    }

    fn start(&self, number: CallNumber, attempt: Attempt) {
        let sink = Arc::clone(&self.door.sink);
        let outbox = Arc::clone(&self.outbox);
        let running = Rc::clone(&self.running);
        let idempotent = attempt.idempotent;
        let task = self.executor.spawn(async move {
            let verdict = sink.run(attempt).await;
            let (head, body) = VerdictHead::of(verdict);
            // A link that's down by now has no use for the verdict.
            let _down = outbox.push(&Frame::Verdict(number, head, sink.load(), body));
            if let Some((task, _)) = running.borrow_mut().remove(&number) {
                task.detach();
            }
        });
        self.running.borrow_mut().insert(number, (task, idempotent));
    }

    fn refuse(&self, number: CallNumber) {
        let refusal = Refusal::new(RefusalKind::Malformed);
        let (head, body) = VerdictHead::of(Err(refusal.into()));
        self.push(&Frame::Verdict(number, head, self.door.sink.load(), body));
    }

    fn push(&self, frame: &Frame) -> bool {
        self.outbox.push(frame).is_some()
    }
}
