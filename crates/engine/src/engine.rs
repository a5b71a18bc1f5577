//! State that the traffic threads of a node share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use filbertwheel_backend::StatusReport;
use filbertwheel_core::{
    Attempt, Clock, InstanceId, InstanceNotice, Member, OrganisationId, Rank, Refusal, RefusalKind,
    RouteId, RouteRule, Rules, RulesStamp, ServiceId, Status, Verdict,
};
use filbertwheel_http::LocalFuture;
use filbertwheel_peer::{Link, LinkEvent, LinkHandler, NodeReport, RulesDocument};
use filbertwheel_policy::{
    BackendLoad, Departure, FairShedder, LongestTimes, PortionBuckets, RetryBudget, RetryLimits,
    RulesCatchup, TokenReceipt, WeightedRoundRobin,
};
use futures_lite::FutureExt as _;

use crate::claims::{ClaimCounts, TokenShortage};
use crate::control::Message;
use crate::departures::Departures;
use crate::inbox::Inbox;
use crate::journal::Journal;
use crate::metrics::Metrics;
use crate::runner::Runner;
use crate::snapshots::{SharedSnapshot, Snapshot};

/// Minimum pause between claims for an organisation that has no tokens left.
const MIN_CLAIM_PAUSE: Duration = Duration::from_millis(50);
/// Maximum pause between claims for an organisation that has no tokens left.
const MAX_CLAIM_PAUSE: Duration = Duration::from_millis(500);
/// Number of claims that a lease holder may leave unanswered before it counts as unresponsive.
const CLAIM_ATTEMPTS: u32 = 2;
/// Pause between claims to an unresponsive lease holder.
const HOLDER_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Minimum `retry-after` of a request over its organisation's rate limit.
const MIN_RATE_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Reply to a claim if this node can't grant tokens: none granted, and no time until the next one.
const CANNOT_GRANT: (u32, u32) = (0, 0);

/// Time within which a departure is acknowledged or not. A backend server waits for a second.
const ACKNOWLEDGEMENT_TIME: Duration = Duration::from_millis(800);

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
    portions: Mutex<PortionBuckets>,
    retry_budget: Mutex<RetryBudget>,
    shedder: Mutex<FairShedder>,
    round_robin: Mutex<WeightedRoundRobin>,
    demand: Mutex<HashMap<(RouteId, Rank), u32>>,
    /// Times from the arrival of a request that was passed on to its outcome.
    longest_times: Mutex<LongestTimes>,
    /// Time until which an organisation has no tokens left to claim.
    exhausted_until: Mutex<HashMap<OrganisationId, Instant>>,
    /// Time until which no claims are sent to the lease holder, because it did not respond.
    holder_paused_until: Mutex<Option<Instant>>,
    rules_catchup: Mutex<RulesCatchup>,
    /// Whether this node watches the store.
    pub(crate) watching: AtomicBool,
    /// Token claims of other nodes that this node has answered as the lease holder.
    pub(crate) claims: ClaimCounts,
}

/// Outcome of a token claim.
enum ClaimOutcome {
    Granted,
    /// The organisation has no tokens left.
    Exhausted,
    /// No lease holder could be reached that grants tokens.
    NoHolder,
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

    /// Returns all metrics in the text format.
    pub fn metrics_text(&self) -> String {
        self.metrics.text()
    }

    /// Records a status report of the backend server on this VM. Returns whether it may be acknowledged:
    /// a departure only once the store holds it.
    pub async fn record_status(&self, report: &StatusReport) -> bool {
        if let Some(state) = self.runner.record_status(report) {
            self.inbox.push_urgent(Message::BackendState(state));
        }
        if report.status < Status::Draining {
            return true;
        }
        let departure = Departure {
            instance: report.instance.clone(),
            until_ms: report.started_ms,
        };
        self.leave(&departure).await
    }

    /// Records that an instance of the backend server is leaving and takes no new requests.
    /// `started_ms` is the start of the life that is meant, in milliseconds since the Unix epoch, if
    /// stated. Returns whether it may be acknowledged.
    pub async fn mark_leaving(&self, instance: &InstanceId, started_ms: Option<u64>) -> bool {
        let wall = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH);
        let now_ms = wall.unwrap_or_default().as_millis() as u64;
        let departure = Departure {
            instance: instance.clone(),
            until_ms: started_ms.unwrap_or(now_ms),
        };
        self.leave(&departure).await
    }

    /// Leaves the lives that depart alone from now on, then waits until the store holds that, for as
    /// long as the backend server waits for an acknowledgement.
    async fn leave(&self, departure: &Departure) -> bool {
        self.runner.mark_leaving(departure);
        let stored = async {
            self.departures.wait_stored(departure).await;
            true
        };
        let late = async {
            self.clock.sleep(ACKNOWLEDGEMENT_TIME).await;
            tracing::warn!(
                backend = %departure.instance,
                "runner: A departure is not acknowledged, because it can't be stored in time."
            );
            self.metrics.unacknowledged.inc();
            false
        };
        stored.or(late).await
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

    /// Charges one request to an organisation's rate limit: to this node's portion, else by a claim
    /// at the lease holder, else to the emergency portion.
    pub(crate) async fn charge(
        &self,
        snapshot: &Snapshot,
        rules: &Rules,
        organisation: &OrganisationId,
        now: Instant,
    ) -> Result<Option<TokenReceipt>, (Refusal, TokenShortage)> {
        let Some(limit) = rules.limit(organisation) else {
            return Ok(None);
        };
        let wait = match self.portions().charge(organisation, limit, now) {
            Ok(receipt) => return Ok(Some(receipt)),
            Err(wait) => wait,
        };
        let shortage = match self.claim_from_holder(snapshot, organisation, now).await {
            ClaimOutcome::Granted => return Ok(None),
            ClaimOutcome::Exhausted => TokenShortage::Exhausted,
            ClaimOutcome::NoHolder => {
                let nodes = snapshot.nodes;
                let mut portions = self.portions();
                let charged = portions.charge_emergency(organisation, limit, nodes, now);
                if charged.is_ok() {
                    return Ok(None);
                }
                TokenShortage::NoHolder
            }
        };
        let after = wait.unwrap_or_default().max(MIN_RATE_RETRY_AFTER);
        Err((Refusal::retry_after(RefusalKind::OverRate, after), shortage))
    }

    /// Refunds the token of a request that did not run.
    pub(crate) fn refund(
        &self,
        organisation: &Option<OrganisationId>,
        receipt: Option<TokenReceipt>,
    ) {
        if let (Some(organisation), Some(receipt)) = (organisation, receipt) {
            self.portions().refund(organisation, receipt);
        }
    }

    /// Claims a token from the lease holder, unless the organisation is known to have none left or
    /// the lease holder did not respond lately.
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
        match self.claim_token(link, organisation).await {
            None => {
                *lock(&self.holder_paused_until) = Some(self.clock.now() + HOLDER_RETRY_PAUSE);
                tracing::warn!("engine: The lease holder does not respond to token claims.");
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

    /// Claims one token. Returns `None` if the lease holder does not respond.
    async fn claim_token(&self, link: &Link, organisation: &OrganisationId) -> Option<(u32, u32)> {
        for _ in 0..CLAIM_ATTEMPTS {
            self.metrics.claims.inc();
            let claimed = link.claim_tokens(organisation, 1).await;
            if claimed.is_some() {
                return claimed;
            }
        }
        None
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

    fn handle_event(&self, event: LinkEvent) {
        let deferrable = match &event {
            LinkEvent::Report(report) => self.is_unchanged(report),
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

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
