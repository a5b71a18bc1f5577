//! Keeps to what the backend server states about itself: the limit on its requests, and that it is
//! leaving.

use std::time::{Duration, Instant};

use filbertwheel_backend::ResponseNotice;
use filbertwheel_core::{Attempt, Failure, InstanceNotice, Refusal, RefusalKind, Status};
use filbertwheel_policy::{BackendLoad, Departure, Occupancy, SendReservation, WorkFigures};

use super::{Runner, State};
use crate::control::Message;
use crate::notices::Life;

/// How long a call of a running request may wait for its send time. It is the last to be turned
/// away, because the work of its request would be wasted.
const NESTED_MAX_WAIT: Duration = Duration::from_millis(500);
/// How long other calls may wait. After that another backend server is tried.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// Weight of the newest run in the smoothed run time.
const RUN_TIME_EWMA_WEIGHT: f64 = 0.1;

impl Runner {
    /// Returns the load of the backend server. Its slots are those that it can use within its limit
    /// (Little's law), so that other nodes choose and plan by the limit as they do by slots.
    pub fn load(&self) -> BackendLoad {
        let now = self.clock.now();
        let mut state = self.lock();
        let (slowness, failing) = state.health.read(now);
        let slots = state.usable_slots();
        let queued = state.queue.queued() as u32;
        let work = state.work_figures(slots, now);
        let is_saturated = state
            .notices
            .pacer()
            .is_some_and(|pacer| pacer.wait(now) > MAX_WAIT);
        BackendLoad {
            running: state.queue.running() as u32,
            queued: if is_saturated {
                queued.max(slots)
            } else {
                queued
            },
            slots,
            slowness: work.map_or(slowness, |work| work.slowness as f32),
            usual_slowness: work.map_or(slowness, |work| work.usual_slowness as f32),
            failing,
            backlog: work.map_or(0.0, |work| work.backlog as f32),
            delay: work.map_or(0.0, |work| work.delay as f32),
            idle: work.is_some_and(|work| work.idle),
        }
    }

    /// Returns what the backend server has stated about itself, for the other nodes.
    pub fn notice(&self) -> Option<InstanceNotice> {
        let now = self.clock.now();
        self.lock().notices.exported(now)
    }

    /// Applies what another node knew of the backend server.
    pub fn learn_notice(&self, notice: InstanceNotice) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.notices.learn(notice, now);
        self.apply_notices(&mut state);
    }

    /// Applies what a response of the backend server states. Its call was sent at
    /// `sent` to that life.
    pub(super) fn record_notice(&self, life: &Life, notice: ResponseNotice, sent: Instant) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.record_slowness(&notice, now);
        state.notices.record(life, notice, sent, now);
        self.apply_notices(&mut state);
    }

    fn apply_notices(&self, state: &mut State) {
        let limit = state.notices.limit();
        self.metrics.backend_limit.set(limit.unwrap_or_default());
        let is_leaving = state.notices.is_leaving();
        if let Some(instance) = &mut state.instance
            && is_leaving
            && instance.status < Status::Draining
        {
            instance.status = Status::Gone;
            let (instance, until_ms) = instance.life();
            self.departures.record(Departure { instance, until_ms });
            self.inbox.push_urgent(Message::Leaving);
        }
    }

    /// Waits until a call may be sent within the limit, or refuses it.
    pub(super) async fn pace(&self, attempt: &Attempt) -> Result<(), Failure> {
        while let Some(reservation) = self.reserve(attempt)? {
            if reservation.wait.is_zero() {
                break;
            }
            self.clock.sleep(reservation.wait).await;
            if self.lock().notices.is_valid(&reservation) {
                break;
            }
        }
        Ok(())
    }

    /// Reserves the send time of a call; `None` if there is no limit.
    fn reserve(&self, attempt: &Attempt) -> Result<Option<SendReservation>, Failure> {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(pacer) = state.notices.pacer() else {
            return Ok(None);
        };
        let wait = if attempt.nested {
            NESTED_MAX_WAIT
        } else {
            MAX_WAIT
        };
        let wait = wait.min(attempt.time_left(now) / 2);
        match pacer.reserve(wait, now) {
            Ok(reservation) => Ok(Some(reservation)),
            Err(after) => {
                self.metrics.over_limit.inc();
                Err(Refusal::retry_after(RefusalKind::Overloaded, after).into())
            }
        }
    }
}

impl State {
    /// Records the slowness that a response states.
    fn record_slowness(&mut self, notice: &ResponseNotice, now: Instant) {
        let slowness = notice.load.and_then(|load| load.slowness);
        if let (Some(work), Some(slowness)) = (&mut self.work, slowness) {
            work.record_stated(slowness, now);
        }
    }

    /// Returns the work at the backend server, if it is measured.
    fn work_figures(&mut self, slots: u32, now: Instant) -> Option<WorkFigures> {
        let occupancy = Occupancy {
            running: self.queue.running() as u32,
            queued: self.queue.queued() as u32,
            queued_work: self.queue.queued_work(),
            slots,
        };
        let work = self.work.as_mut()?;
        Some(work.figures(occupancy, now))
    }

    /// Returns the slots that the backend server can use within its limit.
    fn usable_slots(&mut self) -> u32 {
        let slots = self.queue.slots() as u32;
        let rate = self.notices.pacer().map(|pacer| pacer.rate());
        match (rate, self.run_seconds) {
            (Some(rate), Some(seconds)) => ((rate * seconds).ceil() as u32).clamp(1, slots),
            _ => slots,
        }
    }

    /// Updates the smoothed run time by a completed run.
    pub(super) fn record_run_time(&mut self, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        let smoothed = self.run_seconds.get_or_insert(seconds);
        *smoothed += (seconds - *smoothed) * RUN_TIME_EWMA_WEIGHT;
    }
}
