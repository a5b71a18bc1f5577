//! Metrics of a node.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use filbertwheel_core::{Failure, Verdict, broken_invariants};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

/// Upper bounds of the latency histogram's buckets in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0,
];

/// Label value for a service without backend servers.
const UNKNOWN_SERVICE: &str = "unknown";
/// Label value for requests without an organisation.
const NO_ORGANISATION: &str = "none";

/// Labels of finished requests.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// Name of the service, or `unknown`.
    pub service: String,
    /// Name of the organisation, or `none`.
    pub organisation: String,
    /// `whole`, `not-run` or `unknown`.
    pub outcome: String,
    /// Reason of the refusal or of the unknown outcome; empty for a complete response.
    pub reason: String,
}

/// Labels of the latency histogram.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LatencyLabels {
    service: String,
    organisation: String,
}

/// Metrics of a node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    calls: Family<CallLabels, Counter>,
    latency: Family<LatencyLabels, Histogram>,
    /// Retries that this node has made.
    pub retries: Counter,
    /// Calls running at the backend server.
    pub running: Gauge,
    /// Calls queued for the backend server.
    pub queued: Gauge,
    /// Version of the configuration in force.
    pub config: Gauge,
    broken: Gauge,
    /// Refused requests and unknown outcomes, for operators' queries.
    failures: Mutex<BTreeMap<CallLabels, u64>>,
}

impl Metrics {
    /// Creates metrics at zero.
    pub fn open() -> Self {
        let mut registry = Registry::with_prefix("filbertwheel");
        let calls = Family::<CallLabels, Counter>::default();
        let latency = Family::<LatencyLabels, Histogram>::new_with_constructor(|| {
            Histogram::new(LATENCY_BUCKETS)
        });
        let (retries, running, queued) = (Counter::default(), Gauge::default(), Gauge::default());
        let (config, broken) = (Gauge::default(), Gauge::default());
        registry.register("calls", "Requests finished at this node", calls.clone());
        registry.register_with_unit(
            "call_duration",
            "Time from the arrival of a request to its complete response",
            Unit::Seconds,
            latency.clone(),
        );
        registry.register("retries", "Retries made by this node", retries.clone());
        registry.register(
            "running",
            "Calls running at the backend server",
            running.clone(),
        );
        registry.register(
            "queued",
            "Calls queued for the backend server",
            queued.clone(),
        );
        registry.register(
            "config_version",
            "Version of the configuration in force",
            config.clone(),
        );
        registry.register("broken_invariants", "Invariant violations", broken.clone());
        Self {
            registry,
            calls,
            latency,
            retries,
            running,
            queued,
            config,
            broken,
            failures: Mutex::default(),
        }
    }

    /// Returns the numbers of refused requests and of unknown outcomes, by labels.
    pub fn failures(&self) -> Vec<(CallLabels, u64)> {
        let failures = self.failures.lock().unwrap_or_else(PoisonError::into_inner);
        failures
            .iter()
            .map(|(labels, count)| (labels.clone(), *count))
            .collect()
    }

    /// Records a finished request.
    pub fn count(&self, service: &str, organisation: &str, verdict: &Verdict, took: Duration) {
        let (outcome, reason) = match verdict {
            Ok(_) => ("whole", String::new()),
            Err(Failure::Refused(refusal)) => ("not-run", name(&refusal.kind)),
            Err(Failure::Unknown(unknown)) => ("unknown", name(unknown)),
        };
        let labels = CallLabels {
            service: label(service, UNKNOWN_SERVICE),
            organisation: label(organisation, NO_ORGANISATION),
            outcome: outcome.to_owned(),
            reason,
        };
        self.calls.get_or_create(&labels).inc();
        if verdict.is_ok() {
            let CallLabels {
                service,
                organisation,
                ..
            } = labels;
            let labels = LatencyLabels {
                service,
                organisation,
            };
            let latency = self.latency.get_or_create(&labels);
            latency.observe(took.as_secs_f64());
        } else {
            let mut failures = self.failures.lock().unwrap_or_else(PoisonError::into_inner);
            *failures.entry(labels).or_default() += 1;
        }
    }

    /// Encodes the metrics as OpenMetrics text.
    pub fn text(&self) -> String {
        self.broken.set(broken_invariants() as i64);
        let mut text = String::new();
        if encode(&mut text, &self.registry).is_err() {
            tracing::warn!("metrics: Encoding the metrics failed.");
        }
        text
    }
}

/// Returns a label's value, or `missing` if the name is empty.
fn label(name: &str, missing: &str) -> String {
    if name.is_empty() { missing } else { name }.to_owned()
}

impl Default for Metrics {
    fn default() -> Self {
        Self::open()
    }
}

fn name(kind: &impl serde::Serialize) -> String {
    let value = serde_json::to_value(kind).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}
