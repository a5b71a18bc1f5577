//! Members of the fleet: VMs with a backend server and its node.

use std::net::SocketAddr;

use filbertwheel_macros::{copy_value, message};

use crate::{DomainId, Incarnation, RegionId, ServiceId, VmId};

/// Where a member stands between its start and its end.
#[copy_value]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// Announced, but takes no work yet.
    Joining,
    /// Takes work.
    Serving,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Ended, or silent for too long.
    Gone,
}

/// A backend server and the node beside it.
#[message]
#[derive(Eq)]
pub struct Member {
    /// Name of its VM.
    pub vm: VmId,
    /// Run of the node on that VM.
    pub incarnation: Incarnation,
    /// Region of the VM.
    pub region: RegionId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Service of the backend server, once it has announced itself.
    pub service: Option<ServiceId>,
    /// Address at which other nodes reach the node.
    pub address: SocketAddr,
    /// Requests that the backend server runs at once.
    pub slots: u32,
    /// Where it stands.
    pub status: Status,
}
