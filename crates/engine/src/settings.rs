//! What a node is started with.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use filbertwheel_backend::InstanceConnector;
use filbertwheel_core::{DomainId, FleetSecret, RegionId, Rules, ServiceId, VmId, value};
use filbertwheel_platform::Store;
use filbertwheel_policy::RetryLimits;

/// What a node is started with.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Name of the VM.
    pub vm: VmId,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Service of the backend server on the VM.
    pub service: ServiceId,
    /// Where the node listens.
    pub listen: ListenAddresses,
    /// Shared by the nodes of the fleet.
    pub secret: FleetSecret,
    /// What the fleet may repeat.
    pub retries: RetryLimits,
    /// Time between two reports of the backend server.
    pub report_interval: Duration,
    /// How long a stop may take.
    pub shutdown_grace: Duration,
    /// Threads for traffic.
    pub threads: usize,
}

/// Where a node listens.
#[value]
#[derive(Copy)]
pub struct ListenAddresses {
    /// For other nodes.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// Where a node gets what it doesn't make itself.
#[derive(Debug, Clone)]
pub struct Dependencies {
    /// What lasts.
    pub store: Arc<dyn Store>,
    /// Where the rules stand in it.
    pub rules: RulesLocation,
    /// How they're read.
    pub decoder: Arc<dyn RulesDecoder>,
    /// How the backend server is reached.
    pub backends: Arc<dyn InstanceConnector>,
}

/// Where the rules stand in the store.
#[value]
#[derive(Copy)]
pub struct RulesLocation {
    /// Their table.
    pub table: &'static str,
    /// Their key in it.
    pub key: &'static str,
}

/// Reads the rules that operators wrote.
pub trait RulesDecoder: Debug + Send + Sync {
    /// Decodes a whole document.
    fn decode(&self, document: &[u8]) -> Result<Rules, RulesError>;
}

/// Why a document has no rules.
#[value]
#[derive(Display, Error)]
pub enum RulesError {
    /// It can't be parsed.
    #[display("the document can't be parsed: {detail}")]
    Malformed {
        /// What the parser said.
        detail: String,
    },
    /// A part of it can't be used.
    #[display("{field} can't be used: {requirement}")]
    InvalidValue {
        /// The part.
        field: String,
        /// What it must be.
        requirement: &'static str,
    },
}
