//! Interface to the instances of the node's backend server.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use filbertwheel_core::{Answer, Attempt, InstanceId, RequestRate, ServiceId, Status, value};

use crate::BackendError;

/// Status that a backend server reports.
#[value]
pub struct StatusReport {
    /// Id of the instance.
    pub instance: InstanceId,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Stage of its life cycle.
    pub status: Status,
    /// Wall-clock time of its start in milliseconds since the Unix epoch; 0 if not reported.
    pub started_ms: u64,
    /// Sequence number, which increases with each report of an instance.
    pub sequence: u64,
    /// How much longer it stays cold; zero if it is warm.
    pub warmup_left: Duration,
}

/// What a response says about the backend server that made it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ResponseNotice {
    /// Maximum number of requests per second that it accepts from all nodes together.
    pub limit: StatedLimit,
    /// Whether it is leaving and takes no new requests.
    pub leaving: bool,
    /// Its load when it made the response; `None` if the response states none that can be read.
    pub load: Option<StatedLoad>,
    /// How much longer it stays cold; `None` if the response doesn't say.
    pub warmup_left: Option<Duration>,
}

/// Load that a backend server states in a response.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StatedLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub queued: u32,
    /// Requests that it can run concurrently.
    pub slots: u32,
    /// How long work takes there at present, relative to the usual time, which is 1; `None` if not
    /// stated.
    pub slowness: Option<f32>,
}

/// Limit on its requests that a backend server states in a response.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum StatedLimit {
    /// The response states none, which ends an earlier one.
    #[default]
    None,
    /// Requests per second: finite and not negative.
    Rate(RequestRate),
    /// The value can't be read. An earlier limit stays in force.
    Malformed,
}

/// Outcome of sending an attempt to an instance.
#[derive(Debug)]
pub struct InstanceReply {
    /// The response, or why there is none.
    pub outcome: Result<Answer, BackendError>,
    /// What the response says about the instance; `None` without a response of this instance.
    pub notice: Option<ResponseNotice>,
}

/// Client of a backend server that runs attempts on a given instance.
#[async_trait]
pub trait BackendInstance: Debug + Send + Sync {
    /// Runs an attempt on `instance` and on no other one.
    async fn run(&self, attempt: &Attempt, instance: &InstanceId) -> InstanceReply;
}

/// Creates clients for the addresses that backend servers report.
pub trait InstanceConnector: Debug + Send + Sync {
    /// Creates a client for the backend server at `address`. Connections are opened on demand.
    fn open(&self, address: SocketAddr) -> Arc<dyn BackendInstance>;
}
