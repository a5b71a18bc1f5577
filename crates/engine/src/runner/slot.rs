//! Calls that occupy a slot, wait for one, or are made by a running call.

use std::time::{Duration, Instant};

use async_channel::Receiver;
use filbertwheel_backend::BackendError;
use filbertwheel_core::{Answer, Attempt, RouteId};
use filbertwheel_policy::{MeasuredRun, PendingCall, QueueTicket, RunTicket};

use super::{Runner, State, call_work};

/// A nested call of the backend server, in flight until it is dropped.
pub(crate) struct NestedCall<'a> {
    pub(super) runner: &'a Runner,
    pub(super) pending_call: Option<PendingCall>,
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
pub(super) struct Waiting<'a> {
    pub runner: &'a Runner,
    pub ticket: QueueTicket,
    pub released: Receiver<()>,
    pub done: bool,
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

/// A slot that is occupied by a call. Dropping it releases the slot.
pub(super) struct Slot<'a> {
    runner: &'a Runner,
    route: RouteId,
    stage: Stage,
    /// Its run, if its work is measured.
    run: Option<RunTicket>,
}

/// What became of the call that occupies a slot.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// It has not been sent.
    Reserved,
    /// It runs.
    Running,
    /// It has ended.
    Ended,
}

impl<'a> Slot<'a> {
    /// Creates the slot of a call that has not been sent.
    pub fn open(runner: &'a Runner, route: RouteId) -> Self {
        Self {
            runner,
            route,
            stage: Stage::Reserved,
            run: None,
        }
    }
}

impl Slot<'_> {
    /// Begins the run.
    pub fn start(&mut self, attempt: &Attempt) {
        self.stage = Stage::Running;
        let now = self.runner.clock.now();
        let fleet_mean = self.runner.fleet_mean(&self.route);
        let mut state = self.runner.lock();
        state.profiler.begin_run(&self.route, now);
        let work = state.work.as_mut();
        self.run = work.map(|work| work.begin(call_work(attempt, fleet_mean), now));
    }

    /// Ends the run and records its result.
    pub fn finish(mut self, result: &Result<Answer, BackendError>, elapsed: Duration) {
        let now = self.runner.clock.now();
        let mean = self.runner.fleet_mean(&self.route);
        let mut state = self.runner.lock();
        match result {
            Ok(answer) if answer.status < 500 => {
                let ratio = mean.map_or(1.0, |mean| elapsed.as_secs_f64() / mean.max(0.001));
                state.health.record_success(ratio, now);
                state.record_run_time(elapsed);
            }
            Ok(_) | Err(_) => state.health.record_failure(now),
        }
        let completed = matches!(result, Ok(answer) if answer.status < 500);
        let measured = self.end_run(&mut state, completed, now);
        drop(state);
        if let Some(run) = measured {
            self.runner.metrics.record_work(&self.route, run.ratio);
        }
        self.end(result.is_ok().then_some(elapsed));
    }

    /// Ends the measurement of the run, unless it has ended.
    fn end_run(&mut self, state: &mut State, completed: bool, now: Instant) -> Option<MeasuredRun> {
        let run = self.run.take()?;
        state.work.as_mut()?.end(run, completed, now)
    }

    fn end(&mut self, elapsed: Option<Duration>) {
        let now = self.runner.clock.now();
        let mut state = self.runner.lock();
        if self.stage == Stage::Running {
            state.profiler.end_run(&self.route, elapsed, now);
        }
        self.stage = Stage::Ended;
        self.end_run(&mut state, false, now);
        let released = state.queue.finish();
        state.release(released);
        self.runner.set_gauges(&state);
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        if self.stage != Stage::Ended {
            self.end(None);
        }
    }
}
