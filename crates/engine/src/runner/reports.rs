//! What the status reports of the backend server, and departures of before this process, say of its
//! present life.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertwheel_backend::{BackendInstance, StatusReport};
use filbertwheel_core::Status;
use filbertwheel_policy::{Departure, Health};

use super::{BackendState, Instance, Runner, State};
use crate::control::Message;

/// Number of missed status reports after which the backend server counts as silent.
const MISSED_REPORTS: u32 = 4;

impl Runner {
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
        let life = (report.instance.clone(), report.started_ms);
        let known = state.instance.as_ref();
        if known.is_none_or(|known| known.life() != life) {
            let has_left = self.departures.has_left(&life.0, life.1);
            state.notices.begin_life(life, now);
            if has_left {
                state.notices.mark_leaving(now);
            }
        }
        let known = state.instance.as_ref();
        let server = match known.filter(|known| known.is_same_life(report)) {
            Some(known) => Arc::clone(&known.server),
            None => self.open_instance(&mut state, report, now),
        };
        if report.status >= Status::Draining {
            state.notices.mark_leaving(now);
        }
        let (left, sequence) = (report.warmup_left, report.sequence);
        state.notices.report_warmup(left, sequence, now);
        let status = state.status(report.status);
        let state = &mut *state;
        let released = state.queue.resize(report.slots as usize);
        state.release(released);
        state.instance = Some(Instance {
            server,
            instance: report.instance.clone(),
            service: report.service.clone(),
            address: report.address,
            status,
            slots: report.slots,
            started_ms: report.started_ms,
            sequence: report.sequence,
            last_heard: now,
        });
        state.instance.as_ref().map(Instance::backend_state)
    }

    /// Begins a new life of the backend server. Returns its client.
    fn open_instance(
        &self,
        state: &mut State,
        report: &StatusReport,
        now: Instant,
    ) -> Arc<dyn BackendInstance> {
        let previous_status = state.instance.as_ref().map(|instance| instance.status);
        if previous_status == Some(Status::Serving) {
            self.crashes().record_exit();
        }
        state.health = Health::open(now);
        if let Some(work) = &mut state.work {
            work.begin_life(now);
        }
        tracing::info!(
            backend = %report.instance,
            service = %report.service,
            slots = report.slots,
            "runner: A backend server instance has started."
        );
        self.backends.open(report.address)
    }

    /// Records that lives of the backend server have ended or are about to, and sends no more requests
    /// there if the present one is among them.
    pub fn mark_leaving(&self, departure: &Departure) {
        self.departures.record(departure.clone());
        self.end_departed_life();
    }

    /// Returns whether the status reports are relied on.
    pub fn trusts_reports(&self) -> bool {
        self.lock().trusts_reports
    }

    /// Relies on the status reports from now on, since departures of before this process are known.
    pub fn trust_reports(&self) {
        self.end_departed_life();
        let mut state = self.lock();
        if std::mem::replace(&mut state.trusts_reports, true) {
            return;
        }
        if let Some(instance) = &mut state.instance
            && instance.status == Status::Joining
        {
            instance.status = Status::Serving;
            let state = instance.backend_state();
            self.inbox.push_urgent(Message::BackendState(state));
        }
    }

    /// Takes the present life out of use if it has left.
    fn end_departed_life(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(instance) = &mut state.instance else {
            return;
        };
        let has_left = self
            .departures
            .has_left(&instance.instance, instance.started_ms);
        if has_left && instance.status < Status::Draining {
            tracing::info!(
                backend = %instance.instance,
                "runner: The backend server instance has left."
            );
            instance.status = Status::Gone;
            state.notices.mark_leaving(now);
            self.inbox.push_urgent(Message::Leaving);
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
}

impl State {
    /// Returns whether the present life of the backend server is leaving or has left.
    pub(super) fn is_leaving(&self) -> bool {
        let instance = self.instance.as_ref();
        instance.is_some_and(|instance| instance.status >= Status::Draining)
    }

    /// Returns the status of the present life after a report.
    fn status(&self, reported: Status) -> Status {
        if self.notices.is_leaving() {
            return reported.max(Status::Draining);
        }
        match reported {
            Status::Serving if !self.trusts_reports => Status::Joining,
            _ => reported,
        }
    }
}
