//! Admission to one backend server: a concurrency limit and a bounded queue for the calls above it.

use std::time::{Duration, Instant};

use filbertwheel_core::{Criticality, CutOff, OrganisationId, RefusalKind, invariant, value};

use crate::cutoff::AdmissionLevels;
use crate::limit::{ConcurrencyLimit, LatencyLimit, LimitAlgorithm, RunTime};
use crate::queue::Queue;

/// Identifies a call at the gate.
pub type GateTicket = u64;

/// Maximum length of the queue, as a multiple of the concurrency limit.
const QUEUED_PER_SLOT: usize = 2;
/// Upper bound of the queue timeout.
const MAX_QUEUE_TIMEOUT: Duration = Duration::from_millis(500);
/// Lower bound of the queue timeout when calls are faster, unless the deadline is closer.
const MIN_QUEUE_TIMEOUT: Duration = Duration::from_millis(50);
/// Weight of the latest call in the EWMA of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// A call that asks to run.
#[value]
pub struct GateRequest {
    /// Criticality, which decides the order of running and shedding.
    pub criticality: Criticality,
    /// The organisation that the call is charged to.
    pub organisation: Option<OrganisationId>,
    /// Rank among calls of the same criticality; higher ranks are shed first.
    pub rank: u32,
    /// Time after which the caller no longer needs the response.
    pub deadline: Instant,
}

/// Immediate outcome of an offered call.
#[value]
pub enum GateOutcome {
    /// The call runs now.
    Run(GateTicket),
    /// The call is queued.
    Wait(GateTicket),
    /// The call is refused.
    Refuse(RefusalKind),
}

/// Final outcome of a queued call.
#[value]
pub enum WaitOutcome {
    /// The call runs now.
    Run(GateTicket),
    /// The call is refused.
    Refuse(GateTicket, RefusalKind),
}

/// Admission control in front of one backend server.
#[derive(Debug)]
pub struct Gate {
    limit: Box<dyn ConcurrencyLimit>,
    levels: AdmissionLevels,
    running: usize,
    queue: Queue,
    next_ticket: GateTicket,
    service_s: f64,
}

impl Gate {
    /// Creates a gate for a backend server with `slots` slots.
    pub fn open(slots: u32) -> Self {
        Self::with_limit(Box::new(LatencyLimit::open(
            LimitAlgorithm::Aimd,
            slots as usize,
        )))
    }

    /// Creates a gate with the given concurrency limit.
    pub fn with_limit(limit: Box<dyn ConcurrencyLimit>) -> Self {
        Self {
            limit,
            levels: AdmissionLevels::default(),
            running: 0,
            queue: Queue::default(),
            next_ticket: 0,
            service_s: 0.0,
        }
    }

    /// Changes the number of slots.
    pub fn resize(&mut self, slots: u32) {
        self.limit.resize(slots as usize);
    }

    /// Number of running calls.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Number of queued calls.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Current concurrency limit.
    pub fn limit(&self) -> usize {
        self.limit.current()
    }

    /// Expected queueing time of a new call of the lowest criticality.
    pub fn expected_wait(&self) -> Duration {
        self.expected_wait_for(Criticality::Sheddable)
    }

    /// Expected queueing time of a new call of the given criticality.
    pub fn expected_wait_for(&self, criticality: Criticality) -> Duration {
        let limit = self.limit.current().max(1);
        let ahead = self.running + self.queue.ahead_of(criticality);
        Duration::from_secs_f64(self.service_s * ahead as f64 / limit as f64)
    }

    /// Returns the cut-off of an organisation's calls of `criticality`, if any are shed here.
    pub fn cut_off(
        &self,
        organisation: &Option<OrganisationId>,
        criticality: Criticality,
        now: Instant,
    ) -> Option<CutOff> {
        self.levels.cut_off(organisation, criticality, now)
    }

    /// Offers a call. Also returns the outcomes of queued calls that were decided at the same time,
    /// such as calls shed to make room.
    pub fn offer(
        &mut self,
        request: &GateRequest,
        now: Instant,
    ) -> (GateOutcome, Vec<WaitOutcome>) {
        let mut outcomes = self.expire(now);
        if request.deadline <= now {
            return (GateOutcome::Refuse(RefusalKind::Expired), outcomes);
        }
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let queued = self
            .queue
            .contains(&request.organisation, request.criticality);
        self.levels
            .record_offer(&request.organisation, request.criticality, queued, now);
        if self.running < self.limit.current() && self.queue.is_empty() {
            self.running += 1;
            return (GateOutcome::Run(ticket), outcomes);
        }
        self.queue.push(ticket, request, self.expiry(request, now));
        let mut outcome = GateOutcome::Wait(ticket);
        let mut changes = self.start_queued(now);
        changes.extend(self.shed_excess(now));
        for change in changes {
            match change {
                WaitOutcome::Run(run) if run == ticket => outcome = GateOutcome::Run(ticket),
                WaitOutcome::Refuse(shed, kind) if shed == ticket => {
                    outcome = GateOutcome::Refuse(kind)
                }
                other => outcomes.push(other),
            }
        }
        (outcome, outcomes)
    }

    /// Ends a running call and returns the outcomes of the queued calls that this decided.
    pub fn finish(&mut self, run_time: &RunTime, now: Instant) -> Vec<WaitOutcome> {
        invariant!(
            "gate-counts-running",
            self.running > 0,
            "a call finished while none was running"
        );
        self.limit.observe(run_time, self.running, now);
        self.running = self.running.saturating_sub(1);
        self.service_s += (run_time.elapsed.as_secs_f64() - self.service_s) * SERVICE_TIME_WEIGHT;
        self.start_queued(now)
    }

    /// Releases the slot of a call that was admitted but did not run.
    pub fn abandon(&mut self, now: Instant) -> Vec<WaitOutcome> {
        invariant!(
            "gate-counts-running",
            self.running > 0,
            "a call was abandoned while none was running"
        );
        self.running = self.running.saturating_sub(1);
        self.start_queued(now)
    }

    /// Removes a queued call. Returns whether it was still queued.
    pub fn cancel(&mut self, ticket: GateTicket) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// Refuses the calls whose time in the queue has expired.
    pub fn expire(&mut self, now: Instant) -> Vec<WaitOutcome> {
        let mut outcomes = Vec::new();
        while let Some(late) = self.queue.expired(now) {
            self.levels
                .record_refusal(&late.organisation, late.criticality, now);
            outcomes.push(WaitOutcome::Refuse(late.ticket, RefusalKind::Overloaded));
        }
        outcomes
    }

    fn start_queued(&mut self, now: Instant) -> Vec<WaitOutcome> {
        let mut outcomes = self.expire(now);
        while self.running < self.limit.current() {
            let Some(next) = self.queue.pop() else {
                break;
            };
            self.running += 1;
            outcomes.push(WaitOutcome::Run(next.ticket));
        }
        outcomes
    }

    /// Sheds calls until the queue is within its maximum length.
    fn shed_excess(&mut self, now: Instant) -> Vec<WaitOutcome> {
        let mut outcomes = Vec::new();
        while self.queue.len() > self.limit.current() * QUEUED_PER_SLOT {
            let Some(shed) = self.queue.shed() else {
                break;
            };
            self.levels
                .record_refusal(&shed.organisation, shed.criticality, now);
            outcomes.push(WaitOutcome::Refuse(shed.ticket, RefusalKind::Overloaded));
        }
        outcomes
    }

    /// Returns when a queued call expires. It waits no longer than the bounded service time, and
    /// leaves enough time to finish before its deadline.
    fn expiry(&self, request: &GateRequest, now: Instant) -> Instant {
        let time_left = request.deadline.saturating_duration_since(now);
        let service_time = Duration::from_secs_f64(self.service_s);
        let run_time_needed = service_time.min(time_left / 2);
        // No service time has been measured before the first call ends.
        let timeout = if service_time.is_zero() {
            MAX_QUEUE_TIMEOUT
        } else {
            service_time.clamp(MIN_QUEUE_TIMEOUT, MAX_QUEUE_TIMEOUT)
        };
        now + (time_left - run_time_needed).min(timeout)
    }
}
