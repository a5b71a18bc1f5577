//! The border towards the node's own backend server.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use filbertwheel_core::{Answer, Attempt, InstanceId, ServiceId, Status, value};

use crate::BackendError;

/// What a backend server says about itself.
#[value]
pub struct StatusReport {
    /// Its present life.
    pub backend: InstanceId,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Where it stands.
    pub status: Status,
    /// Calendar time of its start in milliseconds, as it says; 0 where it doesn't.
    pub started_ms: u64,
    /// Grows with each report of one life.
    pub sequence: u64,
}

/// A backend server, as its node sees it.
#[async_trait]
pub trait BackendInstance: Debug + Send + Sync {
    /// Runs an attempt at the life `backend` of the server, and at no other one.
    async fn run(&self, attempt: &Attempt, backend: &InstanceId) -> Result<Answer, BackendError>;
}

/// Opens backend servers at the addresses that they report.
pub trait InstanceConnector: Debug + Send + Sync {
    /// The backend server at `address`. Connections are opened as they're needed.
    fn open(&self, address: SocketAddr) -> Arc<dyn BackendInstance>;
}
