//! Sends a request to backend servers until one of them responds or no further attempt is allowed.

use std::borrow::Cow;
use std::time::{Duration, Instant};

use filbertwheel_core::{
    Attempt, Failure, Refusal, RefusalKind, RouteId, RouteRule, ServiceId, UnknownReason, Verdict,
    VmId,
};
use filbertwheel_peer::{CallState, ForwardError};
use filbertwheel_policy::{AllowedRegions, BackendView, Distance, StopWindow, has_room};
use futures_lite::FutureExt as _;

use crate::control::usable_slots;
use crate::engine::Engine;
use crate::journal::{ChoiceInputs, LogEntry};
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
    /// What the choice of the last VM was based on.
    pub choice: Option<ChoiceInputs>,
}

impl DispatchResult {
    /// Creates the outcome of a request that was refused at the node `vm` without any attempt.
    pub fn refused(refusal: Refusal, vm: VmId) -> Self {
        Self {
            verdict: Err(refusal.into()),
            vm,
            attempts: 0,
            choice: None,
        }
    }
}

/// A chosen backend server.
struct ChosenTarget {
    target: Target,
    /// What the choice was based on.
    inputs: ChoiceInputs,
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
        if !self.allowed_regions_have_room(snapshot, rule, attempt) {
            return DispatchResult::refused(RefusalKind::Overloaded.into(), vm);
        }
        let mut choice = None;
        let work = expected_work(snapshot, &attempt.route);
        while tried.len() < MAX_TARGETS {
            // This node may have begun to stop meanwhile, or a failure domain may be evacuated.
            let current = self.snapshots.load();
            let chosen = self.choose_target(&current, rule, attempt, &tried, work);
            let Some(ChosenTarget { target, inputs }) = chosen else {
                break;
            };
            if let Err(refusal) = self.check_stop(&current, &attempt.route, attempt.deadline) {
                if runs == 0 {
                    last = Err(refusal.into());
                }
                break;
            }
            choice = Some(inputs);
            vm = target.member.vm.clone();
            tried.push(vm.clone());
            let verdict = self
                .send(&target, &bounded(attempt, current.stopping), work)
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
                .attempt_ended(entry, &vm, &describe(&last), "another", pending, inputs);
        }
        DispatchResult {
            verdict: last,
            vm,
            attempts: tried.len(),
            choice,
        }
    }

    /// Sends a request, which is expected to take the time `work`, to one backend server. If it is still
    /// unanswered when this node ends, its outcome is unknown.
    async fn send(&self, target: &Target, attempt: &Attempt, work: Duration) -> Verdict {
        let ended = async {
            self.ending.wait().await;
            Err(UnknownReason::Stopped.into())
        };
        self.exchange(target, attempt, work).or(ended).await
    }

    async fn exchange(&self, target: &Target, attempt: &Attempt, work: Duration) -> Verdict {
        let Some(link) = &target.link else {
            return self.runner.run(attempt, &CallState::default()).await;
        };
        match link.call(attempt, work).await {
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
            Err(Failure::Unknown(UnknownReason::Late | UnknownReason::Stopped)) => return false,
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

    /// Returns whether the regions in which a request may be processed have room for it. The plan can't
    /// tell, because it counts the slots of all regions together. A nested call always passes: its request
    /// was admitted.
    fn allowed_regions_have_room(
        &self,
        snapshot: &Snapshot,
        rule: &RouteRule,
        attempt: &Attempt,
    ) -> bool {
        let regions = snapshot.allowed_regions(rule, attempt.organisation.as_ref());
        if regions.is_unrestricted() || attempt.nested {
            return true;
        }
        let now = self.clock.now();
        let servers = reachable(snapshot, &attempt.service, &regions, now);
        let view = |target: &Target| {
            let mut view = self.view(target, now);
            view.load.slots = usable_slots(&target.member, &view.load);
            view
        };
        let views: Vec<BackendView> = servers.map(view).collect();
        // Without any backend server there, the request is refused as unavailable.
        views.is_empty() || has_room(views)
    }

    /// Chooses one of a few candidates for a call that is expected to take the time `work`.
    fn choose_target(
        &self,
        snapshot: &Snapshot,
        rule: &RouteRule,
        attempt: &Attempt,
        tried: &[VmId],
        work: Duration,
    ) -> Option<ChosenTarget> {
        let regions = snapshot.allowed_regions(rule, attempt.organisation.as_ref());
        let now = self.clock.now();
        let reachable: Vec<&Target> = reachable(snapshot, &attempt.service, &regions, now)
            .filter(|target| !tried.contains(&target.member.vm))
            .collect();
        let first = rand::random_range(0..reachable.len().max(1));
        let candidate = |step: usize| {
            // The stride spreads the candidates over the list.
            reachable[(first + step * stride(reachable.len())) % reachable.len()]
        };
        let mut views = [BackendView::default(); CANDIDATES];
        let count = reachable.len().min(CANDIDATES);
        for (step, view) in views.iter_mut().enumerate().take(count) {
            *view = self.view(candidate(step), now);
        }
        let views = &views[..count];
        let chosen = self
            .placement
            .choose(views, work, now, &mut || rand::random())?;
        Some(ChosenTarget {
            target: candidate(chosen).clone(),
            inputs: ChoiceInputs::of(views.get(chosen)?, work, now),
        })
    }

    fn view(&self, target: &Target, now: Instant) -> BackendView {
        match &target.link {
            None => BackendView {
                load: self.runner.load(),
                reported: Some(now),
                distance: Distance::SameVm,
                ..BackendView::default()
            },
            Some(link) => link.view(target.distance),
        }
    }
}

/// Returns the time that a call is expected to take at a server of usual speed; zero if unknown.
fn expected_work(snapshot: &Snapshot, route: &RouteId) -> Duration {
    let seconds = snapshot.elapsed.get(route).copied().unwrap_or_default();
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
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
