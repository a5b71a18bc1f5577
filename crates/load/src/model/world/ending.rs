//! How attempts end: answers, failures, retries, timeouts and lost backend servers.

use rand::Rng;

use super::{Attempt, DOMAIN, Event, Frame, HOP_PAUSE, HOP_RETRIES, Hop, World};
use crate::model::rule::Rule;
use crate::model::situation::active;
use crate::model::tally::Miss;

impl World {
    /// The call of the next hop failed; `fresh` says whether it's worth a retry here.
    pub(super) fn hop_failed(&mut self, id: u64, miss: Miss, fresh: bool) {
        let mut fresh = fresh;
        loop {
            if self.retry(id, miss, fresh) {
                return;
            }
            let Some(attempt) = self.attempts.get_mut(&id) else {
                return;
            };
            let Some(frame) = attempt.frames.pop() else {
                break;
            };
            self.tally.wasted += self.done(&frame);
            self.leave(&frame);
            let hop = self.attempts.get(&id).map_or(0, |a| a.frames.len());
            self.hear(id, hop, frame.site, self.now());
            fresh = self.setup.rule == Rule::PerHop;
        }
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        self.close_attempt(&attempt, false);
        if let (Some(receipt), true) = (attempt.receipt, miss != Miss::Lost) {
            let organisation = self.roots[attempt.root].arrival.organisation;
            self.buckets[organisation].refund(receipt);
        }
        if !attempt.orphan {
            self.caller_failed(attempt.root, miss);
        }
    }

    pub(super) fn retry(&mut self, id: u64, miss: Miss, fresh: bool) -> bool {
        let Some(attempt) = self.attempts.get(&id) else {
            return false;
        };
        let hop = attempt.frames.len();
        let route = self.route(attempt.root);
        let from = self.sender(attempt, hop);
        let name = self.fleet.services[route.chain[hop].0].clone();
        let allowed = match self.setup.rule {
            Rule::Off => miss == Miss::Lost && attempt.hops[hop].tries < HOP_RETRIES,
            Rule::PerHop => attempt.hops[hop].tries < HOP_RETRIES,
            Rule::Full => {
                let left = fresh && attempt.retries > 0;
                left && self.fleet.nodes[from].ratios.try_spend(&name)
            }
        };
        let pause = HOP_PAUSE.mul_f64(self.rng.random());
        let due = self.at + pause;
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return false;
        };
        if !allowed || due >= attempt.deadline {
            return false;
        }
        attempt.hops[hop].tries += 1;
        attempt.retries = attempt.retries.saturating_sub(1);
        attempt.spent += 1;
        for deeper in &mut attempt.hops[hop + 1..] {
            *deeper = Hop::default();
        }
        if self.setup.rule != Rule::Full {
            attempt.hops[hop].tried.clear();
        }
        self.push(due, Event::Send(id));
        true
    }

    /// Seconds of work that a call has had.
    pub(super) fn done(&self, frame: &Frame) -> f64 {
        if !frame.running {
            return 0.0;
        }
        frame.own.min(self.at - frame.began).as_secs_f64()
    }

    pub(super) fn answered(&mut self, id: u64) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        self.close_attempt(&attempt, !attempt.orphan);
        if attempt.orphan {
            return;
        }
        let arrival = self.roots[attempt.root].arrival;
        let bin = self.tally.bin(arrival.at);
        bin.whole += 1;
        bin.organisations[arrival.organisation].1 += 1;
        let at = self.at;
        let bin = self.tally.bin(at);
        bin.completed += 1;
        bin.latencies.push((at - arrival.at).as_secs_f64());
        if active(arrival.at) {
            let class = self.route(attempt.root).criticality;
            self.tally.classes.entry(class).or_default().1 += 1;
        }
    }

    pub(super) fn close_attempt(&mut self, attempt: &Attempt, whole: bool) {
        let work = if whole {
            &mut self.tally.useful
        } else {
            &mut self.tally.wasted
        };
        *work += attempt.worked;
        self.tally.most_retries = self.tally.most_retries.max(attempt.spent);
    }

    /// The caller's patience is over. Without a deadline the work goes on.
    pub(super) fn timeout(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let root = attempt.root;
        if self.setup.rule == Rule::Off {
            attempt.orphan = true;
        } else if let Some(mut attempt) = self.attempts.remove(&id) {
            while let Some(frame) = attempt.frames.pop() {
                self.tally.wasted += self.done(&frame);
                self.leave(&frame);
                let from = self.sender(&attempt, attempt.frames.len());
                let vm = self.fleet.sites[frame.site].vm.clone();
                self.fleet.nodes[from].loads.end(&vm);
            }
            self.close_attempt(&attempt, false);
        }
        self.caller_failed(root, Miss::TimedOut);
    }

    /// The sender no longer waits for a call.
    pub(super) fn unsend(&mut self, id: u64, frame: &Frame) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let from = self.sender(attempt, attempt.frames.len());
        let vm = &self.fleet.sites[frame.site].vm;
        self.fleet.nodes[from].loads.end(vm);
    }

    /// Loses the backend servers of a domain with all that runs there.
    pub(super) fn lose(&mut self) {
        let at = self.at;
        for site in &mut self.fleet.sites {
            if site.domain == DOMAIN {
                site.lost = Some(at);
            }
        }
        let ids: Vec<u64> = self.attempts.keys().copied().collect();
        for id in ids {
            self.lose_frames(id);
        }
    }

    pub(super) fn lose_frames(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let lost = |frame: &Frame| self.fleet.sites[frame.site].lost.is_some();
        let Some(first) = attempt.frames.iter().position(lost) else {
            return;
        };
        let idempotent = self.route(attempt.root).idempotent;
        while let Some(frame) = self
            .attempts
            .get_mut(&id)
            .filter(|attempt| attempt.frames.len() > first)
            .and_then(|attempt| attempt.frames.pop())
        {
            self.tally.wasted += self.done(&frame);
            self.leave(&frame);
            self.unsend(id, &frame);
        }
        self.hop_failed(id, Miss::Lost, idempotent);
    }
}
