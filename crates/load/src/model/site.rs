//! One backend server with its node's gate.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use filbertwheel_core::{Criticality, CutOff, OrganisationId, VmId};
use filbertwheel_policy::{Gate, GateOutcome, GateRequest, GateTicket, RunTime, WaitOutcome};

use super::rule::Rule;

/// How calls reach the slots.
#[derive(Debug)]
enum Door {
    /// In the order in which they came, however many wait.
    Plain {
        slots: usize,
        running: usize,
        queue: VecDeque<GateTicket>,
        next: GateTicket,
    },
    /// As the real gate decides.
    Gated(Gate),
}

/// A backend server.
#[derive(Debug)]
pub struct Site {
    /// Name of its VM.
    pub vm: VmId,
    /// Index of its service.
    pub service: usize,
    /// Index of its failure domain.
    pub domain: usize,
    /// Slots that it announces.
    pub slots: u32,
    /// When it was lost, if it is.
    pub lost: Option<Duration>,
    /// Waiting calls by ticket.
    pub waiting: HashMap<GateTicket, u64>,
    door: Door,
}

impl Site {
    /// A backend server without calls.
    pub fn open(rule: Rule, service: usize, number: usize, domain: usize, slots: u32) -> Self {
        Self {
            vm: format!("{service}-{number}").into(),
            service,
            domain,
            slots,
            lost: None,
            waiting: HashMap::new(),
            door: Door::open(rule, slots),
        }
    }

    /// Starts it anew, without calls.
    pub fn restart(&mut self, rule: Rule) {
        self.door = Door::open(rule, self.slots);
        self.waiting.clear();
    }

    /// Calls that run.
    pub fn running(&self) -> usize {
        match &self.door {
            Door::Plain { running, .. } => *running,
            Door::Gated(gate) => gate.running(),
        }
    }

    /// How long a new call would wait.
    pub fn wait(&self) -> Duration {
        match &self.door {
            Door::Plain { .. } => Duration::ZERO,
            Door::Gated(gate) => gate.expected_wait(),
        }
    }

    /// Which calls are shed here.
    pub fn cut_off(
        &self,
        owner: &Option<OrganisationId>,
        criticality: Criticality,
        now: Instant,
    ) -> Option<CutOff> {
        match &self.door {
            Door::Plain { .. } => None,
            Door::Gated(gate) => gate.cut_off(owner, criticality, now),
        }
    }

    /// Takes a call.
    pub fn offer(&mut self, entry: &GateRequest, now: Instant) -> (GateOutcome, Vec<WaitOutcome>) {
        match &mut self.door {
            Door::Gated(gate) => gate.offer(entry, now),
            Door::Plain {
                slots,
                running,
                queue,
                next,
            } => {
                *next += 1;
                if *running < *slots {
                    *running += 1;
                    return (GateOutcome::Run(*next), Vec::new());
                }
                queue.push_back(*next);
                (GateOutcome::Wait(*next), Vec::new())
            }
        }
    }

    /// Ends a running call.
    pub fn finish(&mut self, spent: &RunTime, now: Instant) -> Vec<WaitOutcome> {
        match &mut self.door {
            Door::Gated(gate) => gate.finish(spent, now),
            Door::Plain { running, queue, .. } => {
                let next = queue.pop_front();
                if next.is_none() {
                    *running -= 1;
                }
                next.map(WaitOutcome::Run).into_iter().collect()
            }
        }
    }

    /// Takes a waiting call out.
    pub fn cancel(&mut self, ticket: GateTicket) {
        self.waiting.remove(&ticket);
        match &mut self.door {
            Door::Gated(gate) => {
                gate.cancel(ticket);
            }
            Door::Plain { queue, .. } => queue.retain(|other| *other != ticket),
        }
    }

    /// Refuses calls that have waited too long.
    pub fn expire(&mut self, now: Instant) -> Vec<WaitOutcome> {
        match &mut self.door {
            Door::Gated(gate) => gate.expire(now),
            Door::Plain { .. } => Vec::new(),
        }
    }
}

impl Door {
    fn open(rule: Rule, slots: u32) -> Self {
        match rule {
            Rule::Off => Self::Plain {
                slots: slots as usize,
                running: 0,
                queue: VecDeque::new(),
                next: 0,
            },
            Rule::PerHop | Rule::Full => Self::Gated(Gate::open(slots)),
        }
    }
}
