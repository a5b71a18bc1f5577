//! What a node knows of the work at its backend server: the server's speed, what calls cost, and
//! what is left of those that run.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use filbertwheel_core::{OrganisationId, RouteId};

use crate::expected_work::{Expectation, ExpectedWork, WorkSeconds};
use crate::speed::Speed;

/// Identifies a run at a backend server.
pub type RunTicket = u64;

/// How long the work left of the runs is taken as unchanged. Runs that begin and end count at once.
const RECOUNT_INTERVAL: Duration = Duration::from_millis(20);
/// Time without the begin of a run after which a server is idle.
const IDLE_TIME: Duration = Duration::from_secs(1);

/// Speed of a backend server, and the work that it has and is given.
#[derive(Debug)]
pub struct WorkMeter {
    speed: Speed,
    expected: ExpectedWork,
    running: HashMap<RunTicket, RunningCall>,
    /// Sum of the work left of the runs.
    left: WorkSeconds,
    counted: Instant,
    last_begin: Instant,
    last_ticket: RunTicket,
}

#[derive(Debug)]
struct RunningCall {
    route: RouteId,
    organisation: Option<OrganisationId>,
    expected: Expectation,
    /// Mean time of the route over all servers when the run began.
    fleet_mean: Option<WorkSeconds>,
    /// Slowness of the server when the run began.
    slowness: f64,
    began: Instant,
    deadline: Instant,
    /// Work left of it, as it counts in the sum.
    left: WorkSeconds,
}

/// A call as far as its work is concerned.
#[derive(Debug, Clone, Copy)]
pub struct CallWork<'a> {
    /// Its route.
    pub route: &'a RouteId,
    /// The organisation that sent it, if any.
    pub organisation: Option<&'a OrganisationId>,
    /// Mean time of the route's runs over all servers, in seconds, if known.
    pub fleet_mean: Option<WorkSeconds>,
    /// Time after which its run is of no use.
    pub deadline: Instant,
}

/// Calls at a backend server and in the queue before it.
#[derive(Debug, Clone, Copy)]
pub struct Occupancy {
    /// Running calls.
    pub running: u32,
    /// Queued calls.
    pub queued: u32,
    /// Work of the queued calls.
    pub queued_work: Duration,
    /// Calls that may run concurrently.
    pub slots: u32,
}

/// Work at a backend server, as other nodes are told.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkFigures {
    /// Present slowness, where 1 is the mean over all servers of the service.
    pub slowness: f64,
    /// Usual slowness.
    pub usual_slowness: f64,
    /// Seconds for which the running and queued calls occupy all slots at the present speed.
    pub backlog: f64,
    /// Seconds until a call that arrives now starts.
    pub delay: f64,
    /// Whether no run has begun for some time.
    pub idle: bool,
}

/// What a finished run has shown.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MeasuredRun {
    /// Its work, at a server of usual speed, relative to the expected work.
    pub ratio: f64,
}

impl WorkMeter {
    /// Creates the state of a server of which nothing is known.
    pub fn open(now: Instant) -> Self {
        Self {
            speed: Speed::open(now),
            expected: ExpectedWork::default(),
            running: HashMap::new(),
            left: 0.0,
            counted: now,
            last_begin: now,
            last_ticket: 0,
        }
    }

    /// Forgets the speed at the begin of a new life of the server. What calls cost stays.
    pub fn begin_life(&mut self, now: Instant) {
        self.speed = Speed::open(now);
    }

    /// Records the slowness that a response states.
    pub fn record_stated(&mut self, slowness: f32, now: Instant) {
        self.speed.record_stated(slowness, now);
    }

    /// Returns the work that a call is expected to take.
    pub fn expect(&self, call: CallWork<'_>) -> Expectation {
        self.expected
            .expect(call.route, call.organisation, call.fleet_mean)
    }

    /// Returns the time that a call is expected to take at the present speed.
    pub fn expected_time(&self, call: CallWork<'_>, now: Instant) -> Duration {
        let seconds = self.expect(call).work * self.speed.present(now);
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }

    /// Records the begin of a run.
    pub fn begin(&mut self, call: CallWork<'_>, now: Instant) -> RunTicket {
        self.last_begin = now;
        let expected = self.expect(call);
        let run = RunningCall {
            route: call.route.clone(),
            organisation: call.organisation.cloned(),
            expected,
            fleet_mean: call.fleet_mean,
            slowness: self.speed.present(now),
            began: now,
            deadline: call.deadline,
            left: expected.work,
        };
        self.left += run.left;
        self.last_ticket += 1;
        self.running.insert(self.last_ticket, run);
        self.last_ticket
    }

    /// Records the end of a run. One that was aborted or has failed shows nothing of work or speed.
    pub fn end(&mut self, ticket: RunTicket, completed: bool, now: Instant) -> Option<MeasuredRun> {
        let run = self.running.remove(&ticket)?;
        self.left = if self.running.is_empty() {
            0.0
        } else {
            (self.left - run.left).max(0.0)
        };
        if !completed {
            return None;
        }
        let elapsed = now.saturating_duration_since(run.began).as_secs_f64();
        let slowness = (run.slowness + self.speed.present(now)) / 2.0;
        let work = elapsed / slowness;
        if let Some(mean) = run.fleet_mean.filter(|mean| *mean > 0.0) {
            let ratio = elapsed / (mean * run.expected.factor);
            self.speed.record_run(ratio, now);
        }
        self.expected
            .record(&run.route, run.organisation.as_ref(), work);
        let ratio = work / run.expected.work;
        Some(MeasuredRun { ratio })
    }

    /// Returns the work at the server for other nodes.
    pub fn figures(&mut self, occupancy: Occupancy, now: Instant) -> WorkFigures {
        self.recount(now);
        let slowness = self.speed.present(now);
        let slots = f64::from(occupancy.slots.max(1));
        let queued = occupancy.queued_work.as_secs_f64();
        let running = self.running.len().max(1) as f64;
        // A slot becomes free after the work left of one run, divided by the number of runs.
        let delay = if occupancy.running + occupancy.queued < occupancy.slots {
            0.0
        } else {
            queued + self.left / running
        };
        WorkFigures {
            slowness,
            usual_slowness: self.speed.usual(now),
            backlog: (self.left + queued) * slowness / slots,
            delay: delay * slowness / slots,
            idle: now.saturating_duration_since(self.last_begin) > IDLE_TIME,
        }
    }

    /// Updates the work left of the runs. None occupies its slot after its deadline.
    fn recount(&mut self, now: Instant) {
        if now.saturating_duration_since(self.counted) < RECOUNT_INTERVAL {
            return;
        }
        self.counted = now;
        let slowness = self.speed.present(now);
        let expected = &self.expected;
        for run in self.running.values_mut() {
            let elapsed = now.saturating_duration_since(run.began).as_secs_f64();
            let done = elapsed * 2.0 / (run.slowness + slowness);
            let until_deadline = run.deadline.saturating_duration_since(now).as_secs_f64();
            run.left = expected
                .left(&run.route, run.expected, done)
                .min(until_deadline / slowness);
        }
        self.left = self.running.values().map(|run| run.left).sum();
    }
}
