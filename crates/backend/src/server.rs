//! Interface to the instances of the node's backend server.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use filbertwheel_core::{Answer, Attempt, InstanceId, ServiceId, Status, value};

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
}

/// Client of a backend server that runs attempts on a given instance.
#[async_trait]
pub trait BackendInstance: Debug + Send + Sync {
    /// Runs an attempt on `instance` and on no other one.
    async fn run(&self, attempt: &Attempt, instance: &InstanceId) -> Result<Answer, BackendError>;
}

/// Creates clients for the addresses that backend servers report.
pub trait InstanceConnector: Debug + Send + Sync {
    /// Creates a client for the backend server at `address`. Connections are opened on demand.
    fn open(&self, address: SocketAddr) -> Arc<dyn BackendInstance>;
}
