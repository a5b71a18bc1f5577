//! Runs calls at the local backend server.

mod instance;
mod pacing;
mod reports;
mod slot;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::Sender;
use filbertwheel_backend::{BackendError, InstanceConnector};
use filbertwheel_core::{
    Attempt, Clock, Failure, Refusal, RefusalKind, RouteId, Status, UnknownReason, Verdict, VmId,
};
use filbertwheel_peer::CallState;
use filbertwheel_policy::{
    AdmissionQueue, AllowedRegions, CallWork, CrashReport, Health, LongestTimes, Profiler,
    QueueOutcome, QueueRequest, QueueTicket, RouteProfile, StopWindow, WorkMeter,
};
use futures_lite::FutureExt as _;
pub(crate) use instance::BackendState;
use instance::Instance;
pub(crate) use slot::NestedCall;
use slot::{Slot, Waiting};

use crate::crashes::{Crashes, RunPermit};
use crate::departures::Departures;
use crate::dispatch::bounded;
use crate::inbox::Inbox;
use crate::journal::Journal;
use crate::metrics::Metrics;
use crate::notices::Notices;
use crate::snapshots::SharedSnapshot;

/// Interval at which a waiting call checks whether it has expired.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// The local backend server, and the admission queue before it.
#[derive(Debug)]
pub(crate) struct Runner {
    backends: Arc<dyn InstanceConnector>,
    clock: Arc<dyn Clock>,
    snapshots: SharedSnapshot,
    journal: Arc<Journal>,
    metrics: Arc<Metrics>,
    inbox: Arc<Inbox>,
    state: Mutex<State>,
    crashes: Mutex<Crashes>,
    departures: Arc<Departures>,
}

/// Parts that a runner is built from.
pub(crate) struct RunnerParts {
    pub vm: VmId,
    pub backends: Arc<dyn InstanceConnector>,
    pub clock: Arc<dyn Clock>,
    pub snapshots: SharedSnapshot,
    pub journal: Arc<Journal>,
    pub metrics: Arc<Metrics>,
    pub inbox: Arc<Inbox>,
    pub departures: Arc<Departures>,
    /// Whether calls are queued by their expected work, which is measured then.
    pub by_cost: bool,
}

#[derive(Debug)]
struct State {
    instance: Option<Instance>,
    queue: AdmissionQueue,
    waiting: HashMap<QueueTicket, Sender<()>>,
    health: Health,
    profiler: Profiler,
    /// Speed and work of the backend server; `None` if calls are only counted.
    work: Option<WorkMeter>,
    notices: Notices,
    longest_runs: LongestTimes,
    /// Whether a status report of a life that is not known to have left is relied on. Until then this
    /// node may have forgotten a departure.
    trusts_reports: bool,
    /// Smoothed run time of the calls in seconds; `None` before the first one.
    run_seconds: Option<f64>,
}

impl Runner {
    pub fn open(parts: RunnerParts) -> Self {
        let now = parts.clock.now();
        Self {
            backends: parts.backends,
            clock: parts.clock,
            snapshots: parts.snapshots,
            journal: parts.journal,
            metrics: parts.metrics,
            inbox: parts.inbox,
            departures: parts.departures,
            state: Mutex::new(State {
                instance: None,
                queue: AdmissionQueue::open(1),
                waiting: HashMap::new(),
                health: Health::open(now),
                profiler: Profiler::default(),
                work: parts.by_cost.then(|| WorkMeter::open(now)),
                notices: Notices::default(),
                longest_runs: LongestTimes::default(),
                trusts_reports: false,
                run_seconds: None,
            }),
            crashes: Mutex::new(Crashes::open(parts.vm)),
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
    pub async fn run(&self, attempt: &Attempt, call: &CallState) -> Verdict {
        let began = self.clock.now();
        let verdict = self.verdict(attempt, call, began).await;
        if let Err(failure) = &verdict {
            let (running, queued, limit) = {
                let state = self.lock();
                let queue = &state.queue;
                (queue.running(), queue.queued(), state.notices.limit())
            };
            let took = self.clock.now().saturating_duration_since(began);
            let outcome = failure.to_string();
            let took_ms = took.as_millis() as u64;
            self.journal
                .run_failed(&attempt.request, &outcome, running, queued, limit, took_ms);
        }
        verdict
    }

    async fn verdict(&self, attempt: &Attempt, call: &CallState, began: Instant) -> Verdict {
        self.check_location(attempt)?;
        self.instance_for(attempt)?;
        let mut slot = self.admit(attempt, call, began).await?;
        self.pace(attempt).await?;
        // The instance may have left while the call waited, its failure domain may be evacuated, or a
        // node that it passes through may be about to end.
        self.check_location(attempt)?;
        let instance = self.instance_for(attempt)?;
        let stopping = self.check_stop(attempt, call)?;
        let permit = RunPermit::obtain(&self.crashes, attempt, self.clock.as_ref())?;
        let started = self.clock.now();
        slot.start(attempt);
        call.begin();
        self.metrics.sent.inc();
        let attempt = bounded(attempt, stopping);
        let reply = instance.server.run(&attempt, &instance.instance).await;
        if let Some(notice) = reply.notice {
            self.record_notice(&instance.life(), notice, started);
        }
        self.record_connection(&instance.life(), &attempt, &reply.outcome);
        let result = reply.outcome;
        let now = self.clock.now();
        let elapsed = now.saturating_duration_since(started);
        self.lock()
            .longest_runs
            .record(&attempt.route, elapsed, now);
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

    /// Refuses a call that may not be processed here: the failure domain is evacuated, or the region is
    /// no home of the request.
    fn check_location(&self, attempt: &Attempt) -> Result<(), Failure> {
        let snapshot = self.snapshots.load();
        let member = &snapshot.local_member;
        if !snapshot.gets_calls(&member.domain, self.clock.now()) {
            return Err(RefusalKind::Evacuated.into());
        }
        let Some(rules) = &snapshot.rules else {
            return Ok(());
        };
        let route = rules.route_by_id(&attempt.route).map(Arc::as_ref);
        let regions = AllowedRegions::of(rules, route, attempt.organisation.as_ref());
        if regions.contains(&member.region) {
            return Ok(());
        }
        Err(RefusalKind::OutsideHomes.into())
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

    /// Refuses a waiting call that can't run here any more, so that it can run elsewhere at once.
    fn check_waiting(&self, attempt: &Attempt, call: &CallState) -> Result<(), Failure> {
        self.check_location(attempt)?;
        if self.lock().is_leaving() {
            return Err(RefusalKind::Draining.into());
        }
        self.check_stop(attempt, call)?;
        Ok(())
    }

    /// Refuses a call that may not end before this node or the one that sent it does, so that it can run
    /// elsewhere or be refused by its sender. Returns the times of the stop, if there is one.
    fn check_stop(
        &self,
        attempt: &Attempt,
        call: &CallState,
    ) -> Result<Option<StopWindow>, Failure> {
        let own = self.snapshots.load().stopping;
        let window = match (own, call.sender_stop()) {
            (Some(own), Some(sender)) => own.stricter(sender),
            (Some(window), None) | (None, Some(window)) => window,
            (None, None) => return Ok(None),
        };
        let longest = self.lock().longest_runs.get(&attempt.route);
        if window.takes(longest, attempt.deadline, self.clock.now()) {
            return Ok(Some(window));
        }
        Err(RefusalKind::Draining.into())
    }

    async fn admit(
        &self,
        attempt: &Attempt,
        call: &CallState,
        now: Instant,
    ) -> Result<Slot<'_>, Failure> {
        let queue_request = {
            let fleet_mean = self.fleet_mean(&attempt.route);
            let state = self.lock();
            let work = state
                .work
                .as_ref()
                .map(|work| work.expected_time(call_work(attempt, fleet_mean), now));
            let run_time = work.or_else(|| state.profiler.mean_run_time(&attempt.route));
            // A call that can't complete before its deadline must not occupy a slot. Half the
            // expected time is taken as the minimum.
            let needed = run_time.unwrap_or_default() / 2;
            let expires = attempt.deadline.checked_sub(needed).unwrap_or(now);
            QueueRequest {
                rank: 0,
                due: now + attempt.objective,
                work: work.unwrap_or_default(),
                expires: expires.max(now),
            }
        };
        if attempt.deadline <= now {
            return Err(RefusalKind::Expired.into());
        }
        let (ticket, released) = {
            let mut state = self.lock();
            match state.queue.offer(queue_request) {
                QueueOutcome::Run => return Ok(self.slot(&state, attempt)),
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
                return Ok(self.slot(&self.lock(), attempt));
            }
            self.check_waiting(attempt, call)?;
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

    /// Returns the mean time of a route's runs over all servers, in seconds, if known.
    fn fleet_mean(&self, route: &RouteId) -> Option<f64> {
        self.snapshots.load().elapsed.get(route).copied()
    }

    fn slot(&self, state: &State, attempt: &Attempt) -> Slot<'_> {
        self.set_gauges(state);
        Slot::open(self, attempt.route.clone())
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

/// Returns a call as far as its work is concerned. `fleet_mean` is the mean time of its route's runs
/// over all servers in seconds, if known.
fn call_work(attempt: &Attempt, fleet_mean: Option<f64>) -> CallWork<'_> {
    CallWork {
        route: &attempt.route,
        organisation: attempt.organisation.as_ref(),
        fleet_mean,
        deadline: attempt.deadline,
    }
}
