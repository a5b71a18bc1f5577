//! Admission to one backend server: how many calls run, and which of the others wait.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbertwheel_core::{Criticality, OrganisationId, RefusalKind, invariant, value};

/// Stands for a call at the gate.
pub type Ticket = u64;

/// Waiting calls for each running one, at most.
const QUEUE_FACTOR: usize = 2;
/// Longest wait in the queue.
const LONGEST_WAIT: Duration = Duration::from_millis(500);
/// Weight of the newest call in the smoothed service time.
const SERVICE_WEIGHT: f64 = 0.1;

/// A call that asks to run.
#[value]
pub struct Entry {
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
pub enum Offer {
    /// It runs now.
    Run(Ticket),
    /// It waits for a release.
    Wait(Ticket),
    /// It's refused.
    Refuse(RefusalKind),
}

/// What becomes of a waiting call.
#[value]
pub enum Release {
    /// It runs now.
    Run(Ticket),
    /// It's refused.
    Refuse(Ticket, RefusalKind),
}

/// The gate before one backend server.
#[derive(Debug)]
pub struct Gate {
    slots: usize,
    running: usize,
    queue: BTreeMap<Place, Waiting>,
    next: Ticket,
    service: f64,
}

/// Order in the queue: the first runs next, the last is shed first.
type Place = (Reverse<Criticality>, u32, Ticket);

#[derive(Debug)]
struct Waiting {
    expires: Instant,
}

impl Gate {
    /// A gate before a backend server that runs `slots` calls at once.
    pub fn open(slots: u32) -> Self {
        Self {
            slots: slots as usize,
            running: 0,
            queue: BTreeMap::new(),
            next: 0,
            service: 0.0,
        }
    }

    /// Takes over a new number of slots.
    pub fn resize(&mut self, slots: u32) {
        self.slots = slots as usize;
    }

    /// Calls that are running.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Calls that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// How long a new call would wait.
    pub fn wait(&self) -> Duration {
        let ahead = (self.running + self.queue.len()) as f64 / self.slots.max(1) as f64;
        Duration::from_secs_f64(self.service * ahead)
    }

    /// Takes a call. The releases are calls that were shed to make room for it.
    pub fn offer(&mut self, entry: &Entry, now: Instant) -> (Offer, Vec<Release>) {
        let mut releases = self.expire(now);
        if entry.deadline <= now {
            return (Offer::Refuse(RefusalKind::Expired), releases);
        }
        self.next += 1;
        let ticket = self.next;
        if self.running < self.slots && self.queue.is_empty() {
            self.running += 1;
            return (Offer::Run(ticket), releases);
        }
        let place = (Reverse(entry.criticality), entry.rank, ticket);
        if self.queue.len() >= self.slots * QUEUE_FACTOR {
            match self.queue.last_key_value().map(|(last, _)| *last) {
                Some(last) if place < last => {
                    self.queue.remove(&last);
                    releases.push(Release::Refuse(last.2, RefusalKind::Overloaded));
                }
                _ => return (Offer::Refuse(RefusalKind::Overloaded), releases),
            }
        }
        let expires = entry.deadline.min(now + LONGEST_WAIT);
        self.queue.insert(place, Waiting { expires });
        (Offer::Wait(ticket), releases)
    }

    /// Ends a running call, which took `elapsed`, and lets others run in its place.
    pub fn finish(&mut self, elapsed: Duration, now: Instant) -> Vec<Release> {
        invariant!(
            "gate-counts-running",
            self.running > 0,
            "a call ended that never ran"
        );
        self.running = self.running.saturating_sub(1);
        self.service += (elapsed.as_secs_f64() - self.service) * SERVICE_WEIGHT;
        let mut releases = self.expire(now);
        while self.running < self.slots {
            let Some((place, _)) = self.queue.pop_first() else {
                break;
            };
            self.running += 1;
            releases.push(Release::Run(place.2));
        }
        releases
    }

    /// Takes a waiting call out. Returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let place = self.queue.keys().find(|place| place.2 == ticket).copied();
        place.is_some_and(|place| self.queue.remove(&place).is_some())
    }

    /// Refuses calls that have waited too long.
    pub fn expire(&mut self, now: Instant) -> Vec<Release> {
        let late: Vec<Place> = self
            .queue
            .iter()
            .filter(|(_, waiting)| waiting.expires <= now)
            .map(|(place, _)| *place)
            .collect();
        late.into_iter()
            .map(|place| {
                self.queue.remove(&place);
                Release::Refuse(place.2, RefusalKind::Overloaded)
            })
            .collect()
    }
}
