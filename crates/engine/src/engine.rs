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
const CLAIM_PAUSE: Duration = Duration::from_millis(50);
/// Longest such pause.
const LONGEST_CLAIM_PAUSE: Duration = Duration::from_millis(500);
/// How long a holder that didn't answer isn't asked again.
const MUTE_TIME: Duration = Duration::from_secs(1);
/// After what time a repeat may be within the rate, at least.
const RATE_HINT: Duration = Duration::from_millis(1_000);

/// Answer to a claim of a node that can't pay: no tokens, and nothing about when there are some.
const NO_HOLDER: (u32, u32) = (0, 0);

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
    allowance: Mutex<PortionBuckets>,
    budget: Mutex<RetryBudget>,
    shed: Mutex<FairShedder>,
    split: Mutex<WeightedRoundRobin>,
    asked: Mutex<HashMap<(RouteId, Rank), u32>>,
    /// Until when claims for an organisation are pointless.
    dry: Mutex<HashMap<OrganisationId, Instant>>,
    /// Until when the holder isn't asked, because it didn't answer.
    muted: Mutex<Option<Instant>>,
    catchup: Mutex<RulesCatchup>,
}

/// What became of a claim.
enum Claimed {
    Paid,
    /// The organisation has nothing left.
    Short,
    /// There's nobody who could pay.
    NoHolder,
}

/// What an engine is made of.
pub(crate) struct Parts {
    pub clock: Arc<dyn Clock>,
    pub snapshots: SharedSnapshot,
    pub runner: Runner,
    pub journal: Arc<Journal>,
    pub metrics: Arc<Metrics>,
    pub service: ServiceId,
    pub retries: RetryLimits,
}

impl Engine {
    pub(crate) fn open(parts: Parts) -> Self {
        Self {
            clock: parts.clock,
            snapshots: parts.snapshots,
            runner: parts.runner,
            journal: parts.journal,
            metrics: parts.metrics,
            service: parts.service,
            inbox: Inbox::open(),
            allowance: Mutex::default(),
            budget: Mutex::new(RetryBudget::open(parts.retries)),
            shed: Mutex::default(),
            split: Mutex::default(),
            asked: Mutex::default(),
            dry: Mutex::default(),
            muted: Mutex::default(),
            catchup: Mutex::default(),
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
        if let Some(standing) = self.runner.report(report) {
            self.inbox.send(Message::Standing(standing));
        }
    }

    /// Takes note that a life of the backend server leaves and takes nothing new.
    pub fn mark_leaving(&self, backend: &InstanceId) {
        if self.runner.leave(backend) {
            tracing::info!(backend = %backend, "runner: The backend server leaves.");
            self.inbox.send(Message::Left);
        }
    }

    /// Calls that run or wait here.
    pub(crate) fn in_flight(&self) -> usize {
        self.runner.in_flight()
    }

    pub(crate) fn allowance(&self) -> MutexGuard<'_, PortionBuckets> {
        lock(&self.allowance)
    }

    pub(crate) fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.budget)
    }

    pub(crate) fn shed(&self) -> MutexGuard<'_, FairShedder> {
        lock(&self.shed)
    }

    pub(crate) fn split(&self) -> MutexGuard<'_, WeightedRoundRobin> {
        lock(&self.split)
    }

    /// Takes note of a caller's request.
    pub(crate) fn note_asked(&self, path: &RouteRule, rank: Rank) {
        let mut asked = lock(&self.asked);
        *asked.entry((path.id.clone(), rank)).or_default() += 1;
    }

    /// The requests that callers sent since the last call.
    pub(crate) fn take_asked(&self) -> HashMap<(RouteId, Rank), u32> {
        std::mem::take(&mut lock(&self.asked))
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
        let wait = match self.allowance().charge(organisation, limit, now) {
            Ok(receipt) => return Ok(Some(receipt)),
            Err(wait) => wait,
        };
        let paid = match self.claim_from_holder(snapshot, organisation, now).await {
            Claimed::Paid => return Ok(None),
            Claimed::Short => false,
            Claimed::NoHolder => {
                let nodes = snapshot.nodes;
                let mut allowance = self.allowance();
                let charged = allowance.charge_emergency(organisation, limit, nodes, now);
                charged.is_ok()
            }
        };
        if paid {
            return Ok(None);
        }
        let after = wait.unwrap_or_default().max(RATE_HINT);
        Err(Refusal::retry_after(RefusalKind::OverRate, after))
    }

    /// Gives back what a request was charged that didn't run.
    pub(crate) fn refund(
        &self,
        organisation: &Option<OrganisationId>,
        receipt: Option<TokenReceipt>,
    ) {
        if let (Some(organisation), Some(receipt)) = (organisation, receipt) {
            self.allowance().refund(organisation, receipt);
        }
    }

    /// Claims a token from the holder, unless it said lately that there are none.
    async fn claim_from_holder(
        &self,
        snapshot: &Snapshot,
        organisation: &OrganisationId,
        now: Instant,
    ) -> Claimed {
        let Some(holder) = &snapshot.holder else {
            return Claimed::NoHolder;
        };
        let Some(link) = &holder.link else {
            let pays = holder.until.is_some_and(|until| now < until);
            return if pays {
                Claimed::Short
            } else {
                Claimed::NoHolder
            };
        };
        let muted = lock(&self.muted).is_some_and(|until| now < until);
        if !link.is_up() || muted {
            return Claimed::NoHolder;
        }
        let dry = lock(&self.dry).get(organisation).copied();
        if dry.is_some_and(|until| now < until) {
            return Claimed::Short;
        }
        self.metrics.claims.inc();
        match link.claim_tokens(organisation, 1).await {
            None => {
                *lock(&self.muted) = Some(self.clock.now() + MUTE_TIME);
                tracing::warn!("engine: The holder of the rates does not answer.");
                Claimed::NoHolder
            }
            Some((0, 0)) => Claimed::NoHolder,
            Some((0, after_ms)) => {
                let pause = Duration::from_millis(after_ms.into());
                let pause = pause.clamp(CLAIM_PAUSE, LONGEST_CLAIM_PAUSE);
                lock(&self.dry).insert(organisation.clone(), now + pause);
                Claimed::Short
            }
            Some(_) => Claimed::Paid,
        }
    }

    /// Whether a report says nothing that control has to act on at once.
    fn is_routine(&self, report: &NodeReport) -> bool {
        let snapshot = self.snapshots.load();
        let service = report.member.service.as_ref();
        let peers = service.and_then(|service| snapshot.services.get(service));
        let mut known = peers.into_iter().flatten();
        known.any(|peer| peer.member == report.member)
    }
}

impl LinkHandler for Engine {
    fn local_member(&self) -> Member {
        self.snapshots.load().me.clone()
    }

    fn load(&self) -> BackendLoad {
        self.runner.load()
    }

    fn rules_version(&self) -> Version {
        self.snapshots.load().version()
    }

    fn wants_rules(&self, version: Version) -> bool {
        let (own, now) = (self.rules_version(), self.clock.now());
        lock(&self.catchup).should_pull(own, version, now)
    }

    fn run(&self, attempt: Attempt) -> LocalFuture<'_, Verdict> {
        Box::pin(async move { self.runner.run(&attempt).await })
    }

    fn claim_tokens(&self, organisation: &OrganisationId, count: u32) -> (u32, u32) {
        let snapshot = self.snapshots.load();
        let rules = snapshot.rules.as_ref();
        let limit = rules.and_then(|rules| rules.limit(organisation));
        let now = self.clock.now();
        let until = snapshot.holder.as_ref().and_then(|holder| holder.until);
        let (Some(limit), true) = (limit, until.is_some_and(|until| now < until)) else {
            return NO_HOLDER;
        };
        match self
            .allowance()
            .grant_tokens(organisation, limit, count, now)
        {
            (paid, Some(wait)) => (paid, wait.as_millis().max(1) as u32),
            // Nothing may be spent before the shares of earlier holders are known.
            (0, None) => NO_HOLDER,
            (paid, None) => (paid, 1),
        }
    }

    fn rules(&self) -> Option<(Version, Bytes)> {
        let snapshot = self.snapshots.load();
        let version = snapshot.rules.as_ref()?.version;
        Some((version, snapshot.document.clone()))
    }

    fn handle_event(&self, news: LinkEvent) {
        let routine = match &news {
            LinkEvent::Report(report) => self.is_routine(report),
            LinkEvent::PortionRequest(..) | LinkEvent::PortionGrant(..) => true,
            _ => false,
        };
        let message = Message::LinkEvent(news);
        if routine {
            self.inbox.leave(message);
        } else {
            self.inbox.send(message);
        }
    }
}

/// The requests of an interval as rates.
pub(crate) fn rates(counts: HashMap<(RouteId, Rank), u32>, interval: Duration) -> Vec<RouteDemand> {
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
