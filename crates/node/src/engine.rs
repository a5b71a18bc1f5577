//! The path of a call: entry, routing, retries, verdict.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::Sender;
use filbertwheel_backend::{Announcement, Neighbour, NestedRequest};
use filbertwheel_caller::{Entry, EntryRequest};
use filbertwheel_core::{
    Call, Clock, Criticality, CutOff, Doubt, Failure, OrganisationId, Rate, Refusal, RefusalKind,
    Route, Verdict, VmId, invariant,
};
use filbertwheel_http::{LocalFuture, Particulars};
use filbertwheel_peer::{CallSink, Forward, ForwardError, Load};
use filbertwheel_policy::{Purse, RETRIES_PER_CALL, rank_of, retry_after};

use crate::control::{ClaimReply, Message};
use crate::metrics::Metrics;
use crate::outlook::{Outlook, Target};
use crate::runner::Runner;
use crate::snapshot::{Board, Snapshot};

/// Deadline of a call whose caller names none.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(10);
/// Longest deadline.
const LONGEST_PATIENCE: Duration = Duration::from_secs(60);
/// Deepest call chain.
const DEPTH_LIMIT: u8 = 16;
/// Longest pause before a retry.
const BACKOFF: Duration = Duration::from_millis(20);
/// Pause that a caller is asked for after a refusal under overload, before jitter.
const CALLER_PAUSE: Duration = Duration::from_secs(1);

/// The path of calls through this node. Shared by the traffic threads.
#[derive(Debug)]
pub(crate) struct Engine {
    clock: Arc<dyn Clock>,
    board: Board,
    purse: Arc<Mutex<Purse>>,
    runner: Runner,
    forward: Arc<dyn Forward>,
    control: Sender<Message>,
    metrics: Arc<Metrics>,
    outlook: Outlook,
}

impl Engine {
    /// An engine that reads `board` and reports to `control`.
    pub fn open(
        clock: Arc<dyn Clock>,
        board: Board,
        purse: Arc<Mutex<Purse>>,
        runner: Runner,
        forward: Arc<dyn Forward>,
        control: Sender<Message>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            clock,
            board,
            purse,
            runner,
            forward,
            control,
            metrics,
            outlook: Outlook::default(),
        }
    }

    /// Calls that run or wait at this node's backend server.
    pub fn in_flight(&self) -> usize {
        self.runner.in_flight()
    }

    async fn entered(&self, request: EntryRequest) -> (Option<OrganisationId>, Verdict) {
        let now = self.clock.now();
        let snapshot = self.board.load_full();
        let organisation = match identify(&snapshot, &request, now) {
            Ok(organisation) => organisation,
            Err(refusal) => return (None, Err(refusal.into())),
        };
        let verdict = self
            .charged(&snapshot, organisation.clone(), request, now)
            .await;
        (organisation, verdict)
    }

    async fn charged(
        &self,
        snapshot: &Snapshot,
        organisation: Option<OrganisationId>,
        request: EntryRequest,
        now: Instant,
    ) -> Verdict {
        let route = route_of(snapshot, &request.particulars, request.method.as_bytes())?;
        let call = entry_call(request, organisation.clone(), route, now);
        let Some(organisation) = organisation else {
            return self.dispatch(call).await;
        };
        let limit = snapshot.config.organisations.get(&organisation);
        let limit = limit.ok_or(Refusal::new(RefusalKind::BadKey))?.limit;
        self.charge(&organisation, limit, call.deadline).await?;
        let verdict = self.dispatch(call).await;
        if let Err(Failure::Refused(_)) = &verdict {
            self.purse()
                .put_back(&organisation, limit, self.clock.now());
        }
        verdict
    }

    /// Spends a token of the node's share, or claims one.
    async fn charge(
        &self,
        organisation: &OrganisationId,
        limit: Rate,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        let short = match self.purse().charge(organisation, limit, self.clock.now()) {
            Ok(()) => return Ok(()),
            Err(short) => short,
        };
        let (reply, answer) = async_channel::bounded(1);
        let claim = Message::Want {
            organisation: organisation.clone(),
            deadline,
            reply,
        };
        let asked = self.control.try_send(claim).is_ok();
        let answered = if asked {
            answer.recv().await.ok()
        } else {
            None
        };
        match answered {
            Some(ClaimReply::Given) => Ok(()),
            Some(ClaimReply::Short(wait)) => Err(Refusal::retry_after(
                RefusalKind::OverRate,
                short.wait.unwrap_or(wait),
            )),
            None => Err(Refusal::new(RefusalKind::Unavailable)),
        }
    }

    /// Runs a call at some backend server, with retries as far as they're given.
    async fn dispatch(&self, call: Call) -> Verdict {
        self.dispatched(call, &mut None).await
    }

    /// Runs a call as `dispatch` does. `cut` becomes the cut-off that came back last.
    async fn dispatched(&self, call: Call, cut: &mut Option<CutOff>) -> Verdict {
        let given = call.retries;
        let mut left = given;
        let mut tried = Vec::new();
        loop {
            if let Some(shed) = self.outlook.sheds(&call, self.clock.now()) {
                *cut = Some(shed);
                let refusal = Refusal::new(RefusalKind::OverloadedDeep);
                return Err(refusal.with_retries(left).into());
            }
            let verdict = self.attempt(&call, &mut left, &mut tried, cut).await;
            if verdict.is_ok() {
                self.outlook.earn(&call.service);
            }
            invariant!(
                "retries-bounded",
                left <= given,
                "{left} retries are left of {given}"
            );
            let again = may_retry(&call, &verdict) && left > 0;
            let late = self.clock.now() + BACKOFF >= call.deadline;
            if !again || late || !self.outlook.spend(&call.service) {
                return with_retries(verdict, left);
            }
            left -= 1;
            self.metrics.retries.inc();
            self.clock.sleep(BACKOFF.mul_f64(rand::random())).await;
        }
    }

    /// Tries one backend server. Takes from `left` what that one spends.
    async fn attempt(
        &self,
        call: &Call,
        left: &mut u32,
        tried: &mut Vec<VmId>,
        cut: &mut Option<CutOff>,
    ) -> Verdict {
        let snapshot = self.board.load_full();
        let now = self.clock.now();
        let own_wait = self.runner.wait();
        let picked = self.outlook.pick(&snapshot, call, tried, own_wait, now);
        let Some(target) = picked else {
            return Err(RefusalKind::Unavailable.into());
        };
        tried.push(target.vm.clone());
        // One retry stays here, for the case that the target's answer is lost.
        let kept = (*left).min(1);
        let call = Call {
            retries: *left - kept,
            ..call.clone()
        };
        *left = kept;
        let verdict = if target.vm == snapshot.me.vm {
            let (verdict, load) = self.runner.run(&call).await;
            self.outlook
                .hear(&target.vm, &call, &load, self.clock.now());
            *cut = load.cut;
            verdict
        } else {
            self.send(&target, &call, cut).await
        };
        *left += returned(&verdict).min(call.retries);
        verdict
    }

    async fn send(&self, target: &Target, call: &Call, cut: &mut Option<CutOff>) -> Verdict {
        let pending = self.outlook.begin(&target.vm, self.clock.now());
        let reply = self.forward.forward(target.address, call).await;
        drop(pending);
        match reply {
            Ok((verdict, load)) => {
                self.outlook.hear(&target.vm, call, &load, self.clock.now());
                *cut = load.cut;
                verdict
            }
            Err(ForwardError::NotSent) => {
                self.outlook.miss(&target.vm, self.clock.now());
                Err(Refusal::new(RefusalKind::Unavailable)
                    .with_retries(call.retries)
                    .into())
            }
            Err(ForwardError::Lost) => Err(Doubt::Lost.into()),
            Err(ForwardError::Late) => Err(Doubt::Late.into()),
            Err(ForwardError::Broken) => Err(Doubt::Broken.into()),
        }
    }

    async fn nested(&self, request: NestedRequest) -> Verdict {
        let now = self.clock.now();
        let pass = self.runner.passes().borrow(&request.token);
        let Some(pass) = pass else {
            return Err(RefusalKind::BadToken.into());
        };
        let token = request.token.clone();
        let verdict = match self.nested_call(&pass.call, pass.retries, request, now) {
            Ok(call) => {
                let mut cut = None;
                let verdict = self.dispatched(call, &mut cut).await;
                if let Some(cut) = cut {
                    self.runner.passes().hear(&token, cut);
                }
                verdict.map_err(failed_below)
            }
            Err(refusal) => Err(refusal.with_retries(pass.retries).into()),
        };
        let took = self.clock.now().saturating_duration_since(now);
        self.runner
            .passes()
            .give_back(&token, pass.retries, returned(&verdict), took);
        verdict
    }

    fn nested_call(
        &self,
        parent: &Call,
        retries: u32,
        request: NestedRequest,
        now: Instant,
    ) -> Result<Call, Refusal> {
        let depth = parent.depth + 1;
        if depth > DEPTH_LIMIT {
            return Err(RefusalKind::TooDeep.into());
        }
        let snapshot = self.board.load();
        let route = route_of(&snapshot, &request.particulars, request.method.as_bytes())?;
        let particulars = request.particulars;
        let patience = particulars.patience.unwrap_or(LONGEST_PATIENCE);
        Ok(Call {
            id: rand::random(),
            organisation: parent.organisation.clone(),
            request: particulars.request,
            service: particulars.service,
            criticality: lowered(parent.criticality, particulars.criticality),
            idempotent: route.idempotent,
            rank: parent.rank,
            deadline: parent.deadline.min(now + patience),
            retries,
            depth,
            method: request.method,
            path: particulars.path,
            headers: request.headers,
            body: request.body,
        })
    }

    fn purse(&self) -> MutexGuard<'_, Purse> {
        self.purse.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entry for Engine {
    fn enter(&self, request: EntryRequest) -> LocalFuture<'_, Verdict> {
        Box::pin(async move {
            let began = self.clock.now();
            let service = request.particulars.service.clone();
            let (organisation, verdict) = self.entered(request).await;
            let verdict = verdict.map_err(paced);
            let took = self.clock.now().saturating_duration_since(began);
            let name = organisation
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default();
            let snapshot = self.board.load();
            let known = snapshot.roster.serving(&service).next().is_some();
            let service = if known {
                service.to_string()
            } else {
                String::new()
            };
            self.metrics.count(&service, &name, &verdict, took);
            verdict
        })
    }
}

impl CallSink for Engine {
    fn run(&self, call: Call) -> LocalFuture<'_, (Verdict, Load)> {
        Box::pin(async move {
            let snapshot = self.board.load_full();
            let refuse = |kind| {
                let refusal = Refusal::new(kind).with_retries(call.retries);
                (Err(refusal.into()), Load::default())
            };
            if snapshot.me.service.as_ref() != Some(&call.service) {
                return refuse(RefusalKind::Unavailable);
            }
            if !snapshot.is_serving() {
                return refuse(RefusalKind::Draining);
            }
            self.runner.run(&call).await
        })
    }
}

impl Neighbour for Engine {
    fn announce(&self, announcement: Announcement) {
        self.runner.announce(&announcement);
        if self
            .control
            .try_send(Message::Announce(announcement))
            .is_err()
        {
            tracing::warn!("engine: Control is busy; an announcement was left out.");
        }
    }

    fn nest(&self, request: NestedRequest) -> LocalFuture<'_, Verdict> {
        Box::pin(self.nested(request))
    }
}

/// Finds out for whom a request runs, or refuses it.
fn identify(
    snapshot: &Snapshot,
    request: &EntryRequest,
    now: Instant,
) -> Result<Option<OrganisationId>, Refusal> {
    let route = route_of(snapshot, &request.particulars, request.method.as_bytes());
    if !snapshot.is_current(now) {
        return Err(RefusalKind::Stale.into());
    }
    let Some(hash) = &request.key else {
        return match route {
            Ok(route) if route.open => Ok(None),
            _ => Err(RefusalKind::NoKey.into()),
        };
    };
    let key = snapshot
        .config
        .keys
        .get(hash)
        .ok_or(Refusal::new(RefusalKind::BadKey))?;
    Ok(Some(key.organisation.clone()))
}

fn route_of<'a>(
    snapshot: &'a Snapshot,
    particulars: &Particulars,
    method: &[u8],
) -> Result<&'a Route, Refusal> {
    let path = particulars.path.as_bytes();
    let path = path.split(|byte| *byte == b'?').next().unwrap_or_default();
    let route = snapshot
        .config
        .route(particulars.service.as_bytes(), method, path);
    route.ok_or(RefusalKind::NoRoute.into())
}

fn entry_call(
    request: EntryRequest,
    organisation: Option<OrganisationId>,
    route: &Route,
    now: Instant,
) -> Call {
    let EntryRequest {
        particulars,
        method,
        headers,
        body,
        ..
    } = request;
    let patience = particulars
        .patience
        .unwrap_or(DEFAULT_PATIENCE)
        .min(LONGEST_PATIENCE);
    let rank = match &particulars.request {
        Some(request) => rank_of(&organisation, request),
        None => rand::random(),
    };
    Call {
        id: rand::random(),
        organisation,
        request: particulars.request,
        service: particulars.service,
        criticality: lowered(route.criticality, particulars.criticality),
        idempotent: route.idempotent,
        rank,
        deadline: now + patience,
        retries: RETRIES_PER_CALL,
        depth: 0,
        method,
        path: particulars.path,
        headers,
        body,
    }
}

/// The criticality that was asked for, unless it's higher than what's allowed.
fn lowered(allowed: Criticality, asked: Option<Criticality>) -> Criticality {
    asked.map_or(allowed, |asked| asked.min(allowed))
}

/// A failure as the caller of the next hop up sees it.
fn failed_below(failure: Failure) -> Failure {
    match failure {
        Failure::Refused(refusal) => Failure::Refused(Refusal {
            kind: refusal.kind.from_below(),
            ..refusal
        }),
        unknown @ Failure::Unknown(_) => unknown,
    }
}

/// Asks the caller for a pause after a refusal under overload.
fn paced(failure: Failure) -> Failure {
    match failure {
        Failure::Refused(refusal) if is_overload(refusal.kind) => Failure::Refused(Refusal {
            retry_after: Some(retry_after(CALLER_PAUSE, rand::random())),
            ..refusal
        }),
        other => other,
    }
}

fn is_overload(kind: RefusalKind) -> bool {
    matches!(kind, RefusalKind::Overloaded | RefusalKind::OverloadedDeep)
}

fn may_retry(call: &Call, verdict: &Verdict) -> bool {
    match verdict {
        Ok(_) => false,
        Err(Failure::Refused(refusal)) => refusal.kind.may_retry(),
        Err(Failure::Unknown(doubt)) => call.idempotent && *doubt != Doubt::Late,
    }
}

/// Retries that came back with a verdict.
fn returned(verdict: &Verdict) -> u32 {
    match verdict {
        Ok(answer) => answer.retries,
        Err(Failure::Refused(refusal)) => refusal.retries,
        Err(Failure::Unknown(_)) => 0,
    }
}

fn with_retries(verdict: Verdict, retries: u32) -> Verdict {
    match verdict {
        Ok(answer) => Ok(filbertwheel_core::Answer { retries, ..answer }),
        Err(Failure::Refused(refusal)) => Err(refusal.with_retries(retries).into()),
        unknown @ Err(Failure::Unknown(_)) => unknown,
    }
}
