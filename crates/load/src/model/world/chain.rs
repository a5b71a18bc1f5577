//! Progress of an attempt along its chain of calls and back.

use std::time::{Duration, Instant};

use filbertwheel_core::CutOff;
use filbertwheel_policy::{GateOutcome, GateRequest, GateTicket, RunTime, WaitOutcome};
use rand::Rng;

use super::{AFFECTED_DOMAIN, ActiveCall, Attempt, Event, Setup, Simulation};
use crate::model::fleet::CutOffKey;
use crate::model::policy::Policy;
use crate::model::tally::FailureKind;

impl Simulation {
    /// Returns the node that sends the call of a hop.
    pub(super) fn sender(&self, attempt: &Attempt, hop: usize) -> usize {
        match hop.checked_sub(1) {
            Some(parent) => attempt.calls[parent].server,
            None => self.requests[attempt.request].entry,
        }
    }

    pub(super) fn cut_off_key(&self, attempt: &Attempt, hop: usize) -> CutOffKey {
        let arrival = &self.requests[attempt.request].arrival;
        (arrival.route, hop, arrival.organisation)
    }

    /// Sends the next hop's call.
    pub(super) fn send_call(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let hop = attempt.calls.len();
        let from = self.sender(attempt, hop);
        let route = self.route(attempt.request);
        let rank = self.requests[attempt.request].rank;
        let key = self.cut_off_key(attempt, hop);
        let now = self.now();
        let full = self.setup.policy == Policy::Full;
        let cut_off = self
            .fleet
            .cut_off(from, key, route.criticality, rank, now)
            .filter(|_| full);
        if let Some(cut_off) = cut_off {
            if let Some(attempt) = self.attempts.get_mut(&id) {
                attempt.cut_off = Some(cut_off);
            }
            self.handle_hop_failure(id, FailureKind::CutOff, false);
            return;
        }
        let service = route.chain[hop].0;
        let tried = &attempt.hops[hop].tried;
        let at = (self.at, now);
        let policy = self.setup.policy;
        let chosen = self
            .fleet
            .choose_server(policy, from, service, tried, at, &mut self.rng);
        let Some(server) = chosen else {
            self.handle_hop_failure(id, FailureKind::Lost, false);
            return;
        };
        self.tally.sends += 1;
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.hops[hop].tried.push(server);
        }
        if self.fleet.servers[server].lost_at.is_some() {
            let vm = self.fleet.servers[server].vm.clone();
            self.fleet.nodes[from].loads.record_unreachable(&vm, now);
            self.handle_hop_failure(id, FailureKind::Lost, true);
            return;
        }
        self.offer_call(id, hop, from, server);
    }

    pub(super) fn offer_call(&mut self, id: u64, hop: usize, from: usize, server: usize) {
        let now = self.now();
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let request = &self.requests[attempt.request];
        let full = self.setup.policy == Policy::Full;
        let offered = GateRequest {
            criticality: self.route(attempt.request).criticality,
            organisation: full.then(|| owner(request.arrival.organisation)),
            rank: if full {
                request.rank
            } else {
                self.rng.random()
            },
            deadline: self.origin + attempt.deadline,
        };
        let vm = self.fleet.servers[server].vm.clone();
        self.fleet.nodes[from].loads.begin(&vm, now);
        let (result, outcomes) = self.fleet.servers[server].offer(&offered, now);
        self.serial += 1;
        let call = ActiveCall {
            serial: self.serial,
            server,
            ticket: 0,
            running: false,
            started: self.at,
            self_time: Duration::ZERO,
            is_work_done: false,
        };
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.calls.push(call);
        match result {
            GateOutcome::Run(ticket) => self.start_call(id, hop, ticket),
            GateOutcome::Wait(ticket) => {
                attempt.calls[hop].ticket = ticket;
                self.fleet.servers[server].waiting.insert(ticket, id);
            }
            GateOutcome::Refuse(_) => {
                self.pop_refused_call(id);
                self.push(self.at, Event::Refused(id));
            }
        }
        self.apply_wait_outcomes(server, outcomes);
    }

    /// Starts a call in a slot of its backend server.
    pub(super) fn start_call(&mut self, id: u64, hop: usize, ticket: GateTicket) {
        let Setup {
            profile, situation, ..
        } = self.setup;
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let call = &mut attempt.calls[hop];
        let server = &self.fleet.servers[call.server];
        let chain = profile.routes()[self.requests[attempt.request].arrival.route].chain;
        let mean = chain[hop].1 / 1_000.0;
        let affected = server.domain == AFFECTED_DOMAIN;
        let deepest = server.service == profile.deepest();
        let slowness = situation.slowness(self.at, deepest, affected);
        let usable = situation.usable_slots(server.slots, self.at, affected);
        let overload = (server.running() as f64 / usable).max(1.0);
        let work = -(1.0 - self.rng.random::<f64>()).ln() * mean * slowness * overload;
        call.ticket = ticket;
        call.running = true;
        call.started = self.at;
        call.self_time = Duration::from_secs_f64(work);
        let (due, serial) = (self.at + call.self_time, call.serial);
        self.push(due, Event::WorkDone(id, serial));
    }

    /// Applies a gate's decisions on queued calls.
    pub(super) fn apply_wait_outcomes(&mut self, server: usize, outcomes: Vec<WaitOutcome>) {
        for outcome in outcomes {
            let (ticket, run) = match outcome {
                WaitOutcome::Run(ticket) => (ticket, true),
                WaitOutcome::Refuse(ticket, _) => (ticket, false),
            };
            let Some(id) = self.fleet.servers[server].waiting.remove(&ticket) else {
                continue;
            };
            let hop = self.attempts.get(&id).map_or(0, |a| a.calls.len() - 1);
            if run {
                self.start_call(id, hop, ticket);
            } else {
                self.pop_refused_call(id);
                self.push(self.at, Event::Refused(id));
            }
        }
    }

    /// Handles the end of a call's own work: sends its nested call or returns the response.
    pub(super) fn finish_work(&mut self, id: u64, serial: u64) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let Some(call) = attempt.calls.last_mut() else {
            return;
        };
        if call.serial != serial {
            return;
        }
        call.is_work_done = true;
        let more = attempt.calls.len() < attempt.hops.len();
        if more {
            self.send_call(id);
        } else {
            self.return_response(id);
        }
    }

    /// Returns the response along the chain to the caller.
    pub(super) fn return_response(&mut self, id: u64) {
        while let Some(call) = self.attempts.get_mut(&id).and_then(|a| a.calls.pop()) {
            self.end_call(&call);
            let self_time = call.self_time.as_secs_f64();
            let now = self.now();
            let Some(attempt) = self.attempts.get(&id) else {
                return;
            };
            let hop = attempt.calls.len();
            let from = self.sender(attempt, hop);
            let service = self.fleet.servers[call.server].service;
            let name = self.fleet.services[service].clone();
            self.fleet.nodes[from].throttles.record_success(&name);
            self.record_verdict(id, hop, call.server, now);
            if let Some(attempt) = self.attempts.get_mut(&id) {
                attempt.work_seconds += self_time;
            }
        }
        self.complete_attempt(id);
    }

    /// Records on the sender the load and the cut-off that a verdict reports.
    pub(super) fn record_verdict(&mut self, id: u64, hop: usize, server: usize, now: Instant) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let from = self.sender(attempt, hop);
        let key = self.cut_off_key(attempt, hop);
        let class = self.route(attempt.request).criticality;
        let owner = Some(owner(self.requests[attempt.request].arrival.organisation));
        let server = &self.fleet.servers[server];
        let own_cut_off = server.cut_off(&owner, class, now);
        let cut_off = stricter(attempt.cut_off, own_cut_off);
        let wait = server.estimated_wait();
        let node = &mut self.fleet.nodes[from];
        node.loads.end(&server.vm);
        node.loads.record_wait(&server.vm, wait, now);
        node.cut_offs.record(key, class, cut_off, now);
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.cut_off = cut_off;
        }
    }

    /// Ends a call at its backend server.
    pub(super) fn end_call(&mut self, call: &ActiveCall) {
        let now = self.now();
        let server = &mut self.fleet.servers[call.server];
        if server.lost_at.is_some() {
            return;
        }
        if !call.running {
            server.cancel(call.ticket);
            return;
        }
        let elapsed = self.at - call.started;
        let self_time = elapsed.min(call.self_time);
        let outcomes = server.finish(&RunTime { elapsed, self_time }, now);
        self.apply_wait_outcomes(call.server, outcomes);
    }

    /// Removes the deepest call, which its gate refused, and records the verdict on the sender.
    pub(super) fn pop_refused_call(&mut self, id: u64) {
        let Some(call) = self.attempts.get_mut(&id).and_then(|a| a.calls.pop()) else {
            return;
        };
        let now = self.now();
        let hop = self.attempts.get(&id).map_or(0, |a| a.calls.len());
        self.record_verdict(id, hop, call.server, now);
    }
}

fn owner(organisation: usize) -> filbertwheel_core::OrganisationId {
    format!("organisation-{organisation}").into()
}

fn stricter(a: Option<CutOff>, b: Option<CutOff>) -> Option<CutOff> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.stricter(b)),
        (a, b) => a.or(b),
    }
}
