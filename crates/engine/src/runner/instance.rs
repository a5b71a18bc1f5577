//! The current instance of the local backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use filbertwheel_backend::{BackendInstance, StatusReport};
use filbertwheel_core::{InstanceId, ServiceId, Status};

use crate::notices::Life;

/// An instance of the backend server, as it was last reported.
#[derive(Debug, Clone)]
pub(super) struct Instance {
    pub server: Arc<dyn BackendInstance>,
    pub instance: InstanceId,
    pub service: ServiceId,
    pub address: SocketAddr,
    pub slots: u32,
    pub status: Status,
    pub started_ms: u64,
    pub sequence: u64,
    pub last_heard: Instant,
}

/// State of the backend server that the control thread publishes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct BackendState {
    pub service: ServiceId,
    pub slots: u32,
    pub status: Status,
}

impl Instance {
    /// Returns whether a report is about the life that it is.
    pub fn is_same_life(&self, report: &StatusReport) -> bool {
        self.instance == report.instance
            && self.address == report.address
            && (self.started_ms == report.started_ms || self.started_ms == 0)
    }

    /// Returns the state that the control thread publishes.
    pub fn backend_state(&self) -> BackendState {
        BackendState {
            service: self.service.clone(),
            slots: self.slots,
            status: self.status,
        }
    }

    /// Returns the life that it is.
    pub fn life(&self) -> Life {
        (self.instance.clone(), self.started_ms)
    }

    /// Returns whether a report is older than this state.
    pub fn is_newer_than(&self, report: &StatusReport) -> bool {
        if report.started_ms != self.started_ms && self.started_ms != 0 && report.started_ms != 0 {
            return report.started_ms < self.started_ms;
        }
        if report.instance != self.instance {
            return false;
        }
        report.sequence <= self.sequence || self.status > report.status
    }
}
