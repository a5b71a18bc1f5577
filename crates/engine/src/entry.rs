//! Entry of requests: authentication, rate limits, load shedding and the choice of a service.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertwheel_core::{
    Attempt, Failure, OrganisationId, Rank, Refusal, RefusalKind, RouteId, RouteRule, Rules,
    Verdict,
};
use filbertwheel_policy::{AllowedRegions, TokenReceipt, retry_time};

use crate::claims::TokenShortage;
use crate::dispatch::{DispatchResult, with_retry_after};
use crate::engine::Engine;
use crate::incoming::IncomingRequest;
use crate::journal::{LastAttempt, LogEntry};
use crate::runner::NestedCall;
use crate::snapshots::Snapshot;

/// Timeout of requests that carry none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// `retry-after` of a node that has no rules yet.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(300);
/// `retry-after` of a request refused for lack of capacity.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(700);
/// Jitter of that time as a fraction of it, so that callers that were refused together don't retry
/// together.
const RETRY_AFTER_JITTER: f64 = 0.6;

/// A request that is refused at the entry.
struct EntryRefusal {
    /// Route of the request, if it has one.
    route: Option<RouteId>,
    refusal: Refusal,
    /// Why the organisation's rate limit has no token, if that is the reason.
    shortage: Option<TokenShortage>,
}

/// A request that may run, with the token it was charged.
struct Admitted<'a> {
    rule: Arc<RouteRule>,
    organisation: Option<OrganisationId>,
    receipt: Option<TokenReceipt>,
    /// Set if the request is a nested call of the backend server on this VM.
    nested_call: Option<NestedCall<'a>>,
}

impl Engine {
    /// Runs a request and returns its outcome.
    pub async fn handle_request(&self, incoming: IncomingRequest) -> Verdict {
        let began = self.clock.now();
        let snapshot = self.snapshots.load_full();
        let request = incoming.request.clone();
        let organisation = organisation_of_key(&snapshot, &incoming);
        let admitted = self.admit(&snapshot, &incoming, began).await;
        let mut objective = None;
        let mut shortage = None;
        let (route, result) = match admitted {
            Ok(admitted) => {
                let route = admitted.rule.id.clone();
                objective = Some(admitted.rule.objective);
                let result = self.run(&snapshot, incoming, admitted, began).await;
                (Some(route), result)
            }
            Err(refused) => {
                shortage = refused.shortage;
                let vm = snapshot.local_member.vm.clone();
                let result = DispatchResult::refused(refused.refusal, vm);
                (refused.route, result)
            }
        };
        let took = self.clock.now().saturating_duration_since(began);
        let entry = LogEntry {
            request: &request,
            route: route.as_ref(),
            organisation: organisation.as_ref(),
            version: snapshot.version(),
        };
        if let Some(shortage) = shortage {
            self.metrics.record_shortage(shortage);
        }
        let name = route.as_ref().and_then(|route| route.as_str());
        self.metrics
            .record_request(name.unwrap_or("none"), &result.verdict, took);
        let slow = objective.is_some_and(|objective| took > objective);
        self.record(&snapshot, entry, &result, took, slow, shortage);
        result.verdict
    }

    fn record(
        &self,
        snapshot: &Snapshot,
        entry: LogEntry<'_>,
        result: &DispatchResult,
        took: Duration,
        slow: bool,
        shortage: Option<TokenShortage>,
    ) {
        let took_ms = took.as_millis() as u64;
        let attempts_text = || format!("{} attempts, last to {}", result.attempts, result.vm);
        match &result.verdict {
            Ok(answer) => {
                let last = LastAttempt {
                    vm: &result.vm,
                    tries: result.attempts,
                    choice: result.choice,
                };
                let failed = slow || answer.status >= 500;
                self.journal
                    .request_answered(entry, answer.status, last, took_ms, failed);
            }
            Err(Failure::Refused(refusal)) => {
                let detail = match shortage {
                    Some(shortage) => Some(shortage_detail(snapshot, shortage)),
                    None => refusal_detail(snapshot, entry.route, refusal.kind),
                };
                let detail = detail.unwrap_or_else(attempts_text);
                let reason = refusal.kind.to_string();
                self.journal
                    .request_failed(entry, "not-run", &reason, &detail, took_ms);
            }
            Err(Failure::Unknown(unknown_reason)) => {
                let reason = unknown_reason.to_string();
                self.journal
                    .request_failed(entry, "unknown", &reason, &attempts_text(), took_ms);
            }
        }
    }

    /// Checks the route, the key, the rate limit and the capacity, in this order.
    async fn admit(
        &self,
        snapshot: &Snapshot,
        incoming: &IncomingRequest,
        now: Instant,
    ) -> Result<Admitted<'_>, EntryRefusal> {
        let Some(rules) = &snapshot.rules else {
            let refusal = Refusal::retry_after(RefusalKind::Stale, STARTUP_RETRY_AFTER);
            return Err(EntryRefusal::new(None, refusal));
        };
        let route = rules.route(
            incoming.host.as_bytes(),
            path_only(incoming.path.as_bytes()),
        );
        let Some(rule) = route.cloned() else {
            return Err(EntryRefusal::new(None, RefusalKind::NoRoute.into()));
        };
        let refused = |refusal: Refusal| EntryRefusal::new(Some(rule.id.clone()), refusal);
        let organisation =
            organisation(rules, &rule, incoming).map_err(|kind| refused(kind.into()))?;
        let regions = AllowedRegions::of(rules, Some(&rule), organisation.as_ref());
        if regions.is_empty() {
            return Err(refused(RefusalKind::NoHome.into()));
        }
        self.check_stop(snapshot, &rule.id, now + request_timeout(&rule, incoming))
            .map_err(&refused)?;
        let rank = rules.rank(&rule, organisation.as_ref());
        let receipt =
            match &organisation {
                Some(name) => self.charge(snapshot, rules, name, now).await.map_err(
                    |(refusal, shortage)| EntryRefusal {
                        shortage: Some(shortage),
                        ..refused(refusal)
                    },
                )?,
                None => None,
            };
        let nested = is_nested(rules, &rule, incoming);
        let nested_call = nested.then(|| self.runner.begin_nested_call(&rule.id));
        if nested_call.is_none() {
            self.record_demand(&rule, rank);
            if let Err(refusal) = self.check_capacity(snapshot, &rule, rank, &organisation) {
                self.refund(&organisation, receipt);
                return Err(refused(refusal));
            }
        }
        Ok(Admitted {
            rule,
            organisation,
            receipt,
            nested_call,
        })
    }

    /// Refuses a request that may not be answered before this node ends. Another node, or the next run
    /// of this one, can take it once this node's connections are closed.
    pub(crate) fn check_stop(
        &self,
        snapshot: &Snapshot,
        route: &RouteId,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        let Some(window) = snapshot.stopping else {
            return Ok(());
        };
        let now = self.clock.now();
        let longest = self.longest_times().get(route);
        if window.takes(longest, deadline, now) {
            return Ok(());
        }
        let after = with_jitter(window.left(now));
        Err(Refusal::retry_after(RefusalKind::Draining, after))
    }

    /// Sheds a request if a service that it needs lacks the capacity.
    fn check_capacity(
        &self,
        snapshot: &Snapshot,
        rule: &RouteRule,
        rank: Rank,
        organisation: &Option<OrganisationId>,
    ) -> Result<(), Refusal> {
        let admitted_part = snapshot.admission_plan.admitted_permille(&rule.id, rank);
        let part = admitted_part.map_or(1_000, |(part, _)| part);
        let warmup = snapshot.warmup_plan.share(&rule.id, rank);
        let warmup = warmup.filter(|share| share.admitted_permille < part);
        let part = warmup.map_or(part, |share| share.admitted_permille);
        if self.shedder().admit(&rule.id, rank, organisation, part) {
            return Ok(());
        }
        let after = match warmup {
            Some(share) => {
                self.metrics.shed_warming.inc();
                retry_time(share.left, rand::random())
            }
            None => with_jitter(OVERLOAD_RETRY_AFTER),
        };
        Err(Refusal::retry_after(RefusalKind::OverloadedDeep, after))
    }

    async fn run(
        &self,
        snapshot: &Snapshot,
        incoming: IncomingRequest,
        admitted: Admitted<'_>,
        began: Instant,
    ) -> DispatchResult {
        let Admitted {
            rule,
            organisation,
            receipt,
            nested_call,
        } = admitted;
        let deadline = began + request_timeout(&rule, &incoming);
        let service = self.round_robin().next(&rule, rand::random());
        let Some(service) = service else {
            self.refund(&organisation, receipt);
            let vm = snapshot.local_member.vm.clone();
            return DispatchResult::refused(RefusalKind::Unavailable.into(), vm);
        };
        self.retry_budget().record_request(&service, began);
        let attempt = Attempt {
            request: incoming.request,
            route: rule.id.clone(),
            service,
            organisation,
            caller: self.service.clone(),
            priority: rule.priority,
            idempotent: rule.idempotent,
            nested: nested_call.is_some(),
            deadline,
            objective: rule.objective,
            method: incoming.method,
            path: incoming.path,
            headers: incoming.headers,
            body: incoming.body,
        };
        let result = self.dispatch(snapshot, &rule, &attempt).await;
        drop(nested_call);
        if result.attempts > 0 && !matches!(result.verdict, Err(Failure::Refused(_))) {
            let now = self.clock.now();
            let elapsed = now.saturating_duration_since(began);
            self.longest_times().record(&attempt.route, elapsed, now);
        }
        if matches!(result.verdict, Err(Failure::Refused(_))) {
            self.refund(&attempt.organisation, receipt);
        }
        DispatchResult {
            verdict: with_retry_after(result.verdict, with_jitter(OVERLOAD_RETRY_AFTER)),
            ..result
        }
    }
}

impl EntryRefusal {
    fn new(route: Option<RouteId>, refusal: Refusal) -> Self {
        Self {
            route,
            refusal,
            shortage: None,
        }
    }
}

/// Returns the state that a refusal over an organisation's rate was based on, for the log.
fn shortage_detail(snapshot: &Snapshot, shortage: TokenShortage) -> String {
    match &snapshot.holder {
        Some(holder) => format!("{shortage}; the lease holder is {}", holder.vm),
        None => format!("{shortage}; no lease holder is known"),
    }
}

/// Returns the state that a refusal at the entry was based on, for the log.
fn refusal_detail(
    snapshot: &Snapshot,
    route: Option<&RouteId>,
    kind: RefusalKind,
) -> Option<String> {
    match kind {
        RefusalKind::OverloadedDeep => {
            let overloaded = snapshot.admission_plan.overloaded_services(route?);
            let overloaded = overloaded.map(|(service, threshold)| {
                format!(
                    "{service} admits {} of 1000 requests of rank {}",
                    threshold.admitted_permille, threshold.rank
                )
            });
            let warming = snapshot.warmup_plan.shares();
            let warming = warming.filter(|((warming, _), _)| Some(warming) == route);
            let warming = warming.map(|((_, rank), share)| {
                format!(
                    "{} warms up for {} ms and admits {} of 1000 requests of rank {rank}",
                    share.service,
                    share.left.as_millis(),
                    share.admitted_permille
                )
            });
            Some(overloaded.chain(warming).collect::<Vec<_>>().join(", "))
        }
        _ => None,
    }
}

/// Returns whether a request is a nested call of the backend server on this VM, which sends no key.
/// If no organisations are configured, callers send no keys either, so nested calls can't be told
/// apart and count as callers' requests.
fn is_nested(rules: &Rules, rule: &RouteRule, incoming: &IncomingRequest) -> bool {
    rule.open && incoming.key.is_none() && !rules.organisations.is_empty()
}

/// Returns the organisation that a request is charged to; `None` on a route that is open to all.
fn organisation(
    rules: &Rules,
    rule: &RouteRule,
    incoming: &IncomingRequest,
) -> Result<Option<OrganisationId>, RefusalKind> {
    if rule.open || rules.organisations.is_empty() {
        return Ok(None);
    }
    let key = incoming.key.as_ref().ok_or(RefusalKind::NoKey)?;
    let organisation = rules.keys.get(key).ok_or(RefusalKind::BadKey)?;
    Ok(Some(organisation.clone()))
}

/// Returns the organisation that the request's key belongs to, also if the request is refused.
fn organisation_of_key(snapshot: &Snapshot, incoming: &IncomingRequest) -> Option<OrganisationId> {
    let keys = &snapshot.rules.as_ref()?.keys;
    keys.get(incoming.key.as_ref()?).cloned()
}

fn path_only(path: &[u8]) -> &[u8] {
    path.split(|byte| *byte == b'?').next().unwrap_or_default()
}

/// Returns how long a request may take.
fn request_timeout(rule: &RouteRule, incoming: &IncomingRequest) -> Duration {
    let timeout = incoming.timeout.unwrap_or(DEFAULT_TIMEOUT);
    rule.timeout.map_or(timeout, |longest| longest.min(timeout))
}

/// Returns `time` with random jitter.
fn with_jitter(time: Duration) -> Duration {
    let random: f64 = rand::random();
    time.mul_f64(1.0 + (random - 0.5) * RETRY_AFTER_JITTER)
}
