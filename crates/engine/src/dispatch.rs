//! Sends a request to backend servers until one of them responds or no further attempt is allowed.

use std::borrow::Cow;
use std::time::{Duration, Instant};

use filbertwheel_core::{
    Attempt, Failure, Refusal, RefusalKind, RouteRule, ServiceId, UnknownReason, Verdict, VmId,
};
use filbertwheel_peer::ForwardError;
use filbertwheel_policy::{AllowedRegions, BackendView, Distance, StopWindow, have_room};

use crate::control::usable_slots;
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
        if !self.have_homes_room(snapshot, rule, attempt) {
            return DispatchResult {
                verdict: Err(RefusalKind::Overloaded.into()),
                vm,
                attempts: 0,
            };
        }
        while tried.len() < MAX_TARGETS {
            // This node may have begun to stop meanwhile, or a failure domain may be evacuated.
            let current = self.snapshots.load();
            let Some(target) = self.choose_target(&current, rule, attempt, &tried) else {
                break;
            };
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

    /// Returns whether the homes of a request, if it has any, have room for it. The plan counts the slots
    /// of all regions. A nested call belongs to a request that was let in.
    fn have_homes_room(&self, snapshot: &Snapshot, rule: &RouteRule, attempt: &Attempt) -> bool {
        let regions = snapshot.allowed_regions(rule, attempt.organisation.as_ref());
        if regions.is_any() || attempt.nested {
            return true;
        }
        let servers = reachable(snapshot, &attempt.service, &regions, self.clock.now());
        let view = |target: &Target| {
            let mut view = self.view(target);
            view.load.slots = usable_slots(&target.member, &view.load);
            view
        };
        let views: Vec<BackendView> = servers.map(view).collect();
        // Without any backend server there, the request is refused as unavailable.
        views.is_empty() || have_room(views)
    }

    /// Chooses the backend server with the lowest cost among a few candidates.
    fn choose_target(
        &self,
        snapshot: &Snapshot,
        rule: &RouteRule,
        attempt: &Attempt,
        tried: &[VmId],
    ) -> Option<Target> {
        let regions = snapshot.allowed_regions(rule, attempt.organisation.as_ref());
        let now = self.clock.now();
        let reachable: Vec<&Target> = reachable(snapshot, &attempt.service, &regions, now)
            .filter(|target| !tried.contains(&target.member.vm))
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

/// Returns the backend servers of a service that a request may be sent to: they can be reached, their
/// failure domains aren't evacuated, and the request may be processed in their regions.
fn reachable<'a>(
    snapshot: &'a Snapshot,
    service: &ServiceId,
    regions: &AllowedRegions<'a>,
    now: Instant,
) -> impl Iterator<Item = &'a Target> {
    let regions = *regions;
    let targets = snapshot.services.get(service).into_iter().flatten();
    targets
        .filter(move |target| snapshot.gets_calls(&target.member.domain, now))
        .filter(move |target| regions.contains(&target.member.region))
        .filter(|target| {
            let link = target.link.as_ref();
            link.is_none_or(filbertwheel_peer::Link::is_up)
        })
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
