//! A simulated backend server with the gate of its node.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use filbertwheel_core::{Criticality, CutOff, OrganisationId, VmId};
use filbertwheel_policy::{Gate, GateOutcome, GateRequest, GateTicket, RunTime, WaitOutcome};

use super::policy::Policy;

/// Admission of calls to the slots.
#[derive(Debug)]
enum Admission {
    /// First in, first out, with an unbounded queue.
    Fifo {
        slots: usize,
        running: usize,
        queue: VecDeque<GateTicket>,
        last_ticket: GateTicket,
    },
    /// Decided by the production gate.
    Gated(Gate),
}

/// A backend server.
#[derive(Debug)]
pub struct Server {
    /// Name of its VM.
    pub vm: VmId,
    /// Index of its service.
    pub service: usize,
    /// Index of its failure domain.
    pub domain: usize,
    /// Slots that it announces.
    pub slots: u32,
    /// Time at which it failed, if it is down.
    pub lost_at: Option<Duration>,
    /// Attempt ids of the queued calls, by ticket.
    pub waiting: HashMap<GateTicket, u64>,
    admission: Admission,
}

impl Server {
    /// Creates a backend server without calls.
    pub fn open(policy: Policy, service: usize, number: usize, domain: usize, slots: u32) -> Self {
        Self {
            vm: format!("{service}-{number}").into(),
            service,
            domain,
            slots,
            lost_at: None,
            waiting: HashMap::new(),
            admission: Admission::open(policy, slots),
        }
    }

    /// Restarts the backend server without calls.
    pub fn restart(&mut self, policy: Policy) {
        self.admission = Admission::open(policy, self.slots);
        self.waiting.clear();
    }

    /// Returns the number of running calls.
    pub fn running(&self) -> usize {
        match &self.admission {
            Admission::Fifo { running, .. } => *running,
            Admission::Gated(gate) => gate.running(),
        }
    }

    /// Returns the estimated queueing time of a new call.
    pub fn estimated_wait(&self) -> Duration {
        match &self.admission {
            Admission::Fifo { .. } => Duration::ZERO,
            Admission::Gated(gate) => gate.expected_wait(),
        }
    }

    /// Returns the cut-off that is in force here for calls of `owner` at `criticality`.
    pub fn cut_off(
        &self,
        owner: &Option<OrganisationId>,
        criticality: Criticality,
        now: Instant,
    ) -> Option<CutOff> {
        match &self.admission {
            Admission::Fifo { .. } => None,
            Admission::Gated(gate) => gate.cut_off(owner, criticality, now),
        }
    }

    /// Offers a call for admission.
    pub fn offer(&mut self, call: &GateRequest, now: Instant) -> (GateOutcome, Vec<WaitOutcome>) {
        match &mut self.admission {
            Admission::Gated(gate) => gate.offer(call, now),
            Admission::Fifo {
                slots,
                running,
                queue,
                last_ticket,
            } => {
                *last_ticket += 1;
                if *running < *slots {
                    *running += 1;
                    return (GateOutcome::Run(*last_ticket), Vec::new());
                }
                queue.push_back(*last_ticket);
                (GateOutcome::Wait(*last_ticket), Vec::new())
            }
        }
    }

    /// Ends a running call and admits queued calls.
    pub fn finish(&mut self, run_time: &RunTime, now: Instant) -> Vec<WaitOutcome> {
        match &mut self.admission {
            Admission::Gated(gate) => gate.finish(run_time, now),
            Admission::Fifo { running, queue, .. } => {
                let next = queue.pop_front();
                if next.is_none() {
                    *running -= 1;
                }
                next.map(WaitOutcome::Run).into_iter().collect()
            }
        }
    }

    /// Removes a queued call.
    pub fn cancel(&mut self, ticket: GateTicket) {
        self.waiting.remove(&ticket);
        match &mut self.admission {
            Admission::Gated(gate) => {
                gate.cancel(ticket);
            }
            Admission::Fifo { queue, .. } => queue.retain(|other| *other != ticket),
        }
    }

    /// Refuses calls that have waited too long.
    pub fn expire(&mut self, now: Instant) -> Vec<WaitOutcome> {
        match &mut self.admission {
            Admission::Gated(gate) => gate.expire(now),
            Admission::Fifo { .. } => Vec::new(),
        }
    }
}

impl Admission {
    fn open(policy: Policy, slots: u32) -> Self {
        match policy {
            Policy::Off => Self::Fifo {
                slots: slots as usize,
                running: 0,
                queue: VecDeque::new(),
                last_ticket: 0,
            },
            Policy::PerHop | Policy::Full => Self::Gated(Gate::open(slots)),
        }
    }
}
