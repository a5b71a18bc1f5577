//! Admission to one backend server: a concurrency limit and a bounded queue for the calls above it.

use std::time::{Duration, Instant};

use filbertwheel_core::{Criticality, CutOff, OrganisationId, RefusalKind, invariant, value};

use crate::cutoff::Levels;
use crate::limit::{ConcurrencyLimit, LatencyLimit, LimitAlgorithm, RunTime};
use crate::queue::Queue;

/// Identifies a call at the gate.
pub type GateTicket = u64;

/// Length of the queue, as a multiple of the concurrency limit.
const QUEUE_FACTOR: usize = 2;
/// Upper bound of the time that a call may wait in the queue.
const LONGEST_WAIT: Duration = Duration::from_millis(500);
/// Lower bound of the time that a call may wait in the queue if its deadline allows.
const SHORTEST_BOUND: Duration = Duration::from_millis(50);
/// Weight of the latest call in the EWMA of the service time.
const SERVICE_WEIGHT: f64 = 0.1;

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
    levels: Levels,
    running: usize,
    queue: Queue,
    next: GateTicket,
    service: f64,
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
            levels: Levels::default(),
            running: 0,
            queue: Queue::default(),
            next: 0,
            service: 0.0,
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
    pub fn wait(&self) -> Duration {
        self.wait_of(Criticality::Sheddable)
    }

    /// Expected queueing time of a new call of the given criticality.
    pub fn wait_of(&self, criticality: Criticality) -> Duration {
        let limit = self.limit.current().max(1);
        let ahead = self.running + self.queue.ahead_of(criticality);
        Duration::from_secs_f64(self.service * ahead as f64 / limit as f64)
    }

    /// Returns the shed threshold for an organisation's calls, as it applies to calls of
    /// `criticality`.
    pub fn cut_off(
        &self,
        organisation: &Option<OrganisationId>,
        criticality: Criticality,
        now: Instant,
    ) -> Option<CutOff> {
        self.levels.cut_off(organisation, criticality, now)
    }

    /// Offers a call. The second value holds the outcomes of queued calls that this decided, such
    /// as calls shed to make room.
    pub fn offer(&mut self, entry: &GateRequest, now: Instant) -> (GateOutcome, Vec<WaitOutcome>) {
        let mut releases = self.expire(now);
        if entry.deadline <= now {
            return (GateOutcome::Refuse(RefusalKind::Expired), releases);
        }
        self.next += 1;
        let ticket = self.next;
        let queued = self.queue.has(&entry.organisation, entry.criticality);
        self.levels
            .offer(&entry.organisation, entry.criticality, queued, now);
        if self.running < self.limit.current() && self.queue.is_empty() {
            self.running += 1;
            return (GateOutcome::Run(ticket), releases);
        }
        self.queue.push(ticket, entry, self.expiry(entry, now));
        let mut offer = GateOutcome::Wait(ticket);
        let mut changes = self.refill(now);
        changes.extend(self.trim(now));
        for release in changes {
            match release {
                WaitOutcome::Run(run) if run == ticket => offer = GateOutcome::Run(ticket),
                WaitOutcome::Refuse(shed, kind) if shed == ticket => {
                    offer = GateOutcome::Refuse(kind)
                }
                other => releases.push(other),
            }
        }
        (offer, releases)
    }

    /// Ends a running call and returns the outcomes of the queued calls that this decided.
    pub fn finish(&mut self, spent: &RunTime, now: Instant) -> Vec<WaitOutcome> {
        invariant!(
            "gate-counts-running",
            self.running > 0,
            "a call finished while none was running"
        );
        self.limit.observe(spent, self.running, now);
        self.running = self.running.saturating_sub(1);
        self.service += (spent.elapsed.as_secs_f64() - self.service) * SERVICE_WEIGHT;
        self.refill(now)
    }

    /// Releases the slot of a call that was admitted but did not run.
    pub fn abandon(&mut self, now: Instant) -> Vec<WaitOutcome> {
        invariant!(
            "gate-counts-running",
            self.running > 0,
            "a call was abandoned while none was running"
        );
        self.running = self.running.saturating_sub(1);
        self.refill(now)
    }

    /// Removes a queued call. Returns whether it was still queued.
    pub fn cancel(&mut self, ticket: GateTicket) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// Refuses the calls whose time in the queue has expired.
    pub fn expire(&mut self, now: Instant) -> Vec<WaitOutcome> {
        let mut releases = Vec::new();
        while let Some(late) = self.queue.expired(now) {
            self.levels.refuse(&late.owner, late.criticality, now);
            releases.push(WaitOutcome::Refuse(late.ticket, RefusalKind::Overloaded));
        }
        releases
    }

    fn refill(&mut self, now: Instant) -> Vec<WaitOutcome> {
        let mut releases = self.expire(now);
        while self.running < self.limit.current() {
            let Some(next) = self.queue.pop() else {
                break;
            };
            self.running += 1;
            releases.push(WaitOutcome::Run(next.ticket));
        }
        releases
    }

    /// Sheds calls until the queue is within its maximum length.
    fn trim(&mut self, now: Instant) -> Vec<WaitOutcome> {
        let mut releases = Vec::new();
        while self.queue.len() > self.limit.current() * QUEUE_FACTOR {
            let Some(shed) = self.queue.shed() else {
                break;
            };
            self.levels.refuse(&shed.owner, shed.criticality, now);
            releases.push(WaitOutcome::Refuse(shed.ticket, RefusalKind::Overloaded));
        }
        releases
    }

    /// Returns when a queued call expires. It waits no longer than the bounded service time, and
    /// leaves enough time to finish before its deadline.
    fn expiry(&self, entry: &GateRequest, now: Instant) -> Instant {
        let left = entry.deadline.saturating_duration_since(now);
        let service = Duration::from_secs_f64(self.service);
        let needed = service.min(left / 2);
        // No service time has been measured before the first call ends.
        let bound = if service.is_zero() {
            LONGEST_WAIT
        } else {
            service.clamp(SHORTEST_BOUND, LONGEST_WAIT)
        };
        now + (left - needed).min(bound)
    }
}
