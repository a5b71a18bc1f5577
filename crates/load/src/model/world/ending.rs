//! Completion and failure of attempts: responses, retries, timeouts and failed backend servers.

use rand::Rng;

use super::{
    AFFECTED_DOMAIN, ActiveCall, Attempt, Event, Hop, MAX_HOP_BACKOFF, MAX_HOP_RETRIES, Simulation,
};
use crate::model::policy::Policy;
use crate::model::situation::is_disturbed;
use crate::model::tally::FailureKind;

impl Simulation {
    /// Handles a failed call of the next hop by a retry, or by failing the calls above it.
    /// `may_retry` permits the sender to retry under `Policy::Full`.
    pub(super) fn handle_hop_failure(&mut self, id: u64, kind: FailureKind, may_retry: bool) {
        let mut may_retry = may_retry;
        loop {
            if self.try_retry(id, kind, may_retry) {
                return;
            }
            let Some(attempt) = self.attempts.get_mut(&id) else {
                return;
            };
            let Some(call) = attempt.calls.pop() else {
                break;
            };
            self.tally.wasted_seconds += self.work_done_seconds(&call);
            self.end_call(&call);
            let hop = self.attempts.get(&id).map_or(0, |a| a.calls.len());
            self.record_verdict(id, hop, call.server, self.now());
            may_retry = self.setup.policy == Policy::PerHop;
        }
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        self.close_attempt(&attempt, false);
        if let (Some(receipt), true) = (attempt.receipt, kind != FailureKind::Lost) {
            let organisation = self.requests[attempt.request].arrival.organisation;
            self.buckets[organisation].refund(receipt);
        }
        if !attempt.abandoned {
            self.handle_caller_failure(attempt.request, kind);
        }
    }

    pub(super) fn try_retry(&mut self, id: u64, kind: FailureKind, may_retry: bool) -> bool {
        let Some(attempt) = self.attempts.get(&id) else {
            return false;
        };
        let hop = attempt.calls.len();
        let route = self.route(attempt.request);
        let from = self.sender(attempt, hop);
        let name = self.fleet.services[route.chain[hop].0].clone();
        let allowed = match self.setup.policy {
            Policy::Off => kind == FailureKind::Lost && attempt.hops[hop].retries < MAX_HOP_RETRIES,
            Policy::PerHop => attempt.hops[hop].retries < MAX_HOP_RETRIES,
            Policy::Full => {
                let left = may_retry && attempt.retries_left > 0;
                left && self.fleet.nodes[from].throttles.try_spend(&name)
            }
        };
        let backoff = MAX_HOP_BACKOFF.mul_f64(self.rng.random());
        let due = self.at + backoff;
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return false;
        };
        if !allowed || due >= attempt.deadline {
            return false;
        }
        attempt.hops[hop].retries += 1;
        attempt.retries_left = attempt.retries_left.saturating_sub(1);
        attempt.retries_made += 1;
        for deeper in &mut attempt.hops[hop + 1..] {
            *deeper = Hop::default();
        }
        if self.setup.policy != Policy::Full {
            attempt.hops[hop].tried.clear();
        }
        self.push(due, Event::SendCall(id));
        true
    }

    /// Returns the seconds of work done for a call.
    pub(super) fn work_done_seconds(&self, call: &ActiveCall) -> f64 {
        if !call.running {
            return 0.0;
        }
        call.self_time.min(self.at - call.started).as_secs_f64()
    }

    pub(super) fn complete_attempt(&mut self, id: u64) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        self.close_attempt(&attempt, !attempt.abandoned);
        if attempt.abandoned {
            return;
        }
        let arrival = self.requests[attempt.request].arrival;
        let bin = self.tally.bin(arrival.at);
        bin.succeeded += 1;
        bin.organisations[arrival.organisation].1 += 1;
        let at = self.at;
        let bin = self.tally.bin(at);
        bin.completed += 1;
        bin.latencies.push((at - arrival.at).as_secs_f64());
        if is_disturbed(arrival.at) {
            let class = self.route(attempt.request).criticality;
            self.tally.classes.entry(class).or_default().1 += 1;
        }
    }

    pub(super) fn close_attempt(&mut self, attempt: &Attempt, succeeded: bool) {
        let work = if succeeded {
            &mut self.tally.useful_seconds
        } else {
            &mut self.tally.wasted_seconds
        };
        *work += attempt.work_seconds;
        self.tally.most_retries = self.tally.most_retries.max(attempt.retries_made);
    }

    /// Handles the timeout of a caller. Under `Policy::Off` calls carry no deadline, so the work
    /// continues.
    pub(super) fn handle_timeout(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let request = attempt.request;
        if self.setup.policy == Policy::Off {
            attempt.abandoned = true;
        } else if let Some(mut attempt) = self.attempts.remove(&id) {
            while let Some(call) = attempt.calls.pop() {
                self.tally.wasted_seconds += self.work_done_seconds(&call);
                self.end_call(&call);
                let from = self.sender(&attempt, attempt.calls.len());
                let vm = self.fleet.servers[call.server].vm.clone();
                self.fleet.nodes[from].loads.end(&vm);
            }
            self.close_attempt(&attempt, false);
        }
        self.handle_caller_failure(request, FailureKind::TimedOut);
    }

    /// Removes a call from the load that its sender tracks.
    pub(super) fn release_sender(&mut self, id: u64, call: &ActiveCall) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let from = self.sender(attempt, attempt.calls.len());
        let vm = &self.fleet.servers[call.server].vm;
        self.fleet.nodes[from].loads.end(vm);
    }

    /// Fails the backend servers of the affected domain, and all calls on them.
    pub(super) fn lose_domain(&mut self) {
        let at = self.at;
        for server in &mut self.fleet.servers {
            if server.domain == AFFECTED_DOMAIN {
                server.lost_at = Some(at);
            }
        }
        let ids: Vec<u64> = self.attempts.keys().copied().collect();
        for id in ids {
            self.fail_lost_calls(id);
        }
    }

    pub(super) fn fail_lost_calls(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let lost = |call: &ActiveCall| self.fleet.servers[call.server].lost_at.is_some();
        let Some(first) = attempt.calls.iter().position(lost) else {
            return;
        };
        let idempotent = self.route(attempt.request).idempotent;
        while let Some(call) = self
            .attempts
            .get_mut(&id)
            .filter(|attempt| attempt.calls.len() > first)
            .and_then(|attempt| attempt.calls.pop())
        {
            self.tally.wasted_seconds += self.work_done_seconds(&call);
            self.end_call(&call);
            self.release_sender(id, &call);
        }
        self.handle_hop_failure(id, FailureKind::Lost, idempotent);
    }
}
