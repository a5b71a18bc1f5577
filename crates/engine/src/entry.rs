//! Requests as they enter: what they may do, and whether there's room for all that they need.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertwheel_core::{
    Attempt, Failure, OrganisationId, Rank, Refusal, RefusalKind, RouteId, RouteRule, Rules,
    Verdict,
};
use filbertwheel_policy::TokenReceipt;

use crate::dispatch::{DispatchResult, with_retry_after};
use crate::engine::Engine;
use crate::incoming::IncomingRequest;
use crate::journal::LogEntry;
use crate::runner::NestedCall;
use crate::snapshots::Snapshot;

/// How long a sender waits that doesn't say.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// After what time a repeat may find a node that has no rules yet ready.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(300);
/// After what time a repeat may find room.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(700);
/// Spread of that time, so that those who were refused together don't come back together.
const RETRY_AFTER_JITTER: f64 = 0.6;

/// A request that may run, with what it was charged.
struct Admitted<'a> {
    rule: Arc<RouteRule>,
    organisation: Option<OrganisationId>,
    receipt: Option<TokenReceipt>,
    /// Set where it's a call of the backend server on this VM.
    nested_call: Option<NestedCall<'a>>,
}

impl Engine {
    /// Has a request run, and says what became of it.
    pub async fn handle_request(&self, incoming: IncomingRequest) -> Verdict {
        let began = self.clock.now();
        let snapshot = self.snapshots.load_full();
        let request = incoming.request.clone();
        let organisation = organisation_of_key(&snapshot, &incoming);
        let admitted = self.admit(&snapshot, &incoming, began).await;
        let mut objective = None;
        let (route, result) = match admitted {
            Ok(admitted) => {
                let route = admitted.rule.id.clone();
                objective = Some(admitted.rule.objective);
                let result = self.run(&snapshot, incoming, admitted, began).await;
                (Some(route), result)
            }
            Err((route, refusal)) => {
                let result = DispatchResult {
                    verdict: Err(refusal.into()),
                    vm: snapshot.local_member.vm.clone(),
                    attempts: 0,
                };
                (route, result)
            }
        };
        let took = self.clock.now().saturating_duration_since(began);
        let entry = LogEntry {
            request: &request,
            route: route.as_ref(),
            organisation: organisation.as_ref(),
            version: snapshot.version(),
        };
        let name = route.as_ref().and_then(|route| route.as_str());
        self.metrics
            .record_request(name.unwrap_or("none"), &result.verdict, took);
        let slow = objective.is_some_and(|objective| took > objective);
        self.record(&snapshot, entry, &result, took, slow);
        result.verdict
    }

    fn record(
        &self,
        snapshot: &Snapshot,
        entry: LogEntry<'_>,
        result: &DispatchResult,
        took: Duration,
        slow: bool,
    ) {
        let took_ms = took.as_millis() as u64;
        let attempts_text = || format!("{} tries, last at {}", result.attempts, result.vm);
        match &result.verdict {
            Ok(answer) => {
                let (vm, tries) = (&result.vm, result.attempts);
                let failed = slow || answer.status >= 500;
                self.journal
                    .request_answered(entry, answer.status, vm, tries, took_ms, failed);
            }
            Err(Failure::Refused(refusal)) => {
                let detail = refusal_detail(snapshot, entry.route, refusal.kind)
                    .unwrap_or_else(attempts_text);
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

    /// Checks route, key, rate and room, in this order.
    async fn admit(
        &self,
        snapshot: &Snapshot,
        incoming: &IncomingRequest,
        now: Instant,
    ) -> Result<Admitted<'_>, (Option<RouteId>, Refusal)> {
        let Some(rules) = &snapshot.rules else {
            let refusal = Refusal::retry_after(RefusalKind::Stale, STARTUP_RETRY_AFTER);
            return Err((None, refusal));
        };
        let route = rules.route(
            incoming.host.as_bytes(),
            path_only(incoming.path.as_bytes()),
        );
        let Some(rule) = route.cloned() else {
            return Err((None, RefusalKind::NoRoute.into()));
        };
        let refused = |refusal: Refusal| (Some(rule.id.clone()), refusal);
        let organisation =
            organisation(rules, &rule, incoming).map_err(|kind| refused(kind.into()))?;
        let rank = rules.rank(&rule, organisation.as_ref());
        let receipt = match &organisation {
            Some(name) => self
                .charge(snapshot, rules, name, now)
                .await
                .map_err(refused)?,
            None => None,
        };
        let nested = is_nested(rules, &rule, incoming);
        let nested_call = nested.then(|| self.runner.begin_nested_call(&rule.id));
        if nested_call.is_none() {
            self.record_demand(&rule, rank);
            if let Err(refusal) = self.check_capacity(snapshot, &rule, rank, &organisation) {
                self.refund(&organisation, receipt);
                return Err((Some(rule.id.clone()), refusal));
            }
        }
        Ok(Admitted {
            rule,
            organisation,
            receipt,
            nested_call,
        })
    }

    /// Refuses a request for which there's no room further down.
    fn check_capacity(
        &self,
        snapshot: &Snapshot,
        rule: &RouteRule,
        rank: Rank,
        organisation: &Option<OrganisationId>,
    ) -> Result<(), Refusal> {
        let admitted_part = snapshot.admission_plan.admitted_permille(&rule.id, rank);
        let part = admitted_part.map_or(1_000, |(part, _)| part);
        if self.shedder().admit(&rule.id, rank, organisation, part) {
            return Ok(());
        }
        let refusal = Refusal::retry_after(
            RefusalKind::OverloadedDeep,
            with_jitter(OVERLOAD_RETRY_AFTER),
        );
        Err(refusal)
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
        let request_timeout = incoming.timeout.unwrap_or(DEFAULT_TIMEOUT);
        let request_timeout = rule
            .timeout
            .map_or(request_timeout, |timeout| timeout.min(request_timeout));
        let service = self.round_robin().next(&rule, rand::random());
        let Some(service) = service else {
            self.refund(&organisation, receipt);
            return DispatchResult {
                verdict: Err(RefusalKind::Unavailable.into()),
                vm: snapshot.local_member.vm.clone(),
                attempts: 0,
            };
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
            deadline: began + request_timeout,
            objective: rule.objective,
            method: incoming.method,
            path: incoming.path,
            headers: incoming.headers,
            body: incoming.body,
        };
        let result = self.dispatch(snapshot, &rule, &attempt).await;
        drop(nested_call);
        if matches!(result.verdict, Err(Failure::Refused(_))) {
            self.refund(&attempt.organisation, receipt);
        }
        DispatchResult {
            verdict: with_retry_after(result.verdict, with_jitter(OVERLOAD_RETRY_AFTER)),
            ..result
        }
    }
}

/// What a refusal at the entry was decided by.
fn refusal_detail(
    snapshot: &Snapshot,
    route: Option<&RouteId>,
    kind: RefusalKind,
) -> Option<String> {
    match kind {
        RefusalKind::OverRate => Some(match &snapshot.holder {
            Some(holder) => format!("rates divided by {}", holder.vm),
            None => "nobody divides the rates".to_owned(),
        }),
        RefusalKind::OverloadedDeep => {
            let overloaded = snapshot.admission_plan.overloaded_services(route?);
            let overloaded = overloaded.map(|(service, threshold)| {
                format!(
                    "{service} keeps {} of 1000 of rank {}",
                    threshold.admitted_permille, threshold.rank
                )
            });
            Some(overloaded.collect::<Vec<_>>().join(", "))
        }
        _ => None,
    }
}

/// Whether a request is a call of the backend server on this VM: those come without a key. Where
/// nobody has a key, calls can't be told from callers' requests, and count as such.
fn is_nested(rules: &Rules, rule: &RouteRule, incoming: &IncomingRequest) -> bool {
    rule.open && incoming.key.is_none() && !rules.organisations.is_empty()
}

/// The organisation that a request runs for; `None` on a route open to all.
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

/// The organisation whose key came with a request, whatever became of it.
fn organisation_of_key(snapshot: &Snapshot, incoming: &IncomingRequest) -> Option<OrganisationId> {
    let keys = &snapshot.rules.as_ref()?.keys;
    keys.get(incoming.key.as_ref()?).cloned()
}

fn path_only(path: &[u8]) -> &[u8] {
    path.split(|byte| *byte == b'?').next().unwrap_or_default()
}

/// A time around another one.
fn with_jitter(time: Duration) -> Duration {
    let random: f64 = rand::random();
    time.mul_f64(1.0 + (random - 0.5) * RETRY_AFTER_JITTER)
}
