//! The queue before one backend server.
//!
//! It holds back what the backend server has no slot for, so that nothing waits where it can't be
//! seen. Waiting calls leave by rank, then by when they are due.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant;

use filbertwheel_core::{invariant, value};

/// Stands for a call at the intake.
pub type QueueTicket = u64;

/// Waiting calls for each slot, at most.
const MAX_QUEUED_PER_SLOT: usize = 8;
/// Waiting calls at most, however few slots there are.
const MIN_QUEUE_CAPACITY: usize = 64;

/// A call that asks to run.
#[value]
#[derive(Copy)]
pub struct QueueRequest {
    /// Calls with a lower rank run first.
    pub rank: u32,
    /// When its answer is due; among calls of a rank, the earliest runs first.
    pub due: Instant,
    /// When it's no longer worth running.
    pub expires: Instant,
}

/// What becomes of a call that asks to run.
#[value]
#[derive(Copy)]
pub enum QueueOutcome {
    /// It runs now.
    Run,
    /// It waits for its turn.
    Wait(QueueTicket),
    /// There's no room for it.
    Full,
}

/// The queue before one backend server.
#[derive(Debug)]
pub struct AdmissionQueue {
    slots: usize,
    running: usize,
    last_ticket: QueueTicket,
    queue: BTreeSet<QueuePosition>,
    waiting: HashMap<QueueTicket, QueueRequest>,
    expiry: BTreeMap<(Instant, QueueTicket), ()>,
}

type QueuePosition = (u32, Instant, QueueTicket);

impl AdmissionQueue {
    /// An intake before a backend server that runs `slots` calls at once.
    pub fn open(slots: usize) -> Self {
        Self {
            slots: slots.max(1),
            running: 0,
            last_ticket: 0,
            queue: BTreeSet::new(),
            waiting: HashMap::new(),
            expiry: BTreeMap::new(),
        }
    }

    /// Calls that run.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Calls that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Calls that may run at once.
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Takes over another number of slots. Returns the calls that run now.
    pub fn resize(&mut self, slots: usize) -> Vec<QueueTicket> {
        self.slots = slots.max(1);
        self.start_queued()
    }

    /// Takes a call.
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
        self.queue.insert((request.rank, request.due, ticket));
        self.expiry.insert((request.expires, ticket), ());
        self.waiting.insert(ticket, request);
        QueueOutcome::Wait(ticket)
    }

    /// Ends a running call. Returns the calls that run in its place.
    pub fn finish(&mut self) -> Vec<QueueTicket> {
        invariant!(
            "intake-counts-running",
            self.running > 0,
            "a call ended that never ran"
        );
        self.running = self.running.saturating_sub(1);
        self.start_queued()
    }

    /// Takes a waiting call out. Returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: QueueTicket) -> bool {
        let Some(request) = self.waiting.remove(&ticket) else {
            return false;
        };
        self.queue.remove(&(request.rank, request.due, ticket));
        self.expiry.remove(&(request.expires, ticket));
        true
    }

    /// Takes out the calls that are no longer worth running.
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
