//! Metrics of a node.

use std::fmt::{self, Write as _};
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use filbertwheel_core::{Failure, RouteId, Verdict, broken_invariants};
use filbertwheel_policy::LedgerSummary;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Metric, Registry, Unit};

use crate::claims::{ClaimSummary, TokenShortage};

/// Upper bounds of the latency buckets in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0,
];

/// Labels of finished requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    /// Id of the route, or `none`.
    route: String,
    /// `whole`, `not-run` or `unknown`.
    outcome: &'static str,
    /// Kind of refusal, reason of an unknown outcome, or status class of a complete response.
    reason: String,
}

/// Upper bounds of the buckets of measured relative to expected work.
const WORK_RATIO_BUCKETS: [f64; 9] = [0.1, 0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 4.0, 8.0];

/// Labels of requests refused as over a rate limit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ShortageLabels {
    /// `exhausted` or `no-holder`.
    reason: &'static str,
}

/// Labels of calls to the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StoreLabels {
    /// `list`, `read`, `watch` or `commit`.
    operation: &'static str,
    table: &'static str,
}

/// Labels of measured work.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WorkLabels {
    route: RouteLabel,
}

/// A route as a label. Its id is cloned without copying.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct RouteLabel(RouteId);

impl EncodeLabelValue for RouteLabel {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
        EncodeLabelValue::encode(&self.0.as_str().unwrap_or_default(), encoder)
    }
}

/// Labels of latencies.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteLabels {
    route: String,
}

/// Metrics of a node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    latency: Family<RouteLabels, Histogram>,
    work_ratio: Family<WorkLabels, Histogram>,
    /// Attempts beyond the first of a request.
    pub(crate) retries: Counter,
    /// Token claims sent to the lease holder.
    pub(crate) claims: Counter,
    shortages: Family<ShortageLabels, Counter>,
    store_calls: Family<StoreLabels, Counter>,
    /// Token claims that this node has granted as the lease holder.
    claims_granted: Counter,
    /// Token claims that this node has denied as the lease holder.
    claims_denied: Counter,
    /// 1 while this node watches the store for the nodes of its failure domain, else 0.
    pub(crate) watching: Gauge,
    sum_nodes: Gauge,
    sum_age: Gauge<f64, AtomicU64>,
    lent: Gauge<f64, AtomicU64>,
    withheld: Gauge<f64, AtomicU64>,
    /// Requests that began before an earlier one of their connection was answered.
    pub(crate) overlapped: Counter,
    /// Requests refused for want of memory for their body.
    pub(crate) refused_bodies: Counter,
    /// Calls that run at the backend server.
    pub(crate) running: Gauge,
    /// Calls that wait for a slot of the backend server.
    pub(crate) queued: Gauge,
    /// Calls sent to the backend server.
    pub(crate) sent: Counter,
    /// Calls turned away because of the limit that the backend server states.
    pub(crate) over_limit: Counter,
    /// Departures of the backend server that were not acknowledged.
    pub(crate) unacknowledged: Counter,
    /// Requests per second that the backend server accepts; 0 if it states no limit.
    pub(crate) backend_limit: Gauge<f64, AtomicU64>,
    /// 1 while the backend server is cold and its calls are paced, else 0.
    pub(crate) cold: Gauge,
    /// Seconds until the backend server is warm.
    pub(crate) warmup_left: Gauge<f64, AtomicU64>,
    /// Calls turned away because the backend server is cold.
    pub(crate) held_back: Counter,
    /// Requests refused at the entry because a service warms up.
    pub(crate) shed_warming: Counter,
    /// Version of the rules in force.
    pub(crate) rules: Gauge,
    /// Epoch of the store in which the lineage of the rules in force began; 0 for the first one.
    pub(crate) rules_lineage: Gauge,
    /// Routes of a kind that this version doesn't know.
    pub(crate) unknown_kinds: Gauge,
    /// Links to other nodes that are connected.
    pub(crate) links: Gauge,
    /// Epoch of the store.
    pub(crate) store_epoch: Gauge,
    /// Failure domains that are evacuated.
    pub(crate) evacuated_domains: Gauge,
    /// 1 while this node's own failure domain is evacuated, else 0.
    pub(crate) own_domain_evacuated: Gauge,
    broken: Gauge,
}

impl Metrics {
    /// Creates all metrics, at zero.
    pub fn open() -> Self {
        let mut registry = Registry::with_prefix("filbertwheel");
        let latency = Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        registry.register_with_unit(
            "request_duration",
            "Time from the arrival of a request to its outcome",
            Unit::Seconds,
            latency.clone(),
        );
        let work_ratio = Family::new_with_constructor(work_histogram as fn() -> Histogram);
        registry.register(
            "work_ratio",
            "Measured work of a run at the backend server relative to the expected work",
            work_ratio.clone(),
        );
        let mut add = Registration(&mut registry);
        Self {
            requests: add.metric("requests", "Finished requests"),
            retries: add.metric("repeats", "Attempts beyond the first of a request"),
            claims: add.metric("claims", "Token claims sent to the lease holder"),
            store_calls: add.metric("store_calls", "Calls to the store"),
            shortages: add.metric("over_rate", "Requests refused as over a rate limit"),
            claims_granted: add
                .metric("claims_granted", "Token claims granted as the lease holder"),
            claims_denied: add.metric("claims_denied", "Token claims denied as the lease holder"),
            watching: add.metric("watching_store", "Whether this node watches the store"),
            sum_nodes: add.metric(
                "plan_nodes",
                "Nodes whose measurements the present plan is based on",
            ),
            sum_age: add.metric(
                "plan_age_seconds",
                "Mean age of the measurements that the present plan is based on",
            ),
            lent: add.metric(
                "lent_portion",
                "Largest part of a rate limit that this node has lent as the lease holder",
            ),
            withheld: add.metric(
                "withheld_portion",
                "Largest part of a rate limit that this node withholds as the lease holder",
            ),
            overlapped: add.metric(
                "overlapping_requests",
                "Requests that began before an earlier one of their connection was answered",
            ),
            refused_bodies: add.metric(
                "refused_bodies",
                "Requests refused for want of memory for their body",
            ),
            running: add.metric("running", "Calls that run at the backend server"),
            queued: add.metric("queued", "Calls that wait for a slot of the backend server"),
            sent: add.metric("backend_requests", "Calls sent to the backend server"),
            over_limit: add.metric(
                "over_backend_limit",
                "Calls turned away because of the limit that the backend server states",
            ),
            unacknowledged: add.metric(
                "unacknowledged_departures",
                "Departures of the backend server that could not be stored in time",
            ),
            backend_limit: add.metric(
                "backend_request_limit",
                "Requests per second that the backend server accepts; 0 if it states no limit",
            ),
            cold: add.metric(
                "backend_cold",
                "Whether the backend server is cold and its calls are paced",
            ),
            warmup_left: add.metric(
                "backend_warmup_left_seconds",
                "Time until the backend server is warm",
            ),
            held_back: add.metric(
                "held_back_by_warmup",
                "Calls turned away because the backend server is cold",
            ),
            shed_warming: add.metric(
                "refused_by_warmup",
                "Requests refused at the entry because a service warms up",
            ),
            rules: add.metric("rules_version", "Version of the rules in force"),
            rules_lineage: add.metric(
                "rules_lineage",
                "Epoch of the store in which the lineage of the rules in force began",
            ),
            unknown_kinds: add.metric(
                "routes_of_unknown_kind",
                "Routes of a kind that this version doesn't know",
            ),
            links: add.metric("links_up", "Links to other nodes that are connected"),
            store_epoch: add.metric("store_epoch", "Epoch of the store; each restore raises it"),
            evacuated_domains: add
                .metric("evacuated_domains", "Failure domains that are evacuated"),
            own_domain_evacuated: add.metric(
                "own_domain_evacuated",
                "Whether the failure domain of this node is evacuated",
            ),
            broken: add.metric("broken_invariants", "Invariant violations"),
            latency,
            work_ratio,
            registry,
        }
    }

    /// Records a finished request.
    pub(crate) fn record_request(&self, route: &str, verdict: &Verdict, elapsed: Duration) {
        let (outcome, reason) = match verdict {
            Ok(answer) => ("whole", format!("{}xx", answer.status / 100)),
            Err(Failure::Refused(refusal)) => ("not-run", format!("{:?}", refusal.kind)),
            Err(Failure::Unknown(reason)) => ("unknown", format!("{reason:?}")),
        };
        let labels = RequestLabels {
            route: route.to_owned(),
            outcome,
            reason,
        };
        self.requests.get_or_create(&labels).inc();
        let labels = RouteLabels {
            route: route.to_owned(),
        };
        let latency = self.latency.get_or_create(&labels);
        latency.observe(elapsed.as_secs_f64());
    }

    /// Records the work of a finished run relative to the expected work.
    pub(crate) fn record_work(&self, route: &RouteId, ratio: f64) {
        let labels = WorkLabels {
            route: RouteLabel(route.clone()),
        };
        self.work_ratio.get_or_create(&labels).observe(ratio);
    }

    /// Records a request refused as over a rate limit.
    pub(crate) fn record_shortage(&self, shortage: TokenShortage) {
        let reason = match shortage {
            TokenShortage::Exhausted => "exhausted",
            TokenShortage::NoHolder => "no-holder",
        };
        self.shortages
            .get_or_create(&ShortageLabels { reason })
            .inc();
    }

    /// Records a call to the store.
    pub(crate) fn record_store_call(&self, operation: &'static str, table: &'static str) {
        let labels = StoreLabels { operation, table };
        self.store_calls.get_or_create(&labels).inc();
    }

    /// Records which measurements a plan is based on.
    pub(crate) fn record_sums(&self, nodes: u32, age: Duration) {
        self.sum_nodes.set(nodes.into());
        self.sum_age.set(age.as_secs_f64());
    }

    /// Records the state of the rate limits at the lease holder.
    pub(crate) fn record_ledger(&self, ledger: &LedgerSummary, claims: &ClaimSummary) {
        self.claims_granted.inc_by(claims.granted);
        self.claims_denied.inc_by(claims.denied);
        self.lent.set(ledger.max_lent);
        self.withheld
            .set(ledger.max_unconfirmed + ledger.emergency_reserve);
    }

    /// Returns all metrics in the text format.
    pub fn text(&self) -> String {
        self.broken.set(broken_invariants() as i64);
        let mut text = String::new();
        if encode(&mut text, &self.registry).is_err() {
            // Writing to a string doesn't fail; a metric that can't be encoded is a bug in this
            // module.
            let _written = writeln!(text, "# the metrics can't be encoded");
        }
        text
    }
}

/// Creates metrics and registers them.
struct Registration<'a>(&'a mut Registry);

impl Registration<'_> {
    fn metric<M: Metric + Clone + Default>(&mut self, name: &str, help: &str) -> M {
        let metric = M::default();
        self.0.register(name, help, metric.clone());
        metric
    }
}

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS)
}

fn work_histogram() -> Histogram {
    Histogram::new(WORK_RATIO_BUCKETS)
}
