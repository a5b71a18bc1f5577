//! Keeps to what the backend server states about itself: the limit on its requests, that it is cold,
//! and that it is leaving.

use std::time::{Duration, Instant};

use filbertwheel_backend::{BackendError, ResponseNotice};
use filbertwheel_core::{
    Answer, Attempt, Failure, InstanceNotice, Refusal, RefusalKind, Status, Warmup,
};
use filbertwheel_policy::{
    BackendLoad, ColdCapacity, Departure, Occupancy, WorkFigures, usable_slots,
};

use super::{Runner, State};
use crate::control::Message;
use crate::notices::{Life, PacedSend};

/// How long a call of a running request may wait for its send time. It is the last to be turned
/// away, because the work of its request would be wasted.
const NESTED_MAX_WAIT: Duration = Duration::from_millis(500);
/// How long other calls may wait. After that another backend server is tried.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// Warm-up that is assumed as long as no rules are known: the lowest rate that is of use.
const UNKNOWN_WARMUP: Warmup = Warmup {
    rate: 1.0,
    time: Duration::from_secs(1),
};
/// Weight of the newest run in the smoothed run time.
const RUN_TIME_EWMA_WEIGHT: f64 = 0.1;

impl Runner {
    /// Returns the load of the backend server. Its slots are those that it can use within its limit
    /// (Little's law), so that other nodes choose and plan by the limit as they do by slots.
    pub fn load(&self) -> BackendLoad {
        let now = self.clock.now();
        let mut state = self.lock();
        let (slowness, failing) = state.health.read(now);
        let warmup = self.warmup(&state);
        let slots = self.paced_slots(&mut state);
        let queued = state.queue.queued() as u32;
        let work = state.work_figures(slots, now);
        let pacer = state.notices.update_pacer(warmup, now);
        let is_saturated = pacer.is_some_and(|pacer| pacer.wait(now) > MAX_WAIT);
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

    /// Returns the capacity of the backend server while it is cold, and shows the state in the metrics.
    pub fn cold_capacity(&self) -> Option<ColdCapacity> {
        let now = self.clock.now();
        let mut state = self.lock();
        let warmup = self.warmup(&state);
        let warmup = warmup.filter(|_| state.notices.is_cold(warmup, now));
        self.metrics.cold.set(warmup.is_some().into());
        let left = warmup.map_or(Duration::ZERO, |warmup| {
            state.notices.warmup_left(warmup, now)
        });
        self.metrics.warmup_left.set(left.as_secs_f64());
        let rate = state
            .notices
            .update_pacer(warmup, now)
            .map(|pacer| pacer.rate());
        Some(ColdCapacity {
            servers: 1,
            rate: warmup.and(rate)? as f32,
            slots: self.paced_slots(&mut state) as f32,
            left,
        })
    }

    /// Returns the warm-up of the backend server's service: `UNKNOWN_WARMUP` as long as no rules are
    /// known, `None` if the rules state none.
    fn warmup(&self, state: &State) -> Option<Warmup> {
        let snapshot = self.snapshots.load();
        let Some(rules) = &snapshot.rules else {
            return Some(UNKNOWN_WARMUP);
        };
        let service = &state.instance.as_ref()?.service;
        rules.services.get(service)?.warmup
    }

    /// Returns the slots that the backend server can use at the rate at which its calls are paced.
    fn paced_slots(&self, state: &mut State) -> u32 {
        let slots = state.queue.slots() as u32;
        let warmup = self.warmup(state);
        let pacer = state.notices.update_pacer(warmup, self.clock.now());
        let Some(rate) = pacer.map(|pacer| pacer.rate()) else {
            return slots;
        };
        let run_seconds = state.run_seconds.or_else(|| self.fleet_run_seconds(state));
        usable_slots(slots, rate, run_seconds)
    }

    /// Returns the mean run time over the fleet of the routes to the backend server's service; `None`
    /// if none of them is known.
    fn fleet_run_seconds(&self, state: &State) -> Option<f64> {
        let snapshot = self.snapshots.load();
        let (rules, service) = (snapshot.rules.as_ref()?, &state.instance.as_ref()?.service);
        let routes = rules.routes().filter(|rule| {
            let mut targets = rule.targets.iter();
            targets.any(|target| target.service == *service)
        });
        let seconds = routes.filter_map(|rule| snapshot.elapsed.get(&rule.id));
        let (sum, count) = seconds.fold((0.0, 0), |(sum, count), one| (sum + one, count + 1));
        (count > 0).then(|| sum / f64::from(count))
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

    /// Records how a call to a life ended on its connection, which may show that it has restarted.
    pub(super) fn record_connection(
        &self,
        life: &Life,
        attempt: &Attempt,
        outcome: &Result<Answer, BackendError>,
    ) {
        if attempt.time_left(self.clock.now()).is_zero() {
            return;
        }
        match outcome {
            Err(BackendError::NotSent) => self.lock().notices.mark_unreachable(life),
            Err(BackendError::Lost) => self.lock().notices.mark_lost(life),
            _ => {}
        }
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

    /// Waits until a call may be sent at the present pace, or refuses it.
    pub(super) async fn pace(&self, attempt: &Attempt) -> Result<(), Failure> {
        while let Some(send) = self.reserve(attempt)? {
            if send.wait.is_zero() {
                break;
            }
            self.clock.sleep(send.wait).await;
            let now = self.clock.now();
            let mut state = self.lock();
            let warmup = self.warmup(&state);
            if state.notices.is_valid(&send, warmup, now) {
                break;
            }
        }
        Ok(())
    }

    /// Reserves the send time of a call; `None` if the calls aren't paced.
    fn reserve(&self, attempt: &Attempt) -> Result<Option<PacedSend>, Failure> {
        let now = self.clock.now();
        let wait = if attempt.nested {
            NESTED_MAX_WAIT
        } else {
            MAX_WAIT
        };
        let wait = wait.min(attempt.time_left(now) / 2);
        let mut state = self.lock();
        let warmup = self.warmup(&state);
        match state.notices.reserve(wait, warmup, now).transpose() {
            Ok(send) => Ok(send),
            Err(after) => {
                if state.notices.is_cold(warmup, now) {
                    self.metrics.held_back.inc();
                } else {
                    self.metrics.over_limit.inc();
                }
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

    /// Updates the smoothed run time by a completed run.
    pub(super) fn record_run_time(&mut self, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        let smoothed = self.run_seconds.get_or_insert(seconds);
        *smoothed += (seconds - *smoothed) * RUN_TIME_EWMA_WEIGHT;
    }
}
