//! State that the traffic threads of a node share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use filbertwheel_core::{
    Attempt, Clock, InstanceNotice, Member, OrganisationId, Rank, RouteId, RouteRule, Rules,
    RulesStamp, ServiceId, Verdict,
};
use filbertwheel_http::{LocalFuture, ShutdownSignal};
use filbertwheel_peer::{CallState, LinkEvent, LinkHandler, NodeReport, RulesDocument};
use filbertwheel_policy::{
    BackendLoad, EvacuationReport, FairShedder, LongestTimes, Placement, PortionBuckets,
    RetryBudget, RetryLimits, RulesCatchup, WeightedRoundRobin,
};

use crate::claims::ClaimCounts;
use crate::control::Message;
use crate::departures::Departures;
use crate::inbox::Inbox;
use crate::journal::Journal;
use crate::metrics::Metrics;
use crate::runner::Runner;
use crate::snapshots::SharedSnapshot;

/// Reply to a claim if this node can't grant tokens: none granted, and no time until the next one.
const CANNOT_GRANT: (u32, u32) = (0, 0);

/// State that the traffic threads of a node share.
#[derive(Debug)]
pub struct Engine {
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) snapshots: SharedSnapshot,
    pub(crate) runner: Runner,
    pub(crate) departures: Arc<Departures>,
    pub(crate) journal: Arc<Journal>,
    pub(crate) metrics: Arc<Metrics>,
    /// Service of the backend server on this VM.
    pub(crate) service: ServiceId,
    pub(crate) inbox: Arc<Inbox>,
    /// How the backend server of a call is chosen.
    pub(crate) placement: Arc<dyn Placement>,
    /// Triggered shortly before this node closes its connections.
    pub(crate) ending: ShutdownSignal,
    portions: Mutex<PortionBuckets>,
    retry_budget: Mutex<RetryBudget>,
    shedder: Mutex<FairShedder>,
    round_robin: Mutex<WeightedRoundRobin>,
    demand: Mutex<HashMap<(RouteId, Rank), u32>>,
    /// Times from the arrival of a request that was passed on to its outcome.
    longest_times: Mutex<LongestTimes>,
    /// Time until which an organisation has no tokens left to claim.
    pub(crate) exhausted_until: Mutex<HashMap<OrganisationId, Instant>>,
    /// Time until which no claims are sent to the lease holder, because it did not respond.
    pub(crate) holder_paused_until: Mutex<Option<Instant>>,
    rules_catchup: Mutex<RulesCatchup>,
    /// Whether this node watches the store.
    pub(crate) watching: AtomicBool,
    /// Token claims of other nodes that this node has answered as the lease holder.
    pub(crate) claims: ClaimCounts,
}

/// Parts that an engine is built from.
pub(crate) struct EngineParts {
    pub clock: Arc<dyn Clock>,
    pub snapshots: SharedSnapshot,
    pub runner: Runner,
    pub departures: Arc<Departures>,
    pub inbox: Arc<Inbox>,
    pub journal: Arc<Journal>,
    pub metrics: Arc<Metrics>,
    pub service: ServiceId,
    pub retries: RetryLimits,
    pub placement: Arc<dyn Placement>,
    pub ending: ShutdownSignal,
}

impl Engine {
    pub(crate) fn open(parts: EngineParts) -> Self {
        Self {
            clock: parts.clock,
            snapshots: parts.snapshots,
            runner: parts.runner,
            departures: parts.departures,
            journal: parts.journal,
            metrics: parts.metrics,
            service: parts.service,
            placement: parts.placement,
            ending: parts.ending,
            inbox: parts.inbox,
            portions: Mutex::default(),
            retry_budget: Mutex::new(RetryBudget::open(parts.retries)),
            shedder: Mutex::default(),
            round_robin: Mutex::default(),
            demand: Mutex::default(),
            longest_times: Mutex::default(),
            exhausted_until: Mutex::default(),
            holder_paused_until: Mutex::default(),
            rules_catchup: Mutex::default(),
            watching: AtomicBool::new(false),
            claims: ClaimCounts::default(),
        }
    }

    /// Returns whether this node is ready for callers' requests.
    pub fn is_ready(&self) -> bool {
        self.snapshots.load().is_ready()
    }

    /// Returns the rules in force, if any are known yet.
    pub fn rules(&self) -> Option<Arc<Rules>> {
        self.snapshots.load().rules.clone()
    }

    /// Returns whether a request to a host and path may run more than once.
    pub fn is_idempotent(&self, host: &[u8], path: &[u8]) -> bool {
        let snapshot = self.snapshots.load();
        let rules = snapshot.rules.as_ref();
        let route = rules.and_then(|rules| rules.route(host, path));
        route.is_some_and(|route| route.idempotent)
    }

    /// Records that a request has begun before an earlier one of its connection was answered.
    pub fn record_overlap(&self) {
        self.metrics.overlapped.inc();
    }

    /// Records that a request was refused for want of memory for its body.
    pub fn record_refused_body(&self) {
        self.metrics.refused_bodies.inc();
    }

    /// Returns all metrics in the text format.
    pub fn metrics_text(&self) -> String {
        self.metrics.text()
    }

    /// Returns whether to request rules with a stamp from another node that has them.
    pub(crate) fn wants_newer_rules(&self, stamp: RulesStamp) -> bool {
        LinkHandler::wants_rules(self, stamp)
    }

    /// Returns the number of calls that run or wait at this node.
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

    pub(crate) fn longest_times(&self) -> MutexGuard<'_, LongestTimes> {
        lock(&self.longest_times)
    }

    /// Counts a caller's request as demand.
    pub(crate) fn record_demand(&self, rule: &RouteRule, rank: Rank) {
        let mut demand = lock(&self.demand);
        *demand.entry((rule.id.clone(), rank)).or_default() += 1;
    }

    /// Returns the number of callers' requests since the last call of this function.
    pub(crate) fn take_demand(&self) -> HashMap<(RouteId, Rank), u32> {
        std::mem::take(&mut lock(&self.demand))
    }

    /// Returns whether the reporting node is already published as it describes itself, so that the
    /// control thread need not act on the report at once.
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

    fn notice(&self) -> Option<InstanceNotice> {
        self.runner.notice()
    }

    fn learn_notice(&self, notice: InstanceNotice) {
        self.runner.learn_notice(notice);
    }

    fn rules_stamp(&self) -> RulesStamp {
        self.snapshots.load().document.stamp
    }

    fn wants_rules(&self, stamp: RulesStamp) -> bool {
        let (own, now) = (self.rules_stamp(), self.clock.now());
        let watching = self.watching.load(Ordering::Relaxed);
        lock(&self.rules_catchup).should_pull(own, stamp, watching, now)
    }

    fn run(&self, attempt: Attempt, state: CallState) -> LocalFuture<'_, Verdict> {
        Box::pin(async move { self.runner.run(&attempt, &state).await })
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
        let granted = self
            .portions()
            .grant_tokens(organisation, limit, count, now);
        self.claims.record(organisation, granted.0 > 0);
        match granted {
            (granted, Some(wait)) => (granted, wait.as_millis().max(1) as u32),
            // No tokens may be granted before the portions of earlier lease holders are known.
            (0, None) => CANNOT_GRANT,
            (granted, None) => (granted, 1),
        }
    }

    fn rules(&self) -> Option<RulesDocument> {
        let snapshot = self.snapshots.load();
        snapshot.rules.as_ref()?;
        Some(snapshot.document.clone())
    }

    fn evacuations(&self) -> EvacuationReport {
        self.snapshots
            .load()
            .known_evacuations
            .report(self.clock.now())
    }

    fn handle_event(&self, event: LinkEvent) {
        let deferrable = match &event {
            LinkEvent::Report(report, _) => self.is_unchanged(report),
            LinkEvent::PortionRequest(..) | LinkEvent::PortionGrant(..) | LinkEvent::Sums(_) => {
                true
            }
            _ => false,
        };
        let message = Message::LinkEvent(event);
        if deferrable {
            self.inbox.push(message);
        } else {
            self.inbox.push_urgent(message);
        }
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
