//! Sends a request to backend servers until one of them responds or no further attempt is allowed.

use std::borrow::Cow;
use std::time::{Duration, Instant};

use filbertwheel_core::{
    Attempt, Failure, Refusal, RefusalKind, RouteRule, ServiceId, UnknownReason, Verdict, VmId,
};
use filbertwheel_peer::ForwardError;
use filbertwheel_policy::{BackendView, Distance, StopWindow};

use crate::engine::Engine;
use crate::journal::LogEntry;
use crate::snapshots::{Snapshot, Target};

/// Maximum number of backend servers that one request is sent to.
const MAX_TARGETS: usize = 5;
/// Backend servers that are compared for one choice.
const CANDIDATES: usize = 4;
/// Minimum time before the deadline for a further attempt.
const MIN_RETRY_TIME: Duration = Duration::from_millis(10);

/// Outcome of a request, and how it was reached.
pub(crate) struct DispatchResult {
    pub verdict: Verdict,
    /// VM of the last attempt.
    pub vm: VmId,
    pub attempts: usize,
}

impl Engine {
    /// Sends a request to the backend servers of its service, one after the other.
    pub(crate) async fn dispatch(
        &self,
        snapshot: &Snapshot,
        rule: &RouteRule,
        attempt: &Attempt,
    ) -> DispatchResult {
        let mut tried: Vec<VmId> = Vec::new();
        let mut runs = 0;
        let mut last: Verdict = Err(RefusalKind::Unavailable.into());
        let mut vm = VmId::default();
        while tried.len() < MAX_TARGETS {
            let Some(target) = self.choose_target(snapshot, &attempt.service, &tried) else {
                break;
            };
            // This node may have begun to stop meanwhile.
            let current = self.snapshots.load();
            if let Err(refusal) = self.check_stop(&current, &attempt.route, attempt.deadline) {
                if runs == 0 {
                    last = Err(refusal.into());
                }
                break;
            }
            vm = target.member.vm.clone();
            tried.push(vm.clone());
            let verdict = self
                .send(&target, &bounded(attempt, current.stopping))
                .await;
            let may_have_run = may_have_run(&verdict);
            runs += usize::from(may_have_run);
            // If an earlier attempt may have run, a later refusal must not report the request as
            // not run.
            if may_have_run || runs == 0 {
                last = verdict;
            }
            if !self.may_retry(snapshot, rule, attempt, &last, runs, may_have_run) {
                break;
            }
            self.metrics.retries.inc();
            let entry = LogEntry {
                request: &attempt.request,
                route: Some(&attempt.route),
                organisation: attempt.organisation.as_ref(),
                version: snapshot.version(),
            };
            let pending = target
                .link
                .as_ref()
                .map_or(0, filbertwheel_peer::Link::in_flight);
            self.journal
                .attempt_ended(entry, &vm, &describe(&last), "another", pending);
        }
        DispatchResult {
            verdict: last,
            vm,
            attempts: tried.len(),
        }
    }

    /// Sends a request to one backend server.
    async fn send(&self, target: &Target, attempt: &Attempt) -> Verdict {
        let Some(link) = &target.link else {
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

    /// Returns whether another backend server may be tried after the outcome `last`.
    fn may_retry(
        &self,
        snapshot: &Snapshot,
        rule: &RouteRule,
        attempt: &Attempt,
        last: &Verdict,
        runs: usize,
        may_have_run: bool,
    ) -> bool {
        let now = self.clock.now();
        if attempt.time_left(now) < MIN_RETRY_TIME {
            return false;
        }
        match last {
            Ok(answer) if answer.status < 500 => return false,
            // The backend server has received the request, so a further attempt counts against
            // the retry budget.
            Err(Failure::Refused(refusal)) if refusal.kind == RefusalKind::Shed => {
                return self.spend_retry(snapshot, attempt, now);
            }
            Err(Failure::Refused(refusal)) => return refusal.kind.is_retryable(),
            Err(Failure::Unknown(UnknownReason::Late)) => return false,
            Ok(_) | Err(Failure::Unknown(_)) => {}
        }
        if !may_have_run {
            return true;
        }
        if !attempt.idempotent || runs >= rule.max_attempts as usize {
            return false;
        }
        self.spend_retry(snapshot, attempt, now)
    }

    /// Spends one retry from the budgets of the request's service and of all services that it
    /// calls.
    fn spend_retry(&self, snapshot: &Snapshot, attempt: &Attempt, now: Instant) -> bool {
        let mut visits: Vec<(ServiceId, f64)> = vec![(attempt.service.clone(), 1.0)];
        let cost = snapshot.costs.get(&attempt.route);
        for (service, visit) in cost.into_iter().flatten() {
            if *service != attempt.service && visit.calls > 0.0 {
                visits.push((service.clone(), visit.calls));
            }
        }
        self.retry_budget().try_spend(&visits, snapshot.nodes, now)
    }

    /// Chooses the backend server with the lowest cost among a few candidates.
    fn choose_target(
        &self,
        snapshot: &Snapshot,
        service: &ServiceId,
        tried: &[VmId],
    ) -> Option<Target> {
        let targets = snapshot.services.get(service)?;
        let now = self.clock.now();
        let reachable: Vec<&Target> = targets
            .iter()
            .filter(|target| !tried.contains(&target.member.vm))
            .filter(|target| {
                target
                    .link
                    .as_ref()
                    .is_none_or(filbertwheel_peer::Link::is_up)
            })
            .collect();
        let first = rand::random_range(0..reachable.len().max(1));
        let candidates = (0..reachable.len().min(CANDIDATES)).map(|step| {
            // The stride spreads the candidates over the list.
            reachable[(first + step * stride(reachable.len())) % reachable.len()]
        });
        let cost = |target: &Target| self.view(target).cost(now, rand::random());
        let costs = candidates.map(|target| (cost(target), target));
        let (_, best) = costs.min_by(|one, other| one.0.total_cmp(&other.0))?;
        Some(best.clone())
    }

    fn view(&self, target: &Target) -> BackendView {
        match &target.link {
            None => BackendView {
                load: self.runner.load(),
                pending: 0,
                distance: Distance::SameVm,
                last_failure: None,
            },
            Some(link) => BackendView {
                load: link.load(),
                pending: link.in_flight(),
                distance: target.distance,
                last_failure: link.last_failure(),
            },
        }
    }
}

/// Returns an attempt with a deadline before which its answer reaches the caller, if this node is
/// stopping.
pub(crate) fn bounded(attempt: &Attempt, window: Option<StopWindow>) -> Cow<'_, Attempt> {
    match window {
        Some(window) => Cow::Owned(Attempt {
            deadline: window.bounded(attempt.deadline),
            ..attempt.clone()
        }),
        None => Cow::Borrowed(attempt),
    }
}

/// Returns a stride through a list that visits distinct entries for all candidates.
fn stride(length: usize) -> usize {
    if length <= CANDIDATES {
        1
    } else {
        length / CANDIDATES
    }
}

/// Returns whether a backend server may have begun to run the request.
fn may_have_run(verdict: &Verdict) -> bool {
    !matches!(verdict, Err(Failure::Refused(_)))
}

fn describe(verdict: &Verdict) -> String {
    match verdict {
        Ok(answer) => format!("status {}", answer.status),
        Err(failure) => failure.to_string(),
    }
}

/// Sets the time after which a retry may succeed in a refusal, unless it is later already.
pub(crate) fn with_retry_after(verdict: Verdict, at_least: Duration) -> Verdict {
    match verdict {
        Err(Failure::Refused(refusal)) => {
            let after = refusal.retry_after.unwrap_or_default().max(at_least);
            Err(Failure::Refused(Refusal {
                retry_after: Some(after),
                ..refusal
            }))
        }
        other => other,
    }
}
