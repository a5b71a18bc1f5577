//! Admission to one backend server: how many calls run, and which of the others wait.

use std::time::{Duration, Instant};

use filbertwheel_core::{Criticality, CutOff, OrganisationId, RefusalKind, invariant, value};

use crate::cutoff::Levels;
use crate::limit::{ConcurrencyLimit, LatencyLimit, LimitAlgorithm, RunTime};
use crate::queue::Queue;

/// Stands for a call at the gate.
pub type GateTicket = u64;

/// Waiting calls for each running one, at most.
const QUEUE_FACTOR: usize = 2;
/// Longest wait in the queue.
const LONGEST_WAIT: Duration = Duration::from_millis(500);
/// Longest wait where calls are faster than it.
const SHORTEST_BOUND: Duration = Duration::from_millis(50);
/// Weight of the newest call in the smoothed service time.
const SERVICE_WEIGHT: f64 = 0.1;

/// A call that asks to run.
#[value]
pub struct GateRequest {
    /// How much it matters.
    pub criticality: Criticality,
    /// The organisation that it runs for.
    pub organisation: Option<OrganisationId>,
    /// Its position among calls of the same criticality.
    pub rank: u32,
    /// When its answer is no longer wanted.
    pub deadline: Instant,
}

/// What becomes of a call that asks to run.
#[value]
pub enum GateOutcome {
    /// It runs now.
    Run(GateTicket),
    /// It waits for a release.
    Wait(GateTicket),
    /// It's refused.
    Refuse(RefusalKind),
}

/// What becomes of a waiting call.
#[value]
pub enum WaitOutcome {
    /// It runs now.
    Run(GateTicket),
    /// It's refused.
    Refuse(GateTicket, RefusalKind),
}

/// The gate before one backend server.
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
    /// A gate before a backend server that runs at most `slots` calls at once.
    pub fn open(slots: u32) -> Self {
        Self::with_limit(Box::new(LatencyLimit::open(
            LimitAlgorithm::Aimd,
            slots as usize,
        )))
    }

    /// A gate with a limit of its own.
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

    /// Takes over a new number of slots.
    pub fn resize(&mut self, slots: u32) {
        self.limit.resize(slots as usize);
    }

    /// Calls that are running.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Calls that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Calls that may run at once at present.
    pub fn limit(&self) -> usize {
        self.limit.current()
    }

    /// How long a new call would wait.
    pub fn wait(&self) -> Duration {
        self.wait_of(Criticality::Sheddable)
    }

    /// How long a new call of some criticality would wait.
    pub fn wait_of(&self, criticality: Criticality) -> Duration {
        let limit = self.limit.current().max(1);
        let ahead = self.running + self.queue.ahead_of(criticality);
        Duration::from_secs_f64(self.service * ahead as f64 / limit as f64)
    }

    /// Which calls of an organisation are shed here, as seen by one of `criticality`.
    pub fn cut_off(
        &self,
        organisation: &Option<OrganisationId>,
        criticality: Criticality,
        now: Instant,
    ) -> Option<CutOff> {
        self.levels.cut_off(organisation, criticality, now)
    }

    /// Takes a call. The releases are calls that were shed to make room for it.
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

    /// Ends a running call and lets others run in its place.
    pub fn finish(&mut self, spent: &RunTime, now: Instant) -> Vec<WaitOutcome> {
        invariant!(
            "gate-counts-running",
            self.running > 0,
            "a call ended that never ran"
        );
        self.limit.observe(spent, self.running, now);
        self.running = self.running.saturating_sub(1);
        self.service += (spent.elapsed.as_secs_f64() - self.service) * SERVICE_WEIGHT;
        self.refill(now)
    }

    /// Gives back the place of a call that was let through but didn't run.
    pub fn abandon(&mut self, now: Instant) -> Vec<WaitOutcome> {
        invariant!(
            "gate-counts-running",
            self.running > 0,
            "a call was abandoned that was never let through"
        );
        self.running = self.running.saturating_sub(1);
        self.refill(now)
    }

    /// Takes a waiting call out. Returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: GateTicket) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// Refuses calls that have waited too long.
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

    /// Sheds what's over the length of the queue.
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

    /// When a call has waited too long: longer than calls take, or too long to end before its
    /// deadline.
    fn expiry(&self, entry: &GateRequest, now: Instant) -> Instant {
        let left = entry.deadline.saturating_duration_since(now);
        let service = Duration::from_secs_f64(self.service);
        let needed = service.min(left / 2);
        // Before the first call has ended, nothing is known of the service time.
        let bound = if service.is_zero() {
            LONGEST_WAIT
        } else {
            service.clamp(SHORTEST_BOUND, LONGEST_WAIT)
        };
        now + (left - needed).min(bound)
    }
}
