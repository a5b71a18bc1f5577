//! What the traffic threads of a node share.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertwheel_backend::StatusReport;
use filbertwheel_core::{
    Attempt, Clock, InstanceId, Member, OrganisationId, Rank, Refusal, RefusalKind, RouteId,
    RouteRule, Rules, ServiceId, Verdict, Version,
};
use filbertwheel_http::LocalFuture;
use filbertwheel_peer::{LinkEvent, LinkHandler, NodeReport};
use filbertwheel_policy::{
    BackendLoad, FairShedder, PortionBuckets, RetryBudget, RetryLimits, RouteDemand, RulesCatchup,
    TokenReceipt, WeightedRoundRobin,
};

use crate::control::Message;
use crate::inbox::Inbox;
use crate::journal::Journal;
use crate::metrics::Metrics;
use crate::runner::Runner;
use crate::snapshots::{SharedSnapshot, Snapshot};

/// How long a node doesn't claim again that was told that nothing is left.
const MIN_CLAIM_PAUSE: Duration = Duration::from_millis(50);
/// Longest such pause.
const MAX_CLAIM_PAUSE: Duration = Duration::from_millis(500);
/// How long a holder that didn't answer isn't asked again.
const HOLDER_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// After what time a repeat may be within the rate, at least.
const MIN_RATE_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Answer to a claim of a node that can't pay: no tokens, and nothing about when there are some.
const CANNOT_GRANT: (u32, u32) = (0, 0);

/// What the traffic threads of a node share.
#[derive(Debug)]
pub struct Engine {
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) snapshots: SharedSnapshot,
    pub(crate) runner: Runner,
    pub(crate) journal: Arc<Journal>,
    pub(crate) metrics: Arc<Metrics>,
    /// Service of the backend server on this VM.
    pub(crate) service: ServiceId,
    pub(crate) inbox: Inbox,
    portions: Mutex<PortionBuckets>,
    retry_budget: Mutex<RetryBudget>,
    shedder: Mutex<FairShedder>,
    round_robin: Mutex<WeightedRoundRobin>,
    demand: Mutex<HashMap<(RouteId, Rank), u32>>,
    /// Until when claims for an organisation are pointless.
    exhausted_until: Mutex<HashMap<OrganisationId, Instant>>,
    /// Until when the holder isn't asked, because it didn't answer.
    holder_paused_until: Mutex<Option<Instant>>,
    rules_catchup: Mutex<RulesCatchup>,
}

/// What became of a claim.
enum ClaimOutcome {
    Granted,
    /// The organisation has nothing left.
    Exhausted,
    /// There's nobody who could pay.
    NoHolder,
}

/// What an engine is made of.
pub(crate) struct EngineParts {
    pub clock: Arc<dyn Clock>,
    pub snapshots: SharedSnapshot,
    pub runner: Runner,
    pub journal: Arc<Journal>,
    pub metrics: Arc<Metrics>,
    pub service: ServiceId,
    pub retries: RetryLimits,
}

impl Engine {
    pub(crate) fn open(parts: EngineParts) -> Self {
        Self {
            clock: parts.clock,
            snapshots: parts.snapshots,
            runner: parts.runner,
            journal: parts.journal,
            metrics: parts.metrics,
            service: parts.service,
            inbox: Inbox::open(),
            portions: Mutex::default(),
            retry_budget: Mutex::new(RetryBudget::open(parts.retries)),
            shedder: Mutex::default(),
            round_robin: Mutex::default(),
            demand: Mutex::default(),
            exhausted_until: Mutex::default(),
            holder_paused_until: Mutex::default(),
            rules_catchup: Mutex::default(),
        }
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.snapshots.load().is_ready()
    }

    /// The rules in force, if any are known yet.
    pub fn rules(&self) -> Option<Arc<Rules>> {
        self.snapshots.load().rules.clone()
    }

    /// All metrics as text.
    pub fn metrics_text(&self) -> String {
        self.metrics.text()
    }

    /// Takes a report of the backend server on this VM.
    pub fn record_status(&self, report: &StatusReport) {
        if let Some(state) = self.runner.record_status(report) {
            self.inbox.push_urgent(Message::BackendState(state));
        }
    }

    /// Takes note that a life of the backend server leaves and takes nothing new.
    pub fn mark_leaving(&self, backend: &InstanceId) {
        if self.runner.mark_leaving(backend) {
            tracing::info!(backend = %backend, "runner: The backend server leaves.");
            self.inbox.push_urgent(Message::Leaving);
        }
    }

    /// Calls that run or wait here.
    pub(crate) fn in_flight(&self) -> usize {
        self.runner.in_flight()
    }

    pub(crate) fn portions(&self) -> MutexGuard<'_, PortionBuckets> {
        lock(&self.portions)
    }

    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retry_budget)
    }

    pub(crate) fn shedder(&self) -> MutexGuard<'_, FairShedder> {
        lock(&self.shedder)
    }

    pub(crate) fn round_robin(&self) -> MutexGuard<'_, WeightedRoundRobin> {
        lock(&self.round_robin)
    }

    /// Takes note of a caller's request.
    pub(crate) fn record_demand(&self, rule: &RouteRule, rank: Rank) {
        let mut demand = lock(&self.demand);
        *demand.entry((rule.id.clone(), rank)).or_default() += 1;
    }

    /// The requests that callers sent since the last call.
    pub(crate) fn take_demand(&self) -> HashMap<(RouteId, Rank), u32> {
        std::mem::take(&mut lock(&self.demand))
    }

    /// Charges a request to an organisation's rate.
    pub(crate) async fn charge(
        &self,
        snapshot: &Snapshot,
        rules: &Rules,
        organisation: &OrganisationId,
        now: Instant,
    ) -> Result<Option<TokenReceipt>, Refusal> {
        let Some(limit) = rules.limit(organisation) else {
            return Ok(None);
        };
        let wait = match self.portions().charge(organisation, limit, now) {
            Ok(receipt) => return Ok(Some(receipt)),
            Err(wait) => wait,
        };
        let granted = match self.claim_from_holder(snapshot, organisation, now).await {
            ClaimOutcome::Granted => return Ok(None),
            ClaimOutcome::Exhausted => false,
            ClaimOutcome::NoHolder => {
                let nodes = snapshot.nodes;
                let mut portions = self.portions();
                let charged = portions.charge_emergency(organisation, limit, nodes, now);
                charged.is_ok()
            }
        };
        if granted {
            return Ok(None);
        }
        let after = wait.unwrap_or_default().max(MIN_RATE_RETRY_AFTER);
        Err(Refusal::retry_after(RefusalKind::OverRate, after))
    }

    /// Gives back what a request was charged that didn't run.
    pub(crate) fn refund(
        &self,
        organisation: &Option<OrganisationId>,
        receipt: Option<TokenReceipt>,
    ) {
        if let (Some(organisation), Some(receipt)) = (organisation, receipt) {
            self.portions().refund(organisation, receipt);
        }
    }

    /// Claims a token from the holder, unless it said lately that there are none.
    async fn claim_from_holder(
        &self,
        snapshot: &Snapshot,
        organisation: &OrganisationId,
        now: Instant,
    ) -> ClaimOutcome {
        let Some(holder) = &snapshot.holder else {
            return ClaimOutcome::NoHolder;
        };
        let Some(link) = &holder.link else {
            let may_grant = holder.expires.is_some_and(|expires| now < expires);
            return if may_grant {
                ClaimOutcome::Exhausted
            } else {
                ClaimOutcome::NoHolder
            };
        };
        let holder_paused = lock(&self.holder_paused_until).is_some_and(|until| now < until);
        if !link.is_up() || holder_paused {
            return ClaimOutcome::NoHolder;
        }
        let exhausted_until = lock(&self.exhausted_until).get(organisation).copied();
        if exhausted_until.is_some_and(|until| now < until) {
            return ClaimOutcome::Exhausted;
        }
        self.metrics.claims.inc();
        match link.claim_tokens(organisation, 1).await {
            None => {
                *lock(&self.holder_paused_until) = Some(self.clock.now() + HOLDER_RETRY_PAUSE);
                tracing::warn!("engine: The holder of the rates does not answer.");
                ClaimOutcome::NoHolder
            }
            Some((0, 0)) => ClaimOutcome::NoHolder,
            Some((0, after_ms)) => {
                let pause = Duration::from_millis(after_ms.into());
                let pause = pause.clamp(MIN_CLAIM_PAUSE, MAX_CLAIM_PAUSE);
                lock(&self.exhausted_until).insert(organisation.clone(), now + pause);
                ClaimOutcome::Exhausted
            }
            Some(_) => ClaimOutcome::Granted,
        }
    }

    /// Whether a report says nothing that control has to act on at once.
    fn is_unchanged(&self, report: &NodeReport) -> bool {
        let snapshot = self.snapshots.load();
        let service = report.member.service.as_ref();
        let targets = service.and_then(|service| snapshot.services.get(service));
        let mut targets = targets.into_iter().flatten();
        targets.any(|target| target.member == report.member)
    }
}

impl LinkHandler for Engine {
    fn local_member(&self) -> Member {
        self.snapshots.load().local_member.clone()
    }

    fn load(&self) -> BackendLoad {
        self.runner.load()
    }

    fn rules_version(&self) -> Version {
        self.snapshots.load().version()
    }

    fn wants_rules(&self, version: Version) -> bool {
        let (local_version, now) = (self.rules_version(), self.clock.now());
        lock(&self.rules_catchup).should_pull(local_version, version, now)
    }

    fn run(&self, attempt: Attempt) -> LocalFuture<'_, Verdict> {
        Box::pin(async move { self.runner.run(&attempt).await })
    }

    fn claim_tokens(&self, organisation: &OrganisationId, count: u32) -> (u32, u32) {
        let snapshot = self.snapshots.load();
        let rules = snapshot.rules.as_ref();
        let limit = rules.and_then(|rules| rules.limit(organisation));
        let now = self.clock.now();
        let expires = snapshot.holder.as_ref().and_then(|holder| holder.expires);
        let (Some(limit), true) = (limit, expires.is_some_and(|expires| now < expires)) else {
            return CANNOT_GRANT;
        };
        match self
            .portions()
            .grant_tokens(organisation, limit, count, now)
        {
            (granted, Some(wait)) => (granted, wait.as_millis().max(1) as u32),
            // Nothing may be spent before the shares of earlier holders are known.
            (0, None) => CANNOT_GRANT,
            (granted, None) => (granted, 1),
        }
    }

    fn rules(&self) -> Option<(Version, Bytes)> {
        let snapshot = self.snapshots.load();
        let version = snapshot.rules.as_ref()?.version;
        Some((version, snapshot.document.clone()))
    }

    fn handle_event(&self, news: LinkEvent) {
        let deferrable = match &news {
            LinkEvent::Report(report) => self.is_unchanged(report),
            LinkEvent::PortionRequest(..) | LinkEvent::PortionGrant(..) => true,
            _ => false,
        };
        let message = Message::LinkEvent(news);
        if deferrable {
            self.inbox.push(message);
        } else {
            self.inbox.push_urgent(message);
        }
    }
}

/// The requests of an interval as rates.
pub(crate) fn demand_rates(
    counts: HashMap<(RouteId, Rank), u32>,
    interval: Duration,
) -> Vec<RouteDemand> {
    let seconds = interval.as_secs_f64().max(0.001);
    let counts = counts.into_iter();
    counts
        .map(|((route, rank), count)| RouteDemand {
            route,
            rank,
            rate: (f64::from(count) / seconds) as f32,
        })
        .collect()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
