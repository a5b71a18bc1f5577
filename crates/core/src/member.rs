//! Members of the fleet. A member is a VM with a backend server and the node beside it.

use std::net::SocketAddr;

use filbertwheel_macros::{copy_value, message};

use crate::{DomainId, Incarnation, RegionId, ServiceId, VmId};

/// Stage of a member's life cycle.
#[copy_value]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// Announced, but doesn't accept requests yet.
    Joining,
    /// Accepts requests.
    Serving,
    /// Completes the requests in flight and accepts no new ones.
    Draining,
    /// Stopped, or sent no heartbeat for too long.
    Gone,
}

/// State of a backend server and its node, as shared between nodes.
#[message]
#[derive(Eq)]
pub struct Member {
    /// The VM.
    pub vm: VmId,
    /// Incarnation of the node on the VM.
    pub incarnation: Incarnation,
    /// Region of the VM.
    pub region: RegionId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Service of the backend server; `None` until it announces itself.
    pub service: Option<ServiceId>,
    /// Address at which other nodes reach this node.
    pub address: SocketAddr,
    /// Number of requests that the backend server runs concurrently.
    pub slots: u32,
    /// Stage of the member's life cycle.
    pub status: Status,
}
