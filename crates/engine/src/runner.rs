//! Runs calls at the local backend server.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use filbertwheel_backend::{
    BackendError, BackendInstance, InstanceConnector, ResponseNotice, StatusReport,
};
use filbertwheel_core::{
    Attempt, Clock, Failure, InstanceId, Refusal, RefusalKind, RouteId, ServiceId, Status,
    UnknownReason, Verdict, VmId,
};
use filbertwheel_policy::{
    AdmissionQueue, BackendLoad, CrashReport, Health, PendingCall, Profiler, QueueOutcome,
    QueueRequest, QueueTicket, RouteProfile,
};
use futures_lite::FutureExt as _;

use crate::crashes::{Crashes, RunPermit};
use crate::journal::Journal;
use crate::metrics::Metrics;
use crate::notices::{Life, Notices};
use crate::snapshots::SharedSnapshot;

/// Interval at which a waiting call checks whether it has expired.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);
/// Number of missed status reports after which the backend server counts as silent.
const MISSED_REPORTS: u32 = 4;

/// The local backend server, and the admission queue before it.
#[derive(Debug)]
pub(crate) struct Runner {
    backends: Arc<dyn InstanceConnector>,
    clock: Arc<dyn Clock>,
    snapshots: SharedSnapshot,
    journal: Arc<Journal>,
    metrics: Arc<Metrics>,
    state: Mutex<State>,
    crashes: Mutex<Crashes>,
}

#[derive(Debug)]
struct State {
    instance: Option<Instance>,
    queue: AdmissionQueue,
    waiting: HashMap<QueueTicket, Sender<()>>,
    health: Health,
    profiler: Profiler,
}

/// An instance of the backend server, as it was last reported.
#[derive(Debug, Clone)]
struct Instance {
    server: Arc<dyn BackendInstance>,
    instance: InstanceId,
    service: ServiceId,
    address: SocketAddr,
    status: Status,
    started_ms: u64,
    sequence: u64,
    last_heard: Instant,
    notices: Notices,
}

/// State of the backend server that the control thread publishes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct BackendState {
    pub service: ServiceId,
    pub slots: u32,
    pub status: Status,
}

impl Runner {
    pub fn open(
        vm: VmId,
        backends: Arc<dyn InstanceConnector>,
        clock: Arc<dyn Clock>,
        snapshots: SharedSnapshot,
        journal: Arc<Journal>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let now = clock.now();
        Self {
            backends,
            clock,
            snapshots,
            journal,
            metrics,
            state: Mutex::new(State {
                instance: None,
                queue: AdmissionQueue::open(1),
                waiting: HashMap::new(),
                health: Health::open(now),
                profiler: Profiler::default(),
            }),
            crashes: Mutex::new(Crashes::open(vm)),
        }
    }

    /// Merges the crash reports of other nodes.
    pub fn merge_crashes(&self, crash_reports: &[CrashReport]) {
        self.crashes()
            .merge_reports(crash_reports, self.clock.now());
    }

    /// Returns all crash reports, those of other nodes included.
    pub fn crash_reports(&self) -> Vec<CrashReport> {
        self.crashes().reports(self.clock.now())
    }

    /// Returns the crash reports of the local backend server since the last call of this function.
    pub fn take_unsent_crash_reports(&self) -> Vec<CrashReport> {
        self.crashes().take_unsent(self.clock.now())
    }

    /// Returns the number of calls that run or wait.
    pub fn in_flight(&self) -> usize {
        let state = self.lock();
        state.queue.running() + state.queue.queued()
    }

    /// Returns the load of the backend server.
    pub fn load(&self) -> BackendLoad {
        let now = self.clock.now();
        let mut state = self.lock();
        let (slowness, failing) = state.health.read(now);
        BackendLoad {
            running: state.queue.running() as u32,
            queued: state.queue.queued() as u32,
            slots: state.queue.slots() as u32,
            slowness,
            failing,
        }
    }

    /// Records a status report of the backend server. Returns its state, or `None` if the report is
    /// outdated.
    pub fn record_status(&self, report: &StatusReport) -> Option<BackendState> {
        let now = self.clock.now();
        let mut state = self.lock();
        if let Some(instance) = &state.instance
            && instance.is_newer_than(report)
        {
            return None;
        }
        let same = state
            .instance
            .as_ref()
            .filter(|known| known.instance == report.instance && known.address == report.address)
            .filter(|known| known.started_ms == report.started_ms || known.started_ms == 0);
        let (server, notices) = match same {
            Some(instance) => (Arc::clone(&instance.server), instance.notices.clone()),
            None => {
                let previous_status = state.instance.as_ref().map(|instance| instance.status);
                if previous_status == Some(Status::Serving) {
                    self.crashes().record_exit();
                }
                state.health = Health::open(now);
                tracing::info!(
                    backend = %report.instance,
                    service = %report.service,
                    slots = report.slots,
                    "runner: A backend server instance has started."
                );
                let life = (report.instance.clone(), report.started_ms);
                (self.backends.open(report.address), Notices::open(life))
            }
        };
        let state = &mut *state;
        let released = state.queue.resize(report.slots as usize);
        state.release(released);
        state.instance = Some(Instance {
            server,
            instance: report.instance.clone(),
            service: report.service.clone(),
            address: report.address,
            status: report.status,
            started_ms: report.started_ms,
            sequence: report.sequence,
            last_heard: now,
            notices,
        });
        Some(BackendState {
            service: report.service.clone(),
            slots: report.slots,
            status: report.status,
        })
    }

    /// Records that an instance of the backend server has ended or is about to. Returns whether it
    /// is the current instance.
    pub fn mark_leaving(&self, instance: &InstanceId) -> bool {
        let mut state = self.lock();
        match &mut state.instance {
            Some(current) if current.instance == *instance => {
                current.status = Status::Gone;
                true
            }
            _ => false,
        }
    }

    /// Returns whether the backend server has missed too many status reports. `period` is the
    /// interval between them.
    pub fn is_silent(&self, period: Duration) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        state.instance.as_ref().is_some_and(|last| {
            now.saturating_duration_since(last.last_heard) > period * MISSED_REPORTS
        })
    }

    /// Records that the backend server begins a nested call.
    pub fn begin_nested_call(&self, route: &RouteId) -> NestedCall<'_> {
        let now = self.clock.now();
        let pending_call = self.lock().profiler.begin_call(route, now);
        NestedCall {
            runner: self,
            pending_call: Some(pending_call),
        }
    }

    /// Returns the profiles of the routes that run here, and decays the older measurements.
    pub fn profiles(&self) -> Vec<RouteProfile> {
        let mut state = self.lock();
        let profiles = state.profiler.profiles();
        state.profiler.decay();
        profiles
    }

    /// Runs a call as soon as a slot is free.
    pub async fn run(&self, attempt: &Attempt) -> Verdict {
        let began = self.clock.now();
        let verdict = self.verdict(attempt, began).await;
        if let Err(failure) = &verdict {
            let (running, queued) = {
                let state = self.lock();
                (state.queue.running(), state.queue.queued())
            };
            let took = self.clock.now().saturating_duration_since(began);
            let outcome = failure.to_string();
            let took_ms = took.as_millis() as u64;
            self.journal
                .run_failed(&attempt.request, &outcome, running, queued, took_ms);
        }
        verdict
    }

    async fn verdict(&self, attempt: &Attempt, began: Instant) -> Verdict {
        self.instance_for(attempt)?;
        let slot = self.admit(attempt, began).await?;
        // The instance may have left while the call waited.
        let instance = self.instance_for(attempt)?;
        let permit = RunPermit::obtain(&self.crashes, attempt, self.clock.as_ref())?;
        let started = self.clock.now();
        self.metrics.sent.inc();
        let reply = instance.server.run(attempt, &instance.instance).await;
        if let Some(notice) = reply.notice {
            self.record_notice(&instance.life(), notice);
        }
        let result = reply.outcome;
        let elapsed = self.clock.now().saturating_duration_since(started);
        slot.finish(&result, elapsed);
        permit.finish(&result);
        match result {
            Ok(answer) => Ok(answer),
            Err(BackendError::NotSent) => Err(RefusalKind::Unavailable.into()),
            Err(BackendError::Refused(kind)) => Err(kind.into()),
            Err(BackendError::Lost) => Err(UnknownReason::Lost.into()),
            Err(BackendError::Late) => Err(UnknownReason::Late.into()),
            Err(BackendError::Broken) => Err(UnknownReason::Broken.into()),
        }
    }

    /// Records what a response of the backend server states about it, unless it has restarted since.
    fn record_notice(&self, life: &Life, notice: ResponseNotice) {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(instance) = state.instance.as_mut().filter(|one| one.life() == *life) else {
            return;
        };
        instance.notices.record(notice, now);
        let limit = instance.notices.limit();
        self.metrics.backend_limit.set(limit.unwrap_or_default());
    }

    /// Returns the current instance if it serves the call's service, else the refusal.
    fn instance_for(&self, attempt: &Attempt) -> Result<Instance, Failure> {
        let state = self.lock();
        let Some(instance) = &state.instance else {
            return Err(RefusalKind::Unavailable.into());
        };
        if instance.service != attempt.service {
            return Err(RefusalKind::Unavailable.into());
        }
        match instance.status {
            Status::Serving => Ok(instance.clone()),
            Status::Joining => Err(RefusalKind::Unavailable.into()),
            Status::Draining | Status::Gone => Err(RefusalKind::Draining.into()),
        }
    }

    async fn admit(&self, attempt: &Attempt, now: Instant) -> Result<Slot<'_>, Failure> {
        let queue_request = {
            let state = self.lock();
            // A call that can't complete before its deadline must not occupy a slot. Half the mean
            // run time is taken as the minimum.
            let needed = state
                .profiler
                .mean_run_time(&attempt.route)
                .unwrap_or_default()
                / 2;
            let expires = attempt.deadline.checked_sub(needed).unwrap_or(now);
            QueueRequest {
                rank: 0,
                due: now + attempt.objective,
                expires: expires.max(now),
            }
        };
        if attempt.deadline <= now {
            return Err(RefusalKind::Expired.into());
        }
        let (ticket, released) = {
            let mut state = self.lock();
            match state.queue.offer(queue_request) {
                QueueOutcome::Run => return Ok(self.slot(state, attempt)),
                QueueOutcome::Full => return Err(RefusalKind::Overloaded.into()),
                QueueOutcome::Wait(ticket) => {
                    let (sender, receiver) = async_channel::bounded(1);
                    state.waiting.insert(ticket, sender);
                    (ticket, receiver)
                }
            }
        };
        let mut waiting = Waiting {
            runner: self,
            ticket,
            released,
            done: false,
        };
        loop {
            let release = async { waiting.released.recv().await.is_ok() };
            let tick = async {
                self.clock.sleep(EXPIRY_INTERVAL).await;
                false
            };
            if release.or(tick).await {
                waiting.done = true;
                return Ok(self.slot(self.lock(), attempt));
            }
            let now = self.clock.now();
            if now >= queue_request.expires {
                let kind = if now >= attempt.deadline {
                    RefusalKind::Expired
                } else {
                    RefusalKind::Overloaded
                };
                return Err(Refusal::new(kind).into());
            }
        }
    }

    fn slot(&self, mut state: MutexGuard<'_, State>, attempt: &Attempt) -> Slot<'_> {
        state.profiler.begin_run(&attempt.route, self.clock.now());
        self.set_gauges(&state);
        Slot {
            runner: self,
            route: attempt.route.clone(),
            ended: false,
        }
    }

    fn set_gauges(&self, state: &State) {
        self.metrics.running.set(state.queue.running() as i64);
        self.metrics.queued.set(state.queue.queued() as i64);
    }

    fn crashes(&self) -> MutexGuard<'_, Crashes> {
        self.crashes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Instance {
    fn life(&self) -> Life {
        (self.instance.clone(), self.started_ms)
    }

    /// Returns whether a report is older than this state.
    fn is_newer_than(&self, report: &StatusReport) -> bool {
        if report.started_ms != self.started_ms && self.started_ms != 0 && report.started_ms != 0 {
            return report.started_ms < self.started_ms;
        }
        if report.instance != self.instance {
            return false;
        }
        report.sequence <= self.sequence || self.status > report.status
    }
}

impl State {
    fn release(&mut self, tickets: Vec<QueueTicket>) {
        for ticket in tickets {
            let woken = self
                .waiting
                .remove(&ticket)
                .is_some_and(|sender| sender.try_send(()).is_ok());
            if !woken {
                // The call no longer waits; its slot goes to the next one.
                let more = self.queue.finish();
                self.release(more);
            }
        }
    }
}

/// A nested call of the backend server, in flight until it is dropped.
pub(crate) struct NestedCall<'a> {
    runner: &'a Runner,
    pending_call: Option<PendingCall>,
}

impl Drop for NestedCall<'_> {
    fn drop(&mut self) {
        if let Some(pending_call) = self.pending_call.take() {
            let now = self.runner.clock.now();
            self.runner.lock().profiler.end_call(pending_call, now);
        }
    }
}

/// A waiting call. If dropped before it runs, it leaves the queue.
struct Waiting<'a> {
    runner: &'a Runner,
    ticket: QueueTicket,
    released: Receiver<()>,
    done: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        let mut state = self.runner.lock();
        state.queue.cancel(self.ticket);
        state.waiting.remove(&self.ticket);
        if self.released.try_recv().is_ok() {
            // The call was released from the queue just before it was dropped.
            let released = state.queue.finish();
            state.release(released);
        }
    }
}

/// A slot that is occupied by a running call. Dropping it releases the slot.
struct Slot<'a> {
    runner: &'a Runner,
    route: RouteId,
    ended: bool,
}

impl Slot<'_> {
    /// Ends the run and records its result.
    fn finish(
        mut self,
        result: &Result<filbertwheel_core::Answer, BackendError>,
        elapsed: Duration,
    ) {
        let now = self.runner.clock.now();
        let mean = self
            .runner
            .snapshots
            .load()
            .elapsed
            .get(&self.route)
            .copied();
        let mut state = self.runner.lock();
        match result {
            Ok(answer) if answer.status < 500 => {
                let ratio = mean.map_or(1.0, |mean| elapsed.as_secs_f64() / mean.max(0.001));
                state.health.record_success(ratio, now);
            }
            Ok(_) | Err(_) => state.health.record_failure(now),
        }
        drop(state);
        self.end(result.is_ok().then_some(elapsed));
    }

    fn end(&mut self, elapsed: Option<Duration>) {
        self.ended = true;
        let mut state = self.runner.lock();
        let now = self.runner.clock.now();
        state.profiler.end_run(&self.route, elapsed, now);
        let released = state.queue.finish();
        state.release(released);
        self.runner.set_gauges(&state);
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.end(None);
        }
    }
}
