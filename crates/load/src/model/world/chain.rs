//! The way of an attempt down its chain and back.

use std::time::{Duration, Instant};

use filbertwheel_core::CutOff;
use filbertwheel_policy::{GateOutcome, GateRequest, GateTicket, RunTime, WaitOutcome};
use rand::Rng;

use super::{Attempt, DOMAIN, Event, Frame, Setup, World};
use crate::model::fleet::CutKey;
use crate::model::rule::Rule;
use crate::model::tally::Miss;

impl World {
    /// Node that makes the call at a hop.
    pub(super) fn sender(&self, attempt: &Attempt, hop: usize) -> usize {
        match hop.checked_sub(1) {
            Some(parent) => attempt.frames[parent].site,
            None => self.roots[attempt.root].entry,
        }
    }

    pub(super) fn key(&self, attempt: &Attempt, hop: usize) -> CutKey {
        let arrival = &self.roots[attempt.root].arrival;
        (arrival.route, hop, arrival.organisation)
    }

    /// Sends the next hop's call.
    pub(super) fn send(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let hop = attempt.frames.len();
        let from = self.sender(attempt, hop);
        let route = self.route(attempt.root);
        let rank = self.roots[attempt.root].rank;
        let key = self.key(attempt, hop);
        let now = self.now();
        let full = self.setup.rule == Rule::Full;
        let cut = self
            .fleet
            .sheds(from, key, route.criticality, rank, now)
            .filter(|_| full);
        if let Some(cut) = cut {
            if let Some(attempt) = self.attempts.get_mut(&id) {
                attempt.cut = Some(cut);
            }
            self.hop_failed(id, Miss::CutOff, false);
            return;
        }
        let service = route.chain[hop].0;
        let tried = &attempt.hops[hop].tried;
        let at = (self.at, now);
        let rule = self.setup.rule;
        let picked = self
            .fleet
            .pick(rule, from, service, tried, at, &mut self.rng);
        let Some(site) = picked else {
            self.hop_failed(id, Miss::Lost, false);
            return;
        };
        self.tally.sends += 1;
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.hops[hop].tried.push(site);
        }
        if self.fleet.sites[site].lost.is_some() {
            let vm = self.fleet.sites[site].vm.clone();
            self.fleet.nodes[from].loads.record_unreachable(&vm, now);
            self.hop_failed(id, Miss::Lost, true);
            return;
        }
        self.offer(id, hop, from, site);
    }

    pub(super) fn offer(&mut self, id: u64, hop: usize, from: usize, site: usize) {
        let now = self.now();
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let root = &self.roots[attempt.root];
        let full = self.setup.rule == Rule::Full;
        let entry = GateRequest {
            criticality: self.route(attempt.root).criticality,
            organisation: full.then(|| owner(root.arrival.organisation)),
            rank: if full { root.rank } else { self.rng.random() },
            deadline: self.origin + attempt.deadline,
        };
        let vm = self.fleet.sites[site].vm.clone();
        self.fleet.nodes[from].loads.begin(&vm, now);
        let (offer, releases) = self.fleet.sites[site].offer(&entry, now);
        self.serial += 1;
        let frame = Frame {
            serial: self.serial,
            site,
            ticket: 0,
            running: false,
            began: self.at,
            own: Duration::ZERO,
            worked: false,
        };
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.frames.push(frame);
        match offer {
            GateOutcome::Run(ticket) => self.start(id, hop, ticket),
            GateOutcome::Wait(ticket) => {
                attempt.frames[hop].ticket = ticket;
                self.fleet.sites[site].waiting.insert(ticket, id);
            }
            GateOutcome::Refuse(_) => {
                self.drop_top(id);
                self.push(self.at, Event::Refused(id));
            }
        }
        self.release(site, releases);
    }

    /// Lets a call run.
    pub(super) fn start(&mut self, id: u64, hop: usize, ticket: GateTicket) {
        let Setup {
            profile, situation, ..
        } = self.setup;
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let frame = &mut attempt.frames[hop];
        let site = &self.fleet.sites[frame.site];
        let chain = profile.routes()[self.roots[attempt.root].arrival.route].chain;
        let mean = chain[hop].1 / 1_000.0;
        let first = site.domain == DOMAIN;
        let deepest = site.service == profile.deepest();
        let slowness = situation.slowness(self.at, deepest, first);
        let real = situation.real_slots(site.slots, self.at, first);
        let crowding = (site.running() as f64 / real).max(1.0);
        let work = -(1.0 - self.rng.random::<f64>()).ln() * mean * slowness * crowding;
        frame.ticket = ticket;
        frame.running = true;
        frame.began = self.at;
        frame.own = Duration::from_secs_f64(work);
        let (due, serial) = (self.at + frame.own, frame.serial);
        self.push(due, Event::Worked(id, serial));
    }

    /// Handles what a gate decided about waiting calls.
    pub(super) fn release(&mut self, site: usize, releases: Vec<WaitOutcome>) {
        for release in releases {
            let (ticket, run) = match release {
                WaitOutcome::Run(ticket) => (ticket, true),
                WaitOutcome::Refuse(ticket, _) => (ticket, false),
            };
            let Some(id) = self.fleet.sites[site].waiting.remove(&ticket) else {
                continue;
            };
            let hop = self.attempts.get(&id).map_or(0, |a| a.frames.len() - 1);
            if run {
                self.start(id, hop, ticket);
            } else {
                self.drop_top(id);
                self.push(self.at, Event::Refused(id));
            }
        }
    }

    /// The own work of a call is done: its nested call is next, or its answer.
    pub(super) fn worked(&mut self, id: u64, serial: u64) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let Some(frame) = attempt.frames.last_mut() else {
            return;
        };
        if frame.serial != serial {
            return;
        }
        frame.worked = true;
        let more = attempt.frames.len() < attempt.hops.len();
        if more {
            self.send(id);
        } else {
            self.answer(id);
        }
    }

    /// Answers travel back along the chain.
    pub(super) fn answer(&mut self, id: u64) {
        while let Some(frame) = self.attempts.get_mut(&id).and_then(|a| a.frames.pop()) {
            self.leave(&frame);
            let own = frame.own.as_secs_f64();
            let now = self.now();
            let Some(attempt) = self.attempts.get(&id) else {
                return;
            };
            let hop = attempt.frames.len();
            let from = self.sender(attempt, hop);
            let service = self.fleet.sites[frame.site].service;
            let name = self.fleet.services[service].clone();
            self.fleet.nodes[from].ratios.record_success(&name);
            self.hear(id, hop, frame.site, now);
            if let Some(attempt) = self.attempts.get_mut(&id) {
                attempt.worked += own;
            }
        }
        self.answered(id);
    }

    /// The sender takes note of what a verdict says about load and cut-off.
    pub(super) fn hear(&mut self, id: u64, hop: usize, site: usize, now: Instant) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let from = self.sender(attempt, hop);
        let key = self.key(attempt, hop);
        let class = self.route(attempt.root).criticality;
        let owner = Some(owner(self.roots[attempt.root].arrival.organisation));
        let site = &self.fleet.sites[site];
        let own = site.cut_off(&owner, class, now);
        let cut = stricter(attempt.cut, own);
        let wait = site.wait();
        let node = &mut self.fleet.nodes[from];
        node.loads.end(&site.vm);
        node.loads.record_wait(&site.vm, wait, now);
        node.cuts.record(key, class, cut, now);
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.cut = cut;
        }
    }

    /// Ends a call at its backend server.
    pub(super) fn leave(&mut self, frame: &Frame) {
        let now = self.now();
        let site = &mut self.fleet.sites[frame.site];
        if site.lost.is_some() {
            return;
        }
        if !frame.running {
            site.cancel(frame.ticket);
            return;
        }
        let elapsed = self.at - frame.began;
        let self_time = elapsed.min(frame.own);
        let releases = site.finish(&RunTime { elapsed, self_time }, now);
        self.release(frame.site, releases);
    }

    /// Forgets the call on top, which its gate has refused. The sender hears the verdict.
    pub(super) fn drop_top(&mut self, id: u64) {
        let Some(frame) = self.attempts.get_mut(&id).and_then(|a| a.frames.pop()) else {
            return;
        };
        let now = self.now();
        let hop = self.attempts.get(&id).map_or(0, |a| a.frames.len());
        self.hear(id, hop, frame.site, now);
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
