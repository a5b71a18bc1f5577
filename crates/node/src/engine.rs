//! The path of calls through a node, from its three doors.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use async_channel::Sender;
use filbertwheel_backend::{Announcement, Neighbour, NestedRequest};
use filbertwheel_caller::{Entry, EntryRequest};
use filbertwheel_core::{
    Call, Clock, Failure, OrganisationId, Rate, Refusal, RefusalKind, Verdict,
};
use filbertwheel_http::LocalFuture;
use filbertwheel_peer::{CallSink, Forward};
use filbertwheel_policy::{Memory, Purse, Receipt};

use crate::control::{ClaimReply, Message};
use crate::dispatch::returned;
use crate::entry::{entry_call, identify, nested_call, route_of};
use crate::loads::Loads;
use crate::metrics::Metrics;
use crate::runner::Runner;
use crate::snapshot::{Board, Snapshot};

/// The path of calls through this node. Shared by the traffic threads.
#[derive(Debug)]
pub struct Engine {
    pub(super) clock: Arc<dyn Clock>,
    pub(super) board: Board,
    purse: Arc<Mutex<Purse>>,
    pub(super) runner: Runner,
    pub(super) forward: Arc<dyn Forward>,
    control: Sender<Message>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) loads: Loads,
    pub(super) memory: Mutex<Memory>,
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
            loads: Loads::default(),
            memory: Mutex::new(Memory::open()),
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
        let call = entry_call(request, organisation.clone(), route, now, self.clock.wall());
        let Some(organisation) = organisation else {
            return self.dispatch(call).await;
        };
        let limit = snapshot.config.organisations.get(&organisation);
        let limit = limit.ok_or(Refusal::new(RefusalKind::BadKey))?.limit;
        let receipt = self.charge(&organisation, limit, call.deadline).await?;
        let verdict = self.dispatch(call).await;
        if let (Some(receipt), Err(Failure::Refused(_))) = (receipt, &verdict) {
            self.purse()
                .put_back(&organisation, receipt, self.clock.now());
        }
        verdict
    }

    /// Spends a token of the node's share, or claims one. A claimed token can't be put back.
    async fn charge(
        &self,
        organisation: &OrganisationId,
        limit: Rate,
        deadline: Instant,
    ) -> Result<Option<Receipt>, Refusal> {
        let short = match self.purse().charge(organisation, limit, self.clock.now()) {
            Ok(receipt) => return Ok(Some(receipt)),
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
            Some(ClaimReply::Given) => Ok(None),
            Some(ClaimReply::Short(wait)) => Err(Refusal::retry_after(
                RefusalKind::OverRate,
                short.wait.unwrap_or(wait),
            )),
            None => Err(Refusal::new(RefusalKind::Unavailable)),
        }
    }

    async fn nested(&self, request: NestedRequest) -> Verdict {
        let now = self.clock.now();
        let pass = self.runner.passes().borrow(&request.token);
        let Some(pass) = pass else {
            return Err(RefusalKind::BadToken.into());
        };
        let token = request.token.clone();
        let wall = self.clock.wall();
        let call = nested_call(&self.board.load(), &pass, request, now, wall);
        let verdict = match call {
            Ok(call) => self.dispatch(call).await,
            Err(refusal) => Err(refusal.with_retries(pass.retries).into()),
        };
        self.runner
            .passes()
            .give_back(&token, pass.retries, returned(&verdict));
        verdict
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
            self.run_here(&call).await
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
