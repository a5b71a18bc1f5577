//! Sends a request to backend servers until one has answered, or no other may be tried.

use std::time::{Duration, Instant};

use filbertwheel_core::{
    Attempt, Failure, Refusal, RefusalKind, RouteRule, ServiceId, UnknownReason, Verdict, VmId,
};
use filbertwheel_peer::ForwardError;
use filbertwheel_policy::{BackendView, Distance};

use crate::engine::Engine;
use crate::journal::Entry;
use crate::snapshots::{Peer, Snapshot};

/// Backend servers that one request is offered to, at most.
const OFFERS: usize = 5;
/// Members that are compared for one choice.
const COMPARED: usize = 4;
/// Time that a repeat needs at least to be worth it.
const LEAST_TIME: Duration = Duration::from_millis(10);

/// What became of a request, and how.
pub(crate) struct Dispatched {
    pub verdict: Verdict,
    /// The VM that was tried last.
    pub vm: VmId,
    pub tries: usize,
}

impl Engine {
    /// Sends an attempt to the backend servers of its service, one after the other.
    pub(crate) async fn dispatch(
        &self,
        snapshot: &Snapshot,
        path: &RouteRule,
        attempt: &Attempt,
    ) -> Dispatched {
        let mut tried: Vec<VmId> = Vec::new();
        let mut runs = 0;
        let mut last: Verdict = Err(RefusalKind::Unavailable.into());
        let mut vm = VmId::default();
        while tried.len() < OFFERS {
            let Some(peer) = self.choose(snapshot, &attempt.service, &tried) else {
                break;
            };
            vm = peer.member.vm.clone();
            tried.push(vm.clone());
            let verdict = self.offer(&peer, attempt).await;
            let may_have_run = may_have_run(&verdict);
            runs += usize::from(may_have_run);
            // What may have run before isn't "not run" because a later try was refused.
            if may_have_run || runs == 0 {
                last = verdict;
            }
            if !self.may_repeat(snapshot, path, attempt, &last, runs, may_have_run) {
                break;
            }
            self.metrics.repeats.inc();
            let entry = Entry {
                request: &attempt.request,
                route: Some(&attempt.route),
                organisation: attempt.organisation.as_ref(),
                version: snapshot.version(),
            };
            let pending = peer
                .link
                .as_ref()
                .map_or(0, filbertwheel_peer::Link::in_flight);
            self.journal
                .tried(entry, &vm, &describe(&last), "another", pending);
        }
        Dispatched {
            verdict: last,
            vm,
            tries: tried.len(),
        }
    }

    /// Offers an attempt to one backend server.
    async fn offer(&self, peer: &Peer, attempt: &Attempt) -> Verdict {
        let Some(link) = &peer.link else {
            return self.runner.run(attempt).await;
        };
        match link.call(attempt).await {
            Ok(verdict) => verdict,
            Err(ForwardError::NotSent) => Err(RefusalKind::Unavailable.into()),
            Err(ForwardError::Lost) => Err(UnknownReason::Lost.into()),
            Err(ForwardError::Late) => Err(UnknownReason::Late.into()),
            Err(ForwardError::Broken) => Err(UnknownReason::Broken.into()),
        }
    }

    /// Whether another backend server is tried after `last`.
    fn may_repeat(
        &self,
        snapshot: &Snapshot,
        path: &RouteRule,
        attempt: &Attempt,
        last: &Verdict,
        runs: usize,
        may_have_run: bool,
    ) -> bool {
        let now = self.clock.now();
        if attempt.time_left(now) < LEAST_TIME {
            return false;
        }
        match last {
            Ok(answer) if answer.status < 500 => return false,
            // The backend server has seen it, so another try counts as a repeat there.
            Err(Failure::Refused(refusal)) if refusal.kind == RefusalKind::Shed => {
                return self.spend_repeat(snapshot, attempt, now);
            }
            Err(Failure::Refused(refusal)) => return refusal.kind.is_retryable(),
            Err(Failure::Unknown(UnknownReason::Late)) => return false,
            Ok(_) | Err(Failure::Unknown(_)) => {}
        }
        if !may_have_run {
            return true;
        }
        if !attempt.idempotent || runs >= path.max_attempts as usize {
            return false;
        }
        self.spend_repeat(snapshot, attempt, now)
    }

    /// Spends a repeat of an attempt at its service, and at all services that it calls.
    fn spend_repeat(&self, snapshot: &Snapshot, attempt: &Attempt, now: Instant) -> bool {
        let mut visits: Vec<(ServiceId, f64)> = vec![(attempt.service.clone(), 1.0)];
        let cost = snapshot.costs.get(&attempt.route);
        for (service, visit) in cost.into_iter().flatten() {
            if *service != attempt.service && visit.calls > 0.0 {
                visits.push((service.clone(), visit.calls));
            }
        }
        self.budget().try_spend(&visits, snapshot.nodes, now)
    }

    /// The backend server that costs least among some that are compared.
    fn choose(&self, snapshot: &Snapshot, service: &ServiceId, tried: &[VmId]) -> Option<Peer> {
        let peers = snapshot.services.get(service)?;
        let now = self.clock.now();
        let open: Vec<&Peer> = peers
            .iter()
            .filter(|peer| !tried.contains(&peer.member.vm))
            .filter(|peer| {
                peer.link
                    .as_ref()
                    .is_none_or(filbertwheel_peer::Link::is_up)
            })
            .collect();
        let first = rand::random_range(0..open.len().max(1));
        let compared = (0..open.len().min(COMPARED)).map(|step| {
            // Steps that share no factor with most lengths spread the comparison.
            open[(first + step * stride(open.len())) % open.len()]
        });
        let cost = |peer: &Peer| self.view(peer).cost(now, rand::random());
        let costs = compared.map(|peer| (cost(peer), peer));
        let (_, best) = costs.min_by(|one, other| one.0.total_cmp(&other.0))?;
        Some(best.clone())
    }

    fn view(&self, peer: &Peer) -> BackendView {
        match &peer.link {
            None => BackendView {
                load: self.runner.load(),
                pending: 0,
                distance: Distance::SameVm,
                failed: None,
            },
            Some(link) => BackendView {
                load: link.load(),
                pending: link.in_flight(),
                distance: peer.distance,
                failed: link.last_failure(),
            },
        }
    }
}

/// A step through a list that visits distinct members for as many steps as are compared.
fn stride(length: usize) -> usize {
    if length <= COMPARED {
        1
    } else {
        length / COMPARED
    }
}

/// Whether a backend server may have begun to work on a request.
fn may_have_run(verdict: &Verdict) -> bool {
    !matches!(verdict, Err(Failure::Refused(_)))
}

fn describe(verdict: &Verdict) -> String {
    match verdict {
        Ok(answer) => format!("status {}", answer.status),
        Err(failure) => failure.to_string(),
    }
}

/// Says when a repeat may succeed, where the refusal doesn't.
pub(crate) fn with_hint(verdict: Verdict, hint: Duration) -> Verdict {
    match verdict {
        Err(Failure::Refused(refusal)) if refusal.retry_after.is_none() => {
            Err(Failure::Refused(Refusal {
                retry_after: Some(hint),
                ..refusal
            }))
        }
        other => other,
    }
}
