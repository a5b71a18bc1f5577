//! Requests as they enter: what they may do, and whether there's room for all that they need.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertwheel_core::{
    Attempt, Failure, OrganisationId, Rank, Refusal, RefusalKind, RouteId, RouteRule, Rules,
    Verdict,
};
use filbertwheel_policy::TokenReceipt;

use crate::dispatch::{Dispatched, with_hint};
use crate::engine::Engine;
use crate::incoming::IncomingRequest;
use crate::journal::Entry;
use crate::runner::CallUnderWay;
use crate::snapshots::Snapshot;

/// How long a sender waits that doesn't say.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);
/// After what time a repeat may find a node that has no rules yet ready.
const START_HINT: Duration = Duration::from_millis(300);
/// After what time a repeat may find room.
const ROOM_HINT: Duration = Duration::from_millis(700);
/// Spread of that time, so that those who were refused together don't come back together.
const HINT_SPREAD: f64 = 0.6;

/// A request that may run, with what it was charged.
struct Admitted<'a> {
    path: Arc<RouteRule>,
    organisation: Option<OrganisationId>,
    receipt: Option<TokenReceipt>,
    /// Set where it's a call of the backend server on this VM.
    call: Option<CallUnderWay<'a>>,
}

impl Engine {
    /// Has a request run, and says what became of it.
    pub async fn handle_request(&self, arrival: IncomingRequest) -> Verdict {
        let began = self.clock.now();
        let snapshot = self.snapshots.load_full();
        let request = arrival.request.clone();
        let organisation = known_organisation(&snapshot, &arrival);
        let admitted = self.admit(&snapshot, &arrival, began).await;
        let mut objective = None;
        let (route, dispatched) = match admitted {
            Ok(admitted) => {
                let route = admitted.path.id.clone();
                objective = Some(admitted.path.objective);
                let dispatched = self.run(&snapshot, arrival, admitted, began).await;
                (Some(route), dispatched)
            }
            Err((route, refusal)) => {
                let dispatched = Dispatched {
                    verdict: Err(refusal.into()),
                    vm: snapshot.me.vm.clone(),
                    tries: 0,
                };
                (route, dispatched)
            }
        };
        let took = self.clock.now().saturating_duration_since(began);
        let entry = Entry {
            request: &request,
            route: route.as_ref(),
            organisation: organisation.as_ref(),
            version: snapshot.version(),
        };
        let name = route.as_ref().and_then(|route| route.as_str());
        self.metrics
            .ended(name.unwrap_or("none"), &dispatched.verdict, took);
        let slow = objective.is_some_and(|objective| took > objective);
        self.record(&snapshot, entry, &dispatched, took, slow);
        dispatched.verdict
    }

    fn record(
        &self,
        snapshot: &Snapshot,
        entry: Entry<'_>,
        dispatched: &Dispatched,
        took: Duration,
        slow: bool,
    ) {
        let took_ms = took.as_millis() as u64;
        let tried = || format!("{} tries, last at {}", dispatched.tries, dispatched.vm);
        match &dispatched.verdict {
            Ok(answer) => {
                let (vm, tries) = (&dispatched.vm, dispatched.tries);
                let failed = slow || answer.status >= 500;
                self.journal
                    .answered(entry, answer.status, vm, tries, took_ms, failed);
            }
            Err(Failure::Refused(refusal)) => {
                let detail = cause(snapshot, entry.route, refusal.kind).unwrap_or_else(tried);
                let reason = refusal.kind.to_string();
                self.journal
                    .ended(entry, "not-run", &reason, &detail, took_ms);
            }
            Err(Failure::Unknown(doubt)) => {
                let reason = doubt.to_string();
                self.journal
                    .ended(entry, "unknown", &reason, &tried(), took_ms);
            }
        }
    }

    /// Checks route, key, rate and room, in this order.
    async fn admit(
        &self,
        snapshot: &Snapshot,
        arrival: &IncomingRequest,
        now: Instant,
    ) -> Result<Admitted<'_>, (Option<RouteId>, Refusal)> {
        let Some(rules) = &snapshot.rules else {
            let refusal = Refusal::retry_after(RefusalKind::Stale, START_HINT);
            return Err((None, refusal));
        };
        let route = rules.route(arrival.host.as_bytes(), path_only(arrival.path.as_bytes()));
        let Some(path) = route.cloned() else {
            return Err((None, RefusalKind::NoRoute.into()));
        };
        let refused = |refusal: Refusal| (Some(path.id.clone()), refusal);
        let organisation =
            organisation(rules, &path, arrival).map_err(|kind| refused(kind.into()))?;
        let rank = rules.rank(&path, organisation.as_ref());
        let receipt = match &organisation {
            Some(name) => self
                .charge(snapshot, rules, name, now)
                .await
                .map_err(refused)?,
            None => None,
        };
        let nested = is_nested(rules, &path, arrival);
        let call = nested.then(|| self.runner.called(&path.id));
        if call.is_none() {
            self.note_asked(&path, rank);
            if let Err(refusal) = self.make_room(snapshot, &path, rank, &organisation) {
                self.refund(&organisation, receipt);
                return Err((Some(path.id.clone()), refusal));
            }
        }
        Ok(Admitted {
            path,
            organisation,
            receipt,
            call,
        })
    }

    /// Refuses a request for which there's no room further down.
    fn make_room(
        &self,
        snapshot: &Snapshot,
        path: &RouteRule,
        rank: Rank,
        organisation: &Option<OrganisationId>,
    ) -> Result<(), Refusal> {
        let kept = snapshot.cuts.admitted_permille(&path.id, rank);
        let part = kept.map_or(1_000, |(part, _)| part);
        if self.shed().admit(&path.id, rank, organisation, part) {
            return Ok(());
        }
        let refusal = Refusal::retry_after(RefusalKind::OverloadedDeep, spread(ROOM_HINT));
        Err(refusal)
    }

    async fn run(
        &self,
        snapshot: &Snapshot,
        arrival: IncomingRequest,
        admitted: Admitted<'_>,
        began: Instant,
    ) -> Dispatched {
        let Admitted {
            path,
            organisation,
            receipt,
            call,
        } = admitted;
        let patience = arrival.timeout.unwrap_or(DEFAULT_PATIENCE);
        let patience = path
            .timeout
            .map_or(patience, |timeout| timeout.min(patience));
        let service = self.split().next(&path, rand::random());
        let Some(service) = service else {
            self.refund(&organisation, receipt);
            return Dispatched {
                verdict: Err(RefusalKind::Unavailable.into()),
                vm: snapshot.me.vm.clone(),
                tries: 0,
            };
        };
        self.budget().record_request(&service, began);
        let attempt = Attempt {
            request: arrival.request,
            route: path.id.clone(),
            service,
            organisation,
            caller: self.service.clone(),
            priority: path.priority,
            idempotent: path.idempotent,
            nested: call.is_some(),
            deadline: began + patience,
            objective: path.objective,
            method: arrival.method,
            path: arrival.path,
            headers: arrival.headers,
            body: arrival.body,
        };
        let dispatched = self.dispatch(snapshot, &path, &attempt).await;
        drop(call);
        if matches!(dispatched.verdict, Err(Failure::Refused(_))) {
            self.refund(&attempt.organisation, receipt);
        }
        Dispatched {
            verdict: with_hint(dispatched.verdict, spread(ROOM_HINT)),
            ..dispatched
        }
    }
}

/// What a refusal at the entry was decided by.
fn cause(snapshot: &Snapshot, route: Option<&RouteId>, kind: RefusalKind) -> Option<String> {
    match kind {
        RefusalKind::OverRate => Some(match &snapshot.holder {
            Some(holder) => format!("rates divided by {}", holder.vm),
            None => "nobody divides the rates".to_owned(),
        }),
        RefusalKind::OverloadedDeep => {
            let short = snapshot.cuts.overloaded_services(route?);
            let short = short.map(|(service, cut)| {
                format!(
                    "{service} keeps {} of 1000 of rank {}",
                    cut.admitted_permille, cut.rank
                )
            });
            Some(short.collect::<Vec<_>>().join(", "))
        }
        _ => None,
    }
}

/// Whether a request is a call of the backend server on this VM: those come without a key. Where
/// nobody has a key, calls can't be told from callers' requests, and count as such.
fn is_nested(rules: &Rules, path: &RouteRule, arrival: &IncomingRequest) -> bool {
    path.open && arrival.key.is_none() && !rules.organisations.is_empty()
}

/// The organisation that a request runs for; `None` on a route open to all.
fn organisation(
    rules: &Rules,
    path: &RouteRule,
    arrival: &IncomingRequest,
) -> Result<Option<OrganisationId>, RefusalKind> {
    if path.open || rules.organisations.is_empty() {
        return Ok(None);
    }
    let key = arrival.key.as_ref().ok_or(RefusalKind::NoKey)?;
    let organisation = rules.keys.get(key).ok_or(RefusalKind::BadKey)?;
    Ok(Some(organisation.clone()))
}

/// The organisation whose key came with a request, whatever became of it.
fn known_organisation(snapshot: &Snapshot, arrival: &IncomingRequest) -> Option<OrganisationId> {
    let keys = &snapshot.rules.as_ref()?.keys;
    keys.get(arrival.key.as_ref()?).cloned()
}

fn path_only(path: &[u8]) -> &[u8] {
    path.split(|byte| *byte == b'?').next().unwrap_or_default()
}

/// A time around another one.
fn spread(time: Duration) -> Duration {
    let random: f64 = rand::random();
    time.mul_f64(1.0 + (random - 0.5) * HINT_SPREAD)
}
