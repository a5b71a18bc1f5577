//! Metrics of a node.

use std::fmt::Write as _;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use filbertwheel_core::{Failure, Verdict, broken_invariants};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

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
    /// Attempts beyond the first of a request.
    pub(crate) retries: Counter,
    /// Token claims sent to the lease holder.
    pub(crate) claims: Counter,
    /// Calls that run at the backend server.
    pub(crate) running: Gauge,
    /// Calls that wait for a slot of the backend server.
    pub(crate) queued: Gauge,
    /// Calls sent to the backend server.
    pub(crate) sent: Counter,
    /// Calls turned away because of the limit that the backend server states.
    pub(crate) over_limit: Counter,
    /// Requests per second that the backend server accepts; 0 if it states no limit.
    pub(crate) backend_limit: Gauge<f64, AtomicU64>,
    /// Version of the rules in force.
    pub(crate) rules: Gauge,
    /// Links to other nodes that are connected.
    pub(crate) links: Gauge,
    broken: Gauge,
}

impl Metrics {
    /// Creates all metrics, at zero.
    pub fn open() -> Self {
        let mut registry = Registry::with_prefix("filbertwheel");
        let histogram = || Histogram::new(LATENCY_BUCKETS);
        let metrics = Self {
            requests: Family::default(),
            latency: Family::new_with_constructor(histogram),
            retries: Counter::default(),
            claims: Counter::default(),
            running: Gauge::default(),
            queued: Gauge::default(),
            sent: Counter::default(),
            over_limit: Counter::default(),
            backend_limit: Gauge::default(),
            rules: Gauge::default(),
            links: Gauge::default(),
            broken: Gauge::default(),
            registry: Registry::default(),
        };
        registry.register("requests", "Finished requests", metrics.requests.clone());
        registry.register_with_unit(
            "request_duration",
            "Time from the arrival of a request to its outcome",
            Unit::Seconds,
            metrics.latency.clone(),
        );
        registry.register(
            "repeats",
            "Attempts beyond the first of a request",
            metrics.retries.clone(),
        );
        registry.register(
            "claims",
            "Token claims sent to the lease holder",
            metrics.claims.clone(),
        );
        registry.register(
            "running",
            "Calls that run at the backend server",
            metrics.running.clone(),
        );
        registry.register(
            "queued",
            "Calls that wait for a slot of the backend server",
            metrics.queued.clone(),
        );
        registry.register(
            "backend_requests",
            "Calls sent to the backend server",
            metrics.sent.clone(),
        );
        registry.register(
            "over_backend_limit",
            "Calls turned away because of the limit that the backend server states",
            metrics.over_limit.clone(),
        );
        registry.register(
            "backend_request_limit",
            "Requests per second that the backend server accepts; 0 if it states no limit",
            metrics.backend_limit.clone(),
        );
        registry.register(
            "rules_version",
            "Version of the rules in force",
            metrics.rules.clone(),
        );
        registry.register(
            "links_up",
            "Links to other nodes that are connected",
            metrics.links.clone(),
        );
        let broken = metrics.broken.clone();
        registry.register("broken_invariants", "Invariant violations", broken);
        Self {
            registry,
            ..metrics
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
