//! Admission queue of one backend server.
//!
//! Calls for which the backend server has no free slot are queued in the node, where the queue is
//! visible, rather than inside the backend server. They start by rank, then by the time at which
//! their response is due plus their expected work. So a long call lets short ones pass that are due
//! little later, and only calls that arrive within its own time ahead can pass it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use filbertwheel_core::{invariant, value};

/// Identifies a queued call.
pub type QueueTicket = u64;

/// Maximum number of queued calls per slot.
const MAX_QUEUED_PER_SLOT: usize = 8;
/// Maximum number of queued calls for a backend server with few slots.
const MIN_QUEUE_CAPACITY: usize = 64;

/// Call that is offered to the queue.
#[value]
#[derive(Copy)]
pub struct QueueRequest {
    /// Calls with a lower rank run first.
    pub rank: u32,
    /// When its response is due.
    pub due: Instant,
    /// Time that it is expected to take; zero if only due times count.
    pub work: Duration,
    /// When the call leaves the queue without having run.
    pub expires: Instant,
}

/// Outcome of offering a call to the queue.
#[value]
#[derive(Copy)]
pub enum QueueOutcome {
    /// The call runs now.
    Run,
    /// The call is queued.
    Wait(QueueTicket),
    /// The queue is full.
    Full,
}

/// Bounded priority queue in front of one backend server.
#[derive(Debug)]
pub struct AdmissionQueue {
    slots: usize,
    running: usize,
    last_ticket: QueueTicket,
    queue: BTreeSet<QueuePosition>,
    waiting: HashMap<QueueTicket, QueueRequest>,
    expiry: BTreeMap<(Instant, QueueTicket), ()>,
    queued_work: Duration,
}

type QueuePosition = (u32, Instant, QueueTicket);

impl QueueRequest {
    fn position(&self, ticket: QueueTicket) -> QueuePosition {
        let order = self.due.checked_add(self.work).unwrap_or(self.due);
        (self.rank, order, ticket)
    }
}

impl AdmissionQueue {
    /// Creates the queue of a backend server that runs `slots` calls concurrently.
    pub fn open(slots: usize) -> Self {
        Self {
            slots: slots.max(1),
            running: 0,
            last_ticket: 0,
            queue: BTreeSet::new(),
            waiting: HashMap::new(),
            expiry: BTreeMap::new(),
            queued_work: Duration::ZERO,
        }
    }

    /// Returns the number of running calls.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of queued calls.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the time that the queued calls are expected to take.
    pub fn queued_work(&self) -> Duration {
        self.queued_work
    }

    /// Returns the number of calls that may run concurrently.
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Changes the number of slots. Returns the queued calls that start as a result.
    pub fn resize(&mut self, slots: usize) -> Vec<QueueTicket> {
        self.slots = slots.max(1);
        self.start_queued()
    }

    /// Starts a call if a slot is free, otherwise queues it.
    pub fn offer(&mut self, request: QueueRequest) -> QueueOutcome {
        if self.running < self.slots && self.queue.is_empty() {
            self.running += 1;
            return QueueOutcome::Run;
        }
        if self.queue.len() >= (self.slots * MAX_QUEUED_PER_SLOT).max(MIN_QUEUE_CAPACITY) {
            return QueueOutcome::Full;
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.queue.insert(request.position(ticket));
        self.queued_work += request.work;
        self.expiry.insert((request.expires, ticket), ());
        self.waiting.insert(ticket, request);
        QueueOutcome::Wait(ticket)
    }

    /// Frees the slot of a finished call. Returns the queued calls that start as a result.
    pub fn finish(&mut self) -> Vec<QueueTicket> {
        invariant!(
            "intake-counts-running",
            self.running > 0,
            "a call finished while none was running"
        );
        self.running = self.running.saturating_sub(1);
        self.start_queued()
    }

    /// Removes a queued call. Returns whether it was still queued.
    pub fn cancel(&mut self, ticket: QueueTicket) -> bool {
        let Some(request) = self.waiting.remove(&ticket) else {
            return false;
        };
        self.queue.remove(&request.position(ticket));
        self.queued_work -= request.work;
        self.expiry.remove(&(request.expires, ticket));
        true
    }

    /// Removes and returns the queued calls that have expired.
    pub fn expire(&mut self, now: Instant) -> Vec<QueueTicket> {
        let expired: Vec<QueueTicket> = self
            .expiry
            .range(..=(now, QueueTicket::MAX))
            .map(|((_, ticket), ())| *ticket)
            .collect();
        for ticket in &expired {
            self.cancel(*ticket);
        }
        expired
    }

    /// Starts queued calls while slots are free. Returns those that started.
    fn start_queued(&mut self) -> Vec<QueueTicket> {
        let mut started = Vec::new();
        while self.running < self.slots {
            let Some((_, _, ticket)) = self.queue.first().copied() else {
                break;
            };
            self.cancel(ticket);
            self.running += 1;
            started.push(ticket);
        }
        started
    }
}
