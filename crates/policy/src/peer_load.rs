//! Load of another node's backend server, as a sender knows it: the last report, and what it has
//! sent there since.

use std::time::{Duration, Instant};

use crate::expected_work::WorkSeconds;
use crate::{BackendLoad, BackendView, Distance};

/// Most seconds that a reported time counts for.
const MAX_SECONDS: f32 = 60.0;
/// Range of a reported slowness.
const MIN_SLOWNESS: f32 = 0.1;
const MAX_SLOWNESS: f32 = 20.0;

/// Load of another node's backend server.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerLoad {
    load: BackendLoad,
    received: Option<Instant>,
    /// Number of the report.
    reports: u64,
    calls: u32,
    work: WorkSeconds,
}

/// A call that was sent to another node.
#[derive(Debug, Clone, Copy)]
pub struct SentCall {
    /// Number of the last report before it.
    reports: u64,
    work: WorkSeconds,
}

impl PeerLoad {
    /// Returns the last reported load.
    pub fn load(&self) -> BackendLoad {
        self.load
    }

    /// Returns the server as a candidate. `in_flight` is the number of all unanswered calls.
    pub fn view(
        &self,
        in_flight: u32,
        distance: Distance,
        last_failure: Option<Instant>,
    ) -> BackendView {
        BackendView {
            load: self.load,
            reported: self.received,
            in_flight,
            pending: self.calls,
            pending_work: self.work,
            distance,
            last_failure,
        }
    }

    /// Records a report. It counts the calls that were sent before it.
    pub fn record(&mut self, load: BackendLoad, now: Instant) {
        self.load = plausible(load);
        self.received = Some(now);
        self.reports += 1;
        self.calls = 0;
        self.work = 0.0;
    }

    /// Records a call that is sent.
    pub fn begin(&mut self, work: Duration) -> SentCall {
        let work = work.as_secs_f64();
        self.calls += 1;
        self.work += work;
        SentCall {
            reports: self.reports,
            work,
        }
    }

    /// Records the end of a call. It counts no more, unless a report has come since it was sent.
    pub fn end(&mut self, call: SentCall) {
        if call.reports == self.reports {
            self.calls = self.calls.saturating_sub(1);
            self.work = (self.work - call.work).max(0.0);
        }
    }
}

/// Replaces figures that can't be right by neutral ones.
fn plausible(load: BackendLoad) -> BackendLoad {
    let slowness = |figure: f32| {
        if figure.is_finite() {
            figure.clamp(MIN_SLOWNESS, MAX_SLOWNESS)
        } else {
            1.0
        }
    };
    let seconds = |figure: f32| {
        if figure.is_finite() {
            figure.clamp(0.0, MAX_SECONDS)
        } else {
            0.0
        }
    };
    BackendLoad {
        slowness: slowness(load.slowness),
        usual_slowness: slowness(load.usual_slowness),
        failing: if load.failing.is_finite() {
            load.failing.clamp(0.0, 1.0)
        } else {
            0.0
        },
        backlog: seconds(load.backlog),
        delay: seconds(load.delay),
        ..load
    }
}
