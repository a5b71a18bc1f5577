//! The path of requests and calls through a node, from its endpoints for callers, peers and the
//! backend server.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::Sender;
use filbertwheel_backend::{Announcement, BackendHandler, NestedRequest};
use filbertwheel_caller::{CallerHandler, CallerRequest};
use filbertwheel_core::{
    Call, Clock, Failure, OrganisationId, Rate, Refusal, RefusalKind, Verdict,
};
use filbertwheel_http::LocalFuture;
use filbertwheel_peer::{CallForwarder, CallHandler, LoadReport};
use filbertwheel_policy::{DedupTable, ShareBuckets, TokenReceipt, retry_after};

use crate::control::{ClaimReply, Message};
use crate::dispatch::returned_retries;
use crate::entry::{authenticate, entry_call, nested_call, route_of};
use crate::metrics::Metrics;
use crate::routing::RoutingState;
use crate::runner::Runner;
use crate::snapshot::{SharedSnapshot, Snapshot};

/// Backoff that a caller is asked for after a refusal under overload, before jitter.
const CALLER_BACKOFF: Duration = Duration::from_secs(1);

/// Handles requests and calls. Shared by the traffic threads.
#[derive(Debug)]
pub struct Engine {
    pub(super) clock: Arc<dyn Clock>,
    pub(super) snapshots: SharedSnapshot,
    buckets: Arc<Mutex<ShareBuckets>>,
    pub(super) runner: Runner,
    pub(super) forward: Arc<dyn CallForwarder>,
    control: Sender<Message>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) routing: RoutingState,
    pub(super) dedup: Mutex<DedupTable>,
}

impl Engine {
    /// Creates an engine that reads `snapshots` and sends messages to `control`.
    pub fn open(
        clock: Arc<dyn Clock>,
        snapshots: SharedSnapshot,
        buckets: Arc<Mutex<ShareBuckets>>,
        runner: Runner,
        forward: Arc<dyn CallForwarder>,
        control: Sender<Message>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            clock,
            snapshots,
            buckets,
            runner,
            forward,
            control,
            metrics,
            routing: RoutingState::default(),
            dedup: Mutex::new(DedupTable::open()),
        }
    }

    /// Returns the number of calls that run or are queued at this node's backend server.
    pub fn in_flight(&self) -> usize {
        self.runner.in_flight()
    }

    async fn run_request(&self, request: CallerRequest) -> (Option<OrganisationId>, Verdict) {
        let now = self.clock.now();
        let snapshot = self.snapshots.load_full();
        let organisation = match authenticate(&snapshot, &request, now) {
            Ok(organisation) => organisation,
            Err(refusal) => return (None, Err(refusal.into())),
        };
        let verdict = self
            .run_charged(&snapshot, organisation.clone(), request, now)
            .await;
        (organisation, verdict)
    }

    async fn run_charged(
        &self,
        snapshot: &Snapshot,
        organisation: Option<OrganisationId>,
        request: CallerRequest,
        now: Instant,
    ) -> Verdict {
        let route = route_of(snapshot, &request.metadata, request.method.as_bytes())?;
        let call = entry_call(request, organisation.clone(), route, now, self.clock.wall());
        let Some(organisation) = organisation else {
            return self.dispatch(call).await.0;
        };
        let limit = snapshot.config.organisations.get(&organisation);
        let limit = limit.ok_or(Refusal::new(RefusalKind::BadKey))?.limit;
        let receipt = self.charge(&organisation, limit, call.deadline).await?;
        let (verdict, _) = self.dispatch(call).await;
        if let (Some(receipt), Err(Failure::Refused(_))) = (receipt, &verdict) {
            self.buckets()
                .refund(&organisation, receipt, self.clock.now());
        }
        verdict
    }

    /// Spends a token of the node's share, or claims one. A claimed token can't be refunded, so it
    /// has no receipt.
    async fn charge(
        &self,
        organisation: &OrganisationId,
        limit: Rate,
        deadline: Instant,
    ) -> Result<Option<TokenReceipt>, Refusal> {
        let out_of_tokens = match self.buckets().charge(organisation, limit, self.clock.now()) {
            Ok(receipt) => return Ok(Some(receipt)),
            Err(out_of_tokens) => out_of_tokens,
        };
        let (reply, receiver) = async_channel::bounded(1);
        let claim = Message::ClaimToken {
            organisation: organisation.clone(),
            deadline,
            reply,
        };
        let sent = self.control.try_send(claim).is_ok();
        let response = if sent {
            receiver.recv().await.ok()
        } else {
            None
        };
        match response {
            Some(ClaimReply::Granted) => Ok(None),
            Some(ClaimReply::RetryAfter(wait)) => Err(Refusal::retry_after(
                RefusalKind::OverRate,
                out_of_tokens.wait.unwrap_or(wait),
            )),
            None => Err(Refusal::new(RefusalKind::Unavailable)),
        }
    }

    async fn run_nested(&self, request: NestedRequest) -> Verdict {
        let now = self.clock.now();
        let grant = self.runner.tokens().lend_retries(&request.token);
        let Some(grant) = grant else {
            return Err(RefusalKind::BadToken.into());
        };
        let token = request.token.clone();
        let wall = self.clock.wall();
        let call = nested_call(&self.snapshots.load(), &grant, request, now, wall);
        let verdict = match call {
            Ok(call) => {
                let (verdict, cut_off) = self.dispatch(call).await;
                if let Some(cut_off) = cut_off {
                    self.runner.tokens().record_cut_off(&token, cut_off);
                }
                verdict.map_err(from_downstream)
            }
            Err(refusal) => Err(refusal.with_retries(grant.retries).into()),
        };
        let took = self.clock.now().saturating_duration_since(now);
        self.runner.tokens().return_retries(
            &token,
            grant.retries,
            returned_retries(&verdict),
            took,
        );
        verdict
    }

    fn buckets(&self) -> MutexGuard<'_, ShareBuckets> {
        self.buckets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CallerHandler for Engine {
    fn handle_request(&self, request: CallerRequest) -> LocalFuture<'_, Verdict> {
        Box::pin(async move {
            let began = self.clock.now();
            let service = request.metadata.service.clone();
            let (organisation, verdict) = self.run_request(request).await;
            let verdict = verdict.map_err(with_retry_after);
            let took = self.clock.now().saturating_duration_since(began);
            let name = organisation
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default();
            let snapshot = self.snapshots.load();
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

impl CallHandler for Engine {
    fn run(&self, call: Call) -> LocalFuture<'_, (Verdict, LoadReport)> {
        Box::pin(async move {
            let snapshot = self.snapshots.load_full();
            let refuse = |kind| {
                let refusal = Refusal::new(kind).with_retries(call.retries);
                (Err(refusal.into()), LoadReport::default())
            };
            if snapshot.local_member.service.as_ref() != Some(&call.service) {
                return refuse(RefusalKind::Unavailable);
            }
            if !snapshot.is_serving() {
                return refuse(RefusalKind::Draining);
            }
            self.run_here(&call).await
        })
    }
}

impl BackendHandler for Engine {
    fn announce(&self, announcement: Announcement) {
        self.runner.announce(&announcement);
        if self
            .control
            .try_send(Message::Announce(announcement))
            .is_err()
        {
            tracing::warn!(
                "engine: The control thread's queue is full; an announcement was dropped."
            );
        }
    }

    fn handle_nested(&self, request: NestedRequest) -> LocalFuture<'_, Verdict> {
        Box::pin(self.run_nested(request))
    }
}

/// Converts a nested call's failure to the one that its backend server sees.
fn from_downstream(failure: Failure) -> Failure {
    match failure {
        Failure::Refused(refusal) => Failure::Refused(Refusal {
            kind: refusal.kind.from_downstream(),
            ..refusal
        }),
        unknown @ Failure::Unknown(_) => unknown,
    }
}

/// Sets the time after which a caller may retry after a refusal under overload.
fn with_retry_after(failure: Failure) -> Failure {
    match failure {
        Failure::Refused(refusal) if is_overload(refusal.kind) => Failure::Refused(Refusal {
            retry_after: Some(retry_after(CALLER_BACKOFF, rand::random())),
            ..refusal
        }),
        other => other,
    }
}

fn is_overload(kind: RefusalKind) -> bool {
    matches!(kind, RefusalKind::Overloaded | RefusalKind::OverloadedDeep)
}
