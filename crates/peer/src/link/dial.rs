//! Dialling side of a link.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::Sender;
use filbertwheel_core::{
    Attempt, Clock, Fence, FleetSecret, InstanceNotice, OrganisationId, RulesStamp, Verdict, VmId,
    verdict_deadline,
};
use filbertwheel_policy::{
    BackendLoad, BackendView, CrashReport, Departure, Distance, EvacuationReport, PeerLoad,
    PortionRequest, SentCall, SumMessage,
};
use futures_lite::FutureExt as _;

use super::LinkHandler;
use super::driver::LinkDriver;
use super::frame::{CallHead, CorrelationId, Frame, NodeReport};
use super::outbox::{Offset, Outbox};
use crate::ForwardError;

/// Timeout of a token claim. The lease holder counts a claimed token as unspent for a little longer.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(100);

/// Links to all known other nodes.
pub type Links = BTreeMap<VmId, Link>;

/// Link to another node, reopened whenever it is lost. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Link(pub(super) Arc<Inner>);

#[derive(Debug)]
pub(super) struct Inner {
    pub(super) vm: VmId,
    pub(super) address: SocketAddr,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) outbox: Outbox,
    pending: Mutex<HashMap<CorrelationId, PendingReply>>,
    next_id: AtomicU64,
    pub(super) up: AtomicBool,
    pub(super) closed: AtomicBool,
    in_flight: AtomicU32,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
pub(super) struct State {
    load: PeerLoad,
    last_failure: Option<Instant>,
    /// What the other node's backend server has stated about itself, and when this node learned it.
    /// It outlasts the connection: after a restart the other node learns it from here.
    notice: Option<(InstanceNotice, Instant)>,
    /// Time of the first hello or report since the last incoming bytes.
    pub(super) awaiting_since: Option<Instant>,
}

#[derive(Debug)]
pub(super) enum PendingReply {
    Call(Offset, Sender<Result<Verdict, ForwardError>>),
    Claim(Sender<(u32, u32)>),
}

impl Link {
    /// Creates a link to a node and the driver that keeps it open.
    pub fn open(
        vm: VmId,
        address: SocketAddr,
        handler: Arc<dyn LinkHandler>,
        secret: FleetSecret,
        clock: Arc<dyn Clock>,
    ) -> (Self, LinkDriver) {
        let link = Self(Arc::new(Inner {
            vm,
            address,
            clock,
            outbox: Outbox::open(),
            pending: Mutex::default(),
            next_id: AtomicU64::new(1),
            up: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            state: Mutex::default(),
        }));
        let driver = LinkDriver::open(link.clone(), handler, secret);
        (link, driver)
    }

    /// Returns the address of the other node.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Whether the link is connected and the other node has answered the hello.
    pub fn is_up(&self) -> bool {
        self.0.up.load(Ordering::Relaxed)
    }

    /// Returns the other node's backend server as a candidate for a call.
    pub fn view(&self, distance: Distance) -> BackendView {
        let in_flight = self.in_flight();
        let state = self.0.state();
        state.load.view(in_flight, distance, state.last_failure)
    }

    /// Sets the load of the other node's backend server from a source other than this link.
    pub fn set_load(&self, load: BackendLoad) {
        self.0.record_load(load);
    }

    /// Returns the number of calls in flight on this link.
    pub fn in_flight(&self) -> u32 {
        self.0.in_flight.load(Ordering::Relaxed)
    }

    /// Sends a call, which is expected to take the time `work`, and waits for its verdict. Dropping the
    /// future cancels the call at the other node.
    pub async fn call(&self, attempt: &Attempt, work: Duration) -> Result<Verdict, ForwardError> {
        let now = self.0.clock.now();
        let head = CallHead::from_attempt(attempt, now);
        let id = self.0.next_id.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = async_channel::bounded(1);
        let frame = Frame::Call(id, head, attempt.body.clone());
        self.0.send_call(id, &frame, sender)?;
        self.0.in_flight.fetch_add(1, Ordering::Relaxed);
        let mut guard = CallGuard {
            link: &self.0,
            id,
            sent: self.0.state().load.begin(work),
            answered: false,
        };
        let verdict = async { receiver.recv().await.unwrap_or(Err(ForwardError::Lost)) };
        let timeout = async {
            let end = verdict_deadline(attempt.deadline);
            self.0.clock.sleep(end.saturating_duration_since(now)).await;
            Err(ForwardError::Late)
        };
        let verdict = verdict.or(timeout).await;
        guard.answered = !matches!(verdict, Err(ForwardError::Late));
        verdict
    }

    /// Claims tokens of an organisation. Returns the number of tokens granted and the time in
    /// milliseconds after which more may be available, or `None` if the other node does not reply.
    pub async fn claim_tokens(
        &self,
        organisation: &OrganisationId,
        count: u32,
    ) -> Option<(u32, u32)> {
        let id = self.0.next_id.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = async_channel::bounded(1);
        self.0.pending().insert(id, PendingReply::Claim(sender));
        let frame = Frame::Claim(id, organisation.clone(), count);
        let sent = self.0.outbox.push(&frame).is_some();
        let tokens = async { receiver.recv().await.ok() };
        let timeout = async {
            self.0.clock.sleep(CLAIM_TIMEOUT).await;
            None
        };
        let tokens = if sent { tokens.or(timeout).await } else { None };
        self.0.pending().remove(&id);
        tokens
    }

    /// Sends this node's report, with what its backend server has stated about itself.
    pub fn send_report(&self, report: &NodeReport, notice: Option<InstanceNotice>) {
        let frame = Frame::Report(Box::new(report.clone()));
        if self.0.outbox.push_with(&frame, notice).is_some() {
            let now = self.0.clock.now();
            self.0.state().awaiting_since.get_or_insert(now);
        }
    }

    /// Records what the other node's backend server has stated about itself.
    pub fn record_notice(&self, notice: InstanceNotice) {
        self.0.record_notice(notice);
    }

    /// Returns the departure of the other node's backend server, if it is known to be leaving.
    pub fn known_departure(&self) -> Option<Departure> {
        let state = self.0.state();
        let (notice, _) = state.notice.as_ref()?;
        notice.leaving.then(|| Departure {
            instance: notice.instance.clone(),
            until_ms: notice.started_ms,
        })
    }

    /// Asks what the other node knows of departures at this VM.
    pub fn request_departures(&self) {
        self.push(&Frame::DeparturesRequest);
    }

    /// Announces new rules in force at this node.
    pub fn announce_rules(&self, stamp: RulesStamp) {
        self.push(&Frame::RulesAnnounced(stamp));
    }

    /// Announces what this node knows of evacuated failure domains.
    pub fn announce_evacuations(&self, report: &EvacuationReport) {
        self.push(&Frame::Evacuations(report.clone()));
    }

    /// Requests portions from the other node as the lease holder.
    pub fn request_portions(&self, request: PortionRequest) {
        self.push(&Frame::PortionRequest(request));
    }

    /// Reports requests that were in flight when a backend server crashed.
    pub fn send_crash_reports(&self, reports: Vec<CrashReport>) {
        self.push(&Frame::CrashReports(reports));
    }

    /// Requests the rules in force at the other node.
    pub fn request_rules(&self) {
        self.push(&Frame::RulesRequest);
    }

    /// Offers the other node a lease that this node no longer acts on, and that would have stayed in
    /// force for the given time.
    pub fn offer_lease(&self, fence: Fence, left: Duration) {
        self.push(&Frame::LeaseOffer(fence, left));
    }

    /// Announces that this node is stopping: after `noticed` its callers know it, after `closes` it
    /// closes their connections. What waits at the other node then is refused in time.
    pub fn announce_stop(&self, noticed: Duration, closes: Duration) {
        self.push(&Frame::Stopping { noticed, closes });
    }

    /// Sends sums over a part of the fleet or all of it.
    pub fn send_sums(&self, message: SumMessage) {
        self.push(&Frame::Sums(Box::new(message)));
    }

    /// Closes the link for good.
    pub fn close(self) {
        self.0.closed.store(true, Ordering::Relaxed);
        self.0.outbox.close();
    }

    fn push(&self, frame: &Frame) -> bool {
        self.0.outbox.push(frame).is_some()
    }
}

impl Inner {
    /// Queues the frame of a call and registers `sender` for its verdict.
    fn send_call(
        &self,
        id: CorrelationId,
        frame: &Frame,
        sender: Sender<Result<Verdict, ForwardError>>,
    ) -> Result<(), ForwardError> {
        // The lock is held while the frame is queued, so that its verdict cannot arrive before the
        // call is registered.
        let mut pending = self.pending();
        let offset = self.outbox.push(frame).ok_or(ForwardError::NotSent)?;
        pending.insert(id, PendingReply::Call(offset, sender));
        Ok(())
    }

    pub(super) fn pending(&self) -> MutexGuard<'_, HashMap<CorrelationId, PendingReply>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn record_load(&self, load: BackendLoad) {
        let now = self.clock.now();
        self.state().load.record(load, now);
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps what the other node's backend server has stated. Statements come on two connections, so they may
    /// arrive in another order: a later life stays known, and a life that is leaving stays so.
    pub(super) fn record_notice(&self, mut notice: InstanceNotice) {
        let mut state = self.state();
        if let Some((known, _)) = &state.notice {
            if notice.started_ms < known.started_ms {
                return;
            }
            if (&known.instance, known.started_ms) == (&notice.instance, notice.started_ms) {
                notice.leaving |= known.leaving;
            }
        }
        state.notice = Some((notice, self.clock.now()));
    }

    /// Returns what the other node's backend server has stated about itself, with its present age.
    pub(super) fn known_notice(&self) -> Option<InstanceNotice> {
        let (notice, received) = self.state().notice.clone()?;
        let elapsed = self.clock.now().saturating_duration_since(received);
        let age = notice.age.saturating_add(elapsed);
        Some(InstanceNotice { age, ..notice })
    }

    /// Completes the pending calls of a lost link with an error and closes the outbox.
    pub(super) fn fail_pending(&self) {
        self.up.store(false, Ordering::Relaxed);
        let mut pending = self.pending();
        // A call that begins from now on must not be registered any more: nobody would complete it.
        self.outbox.close();
        for (_, reply) in pending.drain() {
            if let PendingReply::Call(offset, sender) = reply {
                let error = if self.outbox.may_have_been_sent(offset) {
                    ForwardError::Lost
                } else {
                    ForwardError::NotSent
                };
                // A closed channel means that the caller has stopped waiting.
                let _closed = sender.try_send(Err(error));
            }
        }
        drop(pending);
        let mut state = self.state();
        state.last_failure = Some(self.clock.now());
        state.awaiting_since = None;
    }
}

/// Counts a call as in flight, and cancels it if dropped before its verdict.
struct CallGuard<'a> {
    link: &'a Inner,
    id: CorrelationId,
    sent: SentCall,
    answered: bool,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.link.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.link.state().load.end(self.sent);
        if !self.answered {
            self.link.pending().remove(&self.id);
            // If the link is down, the call is lost anyway.
            let _down = self.link.outbox.push(&Frame::Cancel(self.id));
        }
    }
}
