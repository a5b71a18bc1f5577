//! Running of calls at the node's own backend server, as admitted by its gate.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use filbertwheel_backend::{
    Announcement, BackendClient, BackendConnector, BackendError, BackendReply,
};
use filbertwheel_core::{
    Call, Clock, CutOff, Failure, Refusal, RefusalKind, Text, UnknownReason, Verdict,
};
use filbertwheel_peer::LoadReport;
use filbertwheel_policy::{Gate, GateOutcome, GateRequest, GateTicket, RunTime, WaitOutcome};
use futures_lite::FutureExt as _;

use crate::metrics::Metrics;
use crate::snapshot::SharedSnapshot;
use crate::tokens::CallTokens;

/// Runs calls at one backend server.
#[derive(Debug)]
pub struct Runner {
    state: Mutex<State>,
    tokens: CallTokens,
    connect: Arc<dyn BackendConnector>,
    snapshots: SharedSnapshot,
    clock: Arc<dyn Clock>,
    metrics: Arc<Metrics>,
}

#[derive(Debug)]
struct State {
    gate: Gate,
    backend: Option<AnnouncedBackend>,
    waiting: HashMap<GateTicket, Sender<Result<(), RefusalKind>>>,
}

#[derive(Debug, Clone)]
struct AnnouncedBackend {
    announcement: Announcement,
    backend: Arc<dyn BackendClient>,
}

impl Runner {
    /// Creates a runner. It refuses all calls until the backend server has announced itself.
    pub fn open(
        connect: Arc<dyn BackendConnector>,
        snapshots: SharedSnapshot,
        clock: Arc<dyn Clock>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let state = State {
            gate: Gate::open(0),
            backend: None,
            waiting: HashMap::new(),
        };
        Self {
            state: Mutex::new(state),
            tokens: CallTokens::default(),
            connect,
            snapshots,
            clock,
            metrics,
        }
    }

    /// Returns the tokens of running calls.
    pub(crate) fn tokens(&self) -> &CallTokens {
        &self.tokens
    }

    /// Records the backend server's announcement: connects to its address, and resizes the gate to
    /// its number of slots.
    pub fn announce(&self, announcement: &Announcement) {
        let mut state = self.lock();
        let known = state
            .backend
            .as_ref()
            .map(|announced| announced.announcement.address);
        if known != Some(announcement.address) {
            let backend = self.connect.connect(announcement.address);
            state.backend = Some(AnnouncedBackend {
                announcement: announcement.clone(),
                backend,
            });
        }
        state.gate.resize(announcement.slots);
    }

    /// Returns the expected wait of a new call.
    pub fn wait(&self) -> Duration {
        self.lock().gate.expected_wait()
    }

    /// Returns the number of running and queued calls.
    pub fn in_flight(&self) -> usize {
        let state = self.lock();
        state.gate.running() + state.gate.queued()
    }

    /// Runs a call once the gate admits it. Returns the verdict with the load.
    pub async fn run(&self, call: &Call) -> (Verdict, LoadReport) {
        let mut downstream = None;
        let verdict = self.run_admitted(call, &mut downstream).await;
        let state = self.lock();
        let now = self.clock.now();
        let own = state
            .gate
            .cut_off(&call.organisation, call.criticality, now);
        let cut_off = match (own, downstream) {
            (Some(own), Some(downstream)) => Some(own.stricter(downstream)),
            (own, downstream) => own.or(downstream),
        };
        let wait = state.gate.expected_wait();
        (verdict, LoadReport { wait, cut_off })
    }

    /// Runs a call once the gate admits it. Sets `downstream` to the cut-off reported to its nested
    /// calls.
    async fn run_admitted(&self, call: &Call, downstream: &mut Option<CutOff>) -> Verdict {
        let Some(announced) = self.lock().backend.clone() else {
            return Err(Refusal::new(RefusalKind::Unavailable)
                .with_retries(call.retries)
                .into());
        };
        let refuse = |kind| Failure::Refused(Refusal::new(kind).with_retries(call.retries));
        let key_accepted = self.snapshots.load().accepts_key(call);
        let running = self.admit(call).await.map_err(refuse)?;
        // The key was withdrawn while the call was queued. A key that was unknown from the start
        // may be newer than this node's configuration, so its calls run.
        if key_accepted && !self.snapshots.load().accepts_key(call) {
            return Err(refuse(RefusalKind::BadKey));
        }
        let token = running.token.clone();
        let reply = announced.backend.run(call, token).await;
        let (retries, cut_off) = running.close();
        *downstream = cut_off;
        verdict_of(reply, retries)
    }

    async fn admit(&self, call: &Call) -> Result<RunningCall<'_>, RefusalKind> {
        let request = GateRequest {
            criticality: call.criticality,
            organisation: call.organisation.clone(),
            rank: call.rank,
            deadline: call.deadline,
        };
        if let GateAdmission::Queued(ticket, released) = self.offer(&request)? {
            let waiting = QueuedCall {
                runner: self,
                ticket,
                released,
                done: false,
            };
            self.wait_for(waiting, call.deadline).await?;
        }
        Ok(self.start(call))
    }

    fn offer(&self, request: &GateRequest) -> Result<GateAdmission, RefusalKind> {
        let mut state = self.lock();
        let (offer, releases) = state.gate.offer(request, self.clock.now());
        state.release(releases);
        self.update_gauges(&state);
        match offer {
            GateOutcome::Run(_) => Ok(GateAdmission::Immediate),
            GateOutcome::Refuse(kind) => Err(kind),
            GateOutcome::Wait(ticket) => {
                let (sender, receiver) = async_channel::bounded(1);
                state.waiting.insert(ticket, sender);
                Ok(GateAdmission::Queued(ticket, receiver))
            }
        }
    }

    async fn wait_for(
        &self,
        mut waiting: QueuedCall<'_>,
        deadline: Instant,
    ) -> Result<(), RefusalKind> {
        loop {
            let left = deadline.saturating_duration_since(self.clock.now());
            let pause = left.min(EXPIRY_INTERVAL);
            let release = async { waiting.released.recv().await.ok() };
            let tick = async {
                self.clock.sleep(pause).await;
                None
            };
            if let Some(release) = release.or(tick).await {
                waiting.done = true;
                return release;
            }
            let mut state = self.lock();
            let releases = state.gate.expire(self.clock.now());
            state.release(releases);
        }
    }

    fn start(&self, call: &Call) -> RunningCall<'_> {
        let token = self.tokens.issue(call);
        RunningCall {
            runner: self,
            token,
            began: self.clock.now(),
            ended: false,
        }
    }

    /// Ends a running call that spent the time `nested` on nested calls.
    fn finish(&self, began: Instant, nested: Duration) {
        let now = self.clock.now();
        let elapsed = now.saturating_duration_since(began);
        let self_time = elapsed.saturating_sub(nested);
        let mut state = self.lock();
        let releases = state.gate.finish(&RunTime { elapsed, self_time }, now);
        state.release(releases);
        self.update_gauges(&state);
    }

    /// Frees the slot of a call that was admitted but never ran.
    fn abandon(&self) {
        let mut state = self.lock();
        let releases = state.gate.abandon(self.clock.now());
        state.release(releases);
        self.update_gauges(&state);
    }

    fn update_gauges(&self, state: &State) {
        self.metrics.running.set(state.gate.running() as i64);
        self.metrics.queued.set(state.gate.queued() as i64);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Interval at which a queued call checks for expired calls.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

enum GateAdmission {
    Immediate,
    Queued(GateTicket, Receiver<Result<(), RefusalKind>>),
}

impl State {
    fn release(&mut self, releases: Vec<WaitOutcome>) {
        for release in releases {
            let (ticket, outcome) = match release {
                WaitOutcome::Run(ticket) => (ticket, Ok(())),
                WaitOutcome::Refuse(ticket, kind) => (ticket, Err(kind)),
            };
            if let Some(sender) = self.waiting.remove(&ticket) {
                let _full = sender.try_send(outcome);
            }
        }
    }
}

/// A queued call. If it is dropped early, it leaves the queue.
struct QueuedCall<'a> {
    runner: &'a Runner,
    ticket: GateTicket,
    released: Receiver<Result<(), RefusalKind>>,
    done: bool,
}

impl Drop for QueuedCall<'_> {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        let mut state = self.runner.lock();
        state.gate.cancel(self.ticket);
        state.waiting.remove(&self.ticket);
        drop(state);
        if let Ok(Ok(())) = self.released.try_recv() {
            // The call was admitted, but its task has ended.
            self.runner.abandon();
        }
    }
}

/// A running call. Its slot is freed when it ends or is dropped.
struct RunningCall<'a> {
    runner: &'a Runner,
    token: Text,
    began: Instant,
    ended: bool,
}

impl RunningCall<'_> {
    /// Ends the call. Returns the remaining retries and the cut-off reported to its nested calls.
    fn close(mut self) -> (u32, Option<CutOff>) {
        self.end()
    }

    fn end(&mut self) -> (u32, Option<CutOff>) {
        self.ended = true;
        let grant = self.runner.tokens.end(&self.token);
        let nested = grant.as_ref().map_or(Duration::ZERO, |grant| grant.nested);
        self.runner.finish(self.began, nested);
        grant.map_or((0, None), |grant| (grant.retries, grant.cut_off))
    }
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.end();
        }
    }
}

fn verdict_of(reply: Result<BackendReply, BackendError>, retries: u32) -> Verdict {
    let refused = |kind| Failure::Refused(Refusal::new(kind).with_retries(retries));
    match reply {
        Ok(BackendReply { answer, .. }) => Ok(filbertwheel_core::Answer { retries, ..answer }),
        Err(BackendError::NotSent) => Err(refused(RefusalKind::Unavailable)),
        Err(BackendError::Refused(kind)) => Err(refused(kind)),
        Err(BackendError::Lost) => Err(UnknownReason::Lost.into()),
        Err(BackendError::Late) => Err(UnknownReason::Late.into()),
        Err(BackendError::Broken) => Err(UnknownReason::Broken.into()),
    }
}
