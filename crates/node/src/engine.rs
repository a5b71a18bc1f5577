//! The path of a call: entry, routing, retries, verdict.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::Sender;
use filbertwheel_backend::{Announcement, Neighbour, NestedRequest};
use filbertwheel_caller::{Entry, EntryRequest};
use filbertwheel_core::{
    Call, Clock, Criticality, Doubt, Failure, OrganisationId, Rate, Refusal, RefusalKind, Route,
    Verdict, VmId, invariant,
};
use filbertwheel_http::{LocalFuture, Particulars};
use filbertwheel_peer::{CallSink, Forward, ForwardError};
use filbertwheel_policy::{Candidate, Purse, RETRIES_PER_CALL, choose};

use crate::control::{ClaimReply, Message};
use crate::metrics::Metrics;
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
/// Wait that's assumed of a node that wasn't reached, in microseconds.
const UNREACHED_WAIT_US: u64 = 1_000_000;

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
    loads: Mutex<HashMap<VmId, Load>>,
}

/// What this node knows of another one's load.
#[derive(Debug, Default, Clone, Copy)]
struct Load {
    wait_us: u64,
    pending: u32,
}

/// Where a call can run.
#[derive(Debug, Clone)]
struct Target {
    vm: VmId,
    address: std::net::SocketAddr,
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
        let loads = Mutex::default();
        Self {
            clock,
            board,
            purse,
            runner,
            forward,
            control,
            metrics,
            loads,
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
        let given = call.retries;
        let mut left = given;
        let mut tried = Vec::new();
        loop {
            let verdict = self.attempt(&call, &mut left, &mut tried).await;
            invariant!(
                "retries-bounded",
                left <= given,
                "{left} retries are left of {given}"
            );
            let again = may_retry(&call, &verdict) && left > 0;
            if !again || self.clock.now() + BACKOFF >= call.deadline {
                return with_retries(verdict, left);
            }
            left -= 1;
            self.metrics.retries.inc();
            self.clock.sleep(BACKOFF.mul_f64(rand::random())).await;
        }
    }

    /// Tries one backend server. Takes from `left` what that one spends.
    async fn attempt(&self, call: &Call, left: &mut u32, tried: &mut Vec<VmId>) -> Verdict {
        let snapshot = self.board.load_full();
        let Some(target) = self.pick(&snapshot, call, tried) else {
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
            self.runner.run(&call).await
        } else {
            self.send(&target, &call).await
        };
        *left += returned(&verdict).min(call.retries);
        verdict
    }

    async fn send(&self, target: &Target, call: &Call) -> Verdict {
        let pending = Pending::begin(self, &target.vm);
        let reply = self.forward.forward(target.address, call).await;
        drop(pending);
        match reply {
            Ok((verdict, load)) => {
                self.note_wait(&target.vm, (load * 1e6) as u64);
                verdict
            }
            Err(ForwardError::NotSent) => {
                self.note_wait(&target.vm, UNREACHED_WAIT_US);
                Err(Refusal::new(RefusalKind::Unavailable)
                    .with_retries(call.retries)
                    .into())
            }
            Err(ForwardError::Lost) => Err(Doubt::Lost.into()),
            Err(ForwardError::Late) => Err(Doubt::Late.into()),
            Err(ForwardError::Broken) => Err(Doubt::Broken.into()),
        }
    }

    fn pick(&self, snapshot: &Snapshot, call: &Call, tried: &[VmId]) -> Option<Target> {
        let members: Vec<_> = snapshot
            .roster
            .serving(&call.service)
            .filter(|member| !tried.contains(&member.vm))
            .collect();
        let loads = self.loads();
        let own_wait = (self.runner.wait() * 1e6) as u64;
        let candidates: Vec<Candidate> = members
            .iter()
            .map(|member| {
                let load = loads.get(&member.vm).copied().unwrap_or_default();
                let own = member.vm == snapshot.me.vm;
                let wait_us = if own { own_wait } else { load.wait_us };
                let near = member.domain == snapshot.me.domain;
                Candidate {
                    wait_us,
                    pending: load.pending,
                    near,
                }
            })
            .collect();
        drop(loads);
        let index = choose(&candidates, |count| rand::random_range(0..count))?;
        let member = members.get(index)?;
        Some(Target {
            vm: member.vm.clone(),
            address: member.address,
        })
    }

    async fn nested(&self, request: NestedRequest) -> Verdict {
        let now = self.clock.now();
        let pass = self.runner.passes().borrow(&request.token);
        let Some(pass) = pass else {
            return Err(RefusalKind::BadToken.into());
        };
        let token = request.token.clone();
        let verdict = match self.nested_call(&pass.call, pass.retries, request, now) {
            Ok(call) => self.dispatch(call).await,
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

    fn note_wait(&self, vm: &VmId, wait_us: u64) {
        self.loads().entry(vm.clone()).or_default().wait_us = wait_us;
    }

    fn purse(&self) -> MutexGuard<'_, Purse> {
        self.purse.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn loads(&self) -> MutexGuard<'_, HashMap<VmId, Load>> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entry for Engine {
    fn enter(&self, request: EntryRequest) -> LocalFuture<'_, Verdict> {
        Box::pin(async move {
            let began = self.clock.now();
            let service = request.particulars.service.clone();
            let (organisation, verdict) = self.entered(request).await;
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
    fn run(&self, call: Call) -> LocalFuture<'_, Verdict> {
        Box::pin(async move {
            let snapshot = self.board.load_full();
            let refuse = |kind| Err(Refusal::new(kind).with_retries(call.retries).into());
            if snapshot.me.service.as_ref() != Some(&call.service) {
                return refuse(RefusalKind::Unavailable);
            }
            if !snapshot.is_serving() {
                return refuse(RefusalKind::Draining);
            }
            self.runner.run(&call).await
        })
    }

    fn load(&self) -> f64 {
        self.runner.wait()
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

/// Counts a forwarded call as pending while it lives.
struct Pending<'a> {
    engine: &'a Engine,
    vm: &'a VmId,
}

impl<'a> Pending<'a> {
    fn begin(engine: &'a Engine, vm: &'a VmId) -> Self {
        engine.loads().entry(vm.clone()).or_default().pending += 1;
        Self { engine, vm }
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if let Some(load) = self.engine.loads().get_mut(self.vm) {
            load.pending = load.pending.saturating_sub(1);
        }
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
    Call {
        id: rand::random(),
        organisation,
        request: particulars.request,
        service: particulars.service,
        criticality: lowered(route.criticality, particulars.criticality),
        idempotent: route.idempotent,
        rank: rand::random(),
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
