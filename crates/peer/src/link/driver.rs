//! Task that keeps a dialled link open.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::BytesMut;
use filbertwheel_core::{Fence, FleetSecret, InstanceNotice, RulesStamp};
use filbertwheel_http::{configure_socket, reset_on_close};
use filbertwheel_policy::PortionGrant;
use filbertwheel_runtime::TcpStream;
use futures_lite::FutureExt as _;

use super::dial::{Link, PendingReply};
use super::frame::{Frame, MAX_FRAME_BYTES};
use super::{Filled, LinkEvent, LinkHandler, fill_buffer, sign_vm};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// First delay before a lost link is opened again; it doubles up to `MAX_RECONNECT_DELAY`.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(100);
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(1_000);
/// Time without incoming bytes after which a link that awaits a reply is lost.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Task that opens a link, reads from it and reopens it when it is lost.
#[derive(Debug)]
pub struct LinkDriver {
    link: Link,
    handler: Arc<dyn LinkHandler>,
    secret: FleetSecret,
}

impl LinkDriver {
    /// Creates the driver of a link.
    pub(super) fn open(link: Link, handler: Arc<dyn LinkHandler>, secret: FleetSecret) -> Self {
        Self {
            link,
            handler,
            secret,
        }
    }

    /// Opens the link, and reopens it with backoff, until it is closed for good.
    pub async fn run(self) {
        let inner = Arc::clone(&self.link.0);
        let mut delay = MIN_RECONNECT_DELAY;
        while !inner.closed.load(Ordering::Relaxed) {
            if let Some(stream) = self.connect().await {
                let began = inner.clock.now();
                let was_up = self.serve(stream).await;
                inner.fail_pending();
                if was_up {
                    self.handler
                        .handle_event(LinkEvent::Disconnected(inner.vm.clone()));
                }
                if inner.clock.now().saturating_duration_since(began) > MAX_RECONNECT_DELAY {
                    delay = MIN_RECONNECT_DELAY;
                }
            }
            inner.clock.sleep(delay).await;
            delay = (delay * 2).min(MAX_RECONNECT_DELAY);
        }
    }

    async fn connect(&self) -> Option<TcpStream> {
        let inner = &self.link.0;
        let opened = async { TcpStream::connect(inner.address).await.ok() };
        let timeout = async {
            inner.clock.sleep(CONNECT_TIMEOUT).await;
            None
        };
        let stream = opened.or(timeout).await?;
        configure_socket(&stream);
        Some(stream)
    }

    /// Serves one connection until it is lost. Returns whether the other node answered the hello.
    async fn serve(&self, mut stream: TcpStream) -> bool {
        let inner = &self.link.0;
        inner.outbox.reset();
        let local_member = self.handler.local_member();
        let signature = sign_vm(&self.secret, &local_member.vm, inner.clock.wall());
        let hello = Frame::Hello {
            member: local_member,
            signature,
        };
        inner.outbox.push_with(&hello, inner.known_notice());
        inner.state().awaiting_since = Some(inner.clock.now());
        let writer = stream.clone();
        let write = async {
            if let Err(error) = inner.outbox.write_to(writer).await {
                tracing::debug!("peer: Cannot write to a link: {error}.");
            }
        };
        self.read(&mut stream)
            .or(write)
            .or(self.wait_for_overdue_reply())
            .await;
        reset_on_close(&stream);
        inner.up.load(Ordering::Relaxed)
    }

    /// Completes once a reply has been overdue for longer than `REPLY_TIMEOUT`.
    async fn wait_for_overdue_reply(&self) {
        let inner = &self.link.0;
        loop {
            inner.clock.sleep(REPLY_TIMEOUT / 4).await;
            let now = inner.clock.now();
            let awaiting_since = inner.state().awaiting_since;
            if awaiting_since.is_some_and(|at| now.saturating_duration_since(at) > REPLY_TIMEOUT) {
                return;
            }
        }
    }

    async fn read(&self, stream: &mut TcpStream) {
        let mut buffer = BytesMut::new();
        loop {
            loop {
                match Frame::decode(&mut buffer, MAX_FRAME_BYTES) {
                    Ok(Some((frame, notice))) => self.handle_frame(frame, notice),
                    Ok(None) => break,
                    Err(error) => {
                        tracing::warn!(
                            "peer: Closed the link to {} after an invalid frame: {error}.",
                            self.link.0.vm
                        );
                        return;
                    }
                }
            }
            if fill_buffer(stream, &mut buffer).await != Filled::More {
                return;
            }
            self.link.0.state().awaiting_since = None;
        }
    }

    fn handle_frame(&self, frame: Frame, notice: Option<InstanceNotice>) {
        let inner = &self.link.0;
        if let Some(notice) = notice {
            inner.record_notice(notice);
        }
        match frame {
            Frame::Welcome { member, rules } => {
                if member.vm != inner.vm {
                    tracing::warn!(
                        "peer: {} answered at the address of {}.",
                        member.vm,
                        inner.vm
                    );
                }
                inner.up.store(true, Ordering::Relaxed);
                self.handler.handle_event(LinkEvent::Connected(member));
                self.request_rules(rules);
            }
            Frame::Verdict(id, head, load, body) => {
                inner.record_load(load);
                if let Some(PendingReply::Call(_, sender)) = inner.pending().remove(&id) {
                    // A closed channel means that the caller has stopped waiting.
                    let _closed = sender.try_send(Ok(head.into_verdict(body)));
                }
            }
            Frame::ReportAck { load, rules } => {
                inner.record_load(load);
                self.request_rules(rules);
            }
            Frame::RulesRequest => {
                if let Some(rules) = self.handler.rules() {
                    // A node that takes callers by these rules has to know the evacuations.
                    let evacuations = self.handler.evacuations();
                    inner.outbox.push(&Frame::Evacuations(evacuations));
                    inner.outbox.push(&Frame::Rules(rules));
                }
            }
            Frame::Evacuations(report) => {
                self.handler.handle_event(LinkEvent::Evacuations(report));
            }
            Frame::Rules(rules) => self.handler.handle_event(LinkEvent::Rules(rules)),
            Frame::PortionGrant(fence, grant) => self.grant(fence, grant),
            Frame::Departures(known) => {
                let event = LinkEvent::Departures(inner.vm.clone(), known);
                self.handler.handle_event(event);
            }
            Frame::Tokens(id, count, after) => {
                if let Some(PendingReply::Claim(sender)) = inner.pending().remove(&id) {
                    let _closed = sender.try_send((count, after));
                }
            }
            other => tracing::warn!(
                "peer: Ignored an unexpected frame from {}: {other:?}.",
                inner.vm
            ),
        }
    }

    fn request_rules(&self, stamp: RulesStamp) {
        if self.handler.wants_rules(stamp) {
            self.link.0.outbox.push(&Frame::RulesRequest);
        }
    }

    fn grant(&self, fence: Fence, grant: PortionGrant) {
        self.handler
            .handle_event(LinkEvent::PortionGrant(fence, grant));
    }
}
