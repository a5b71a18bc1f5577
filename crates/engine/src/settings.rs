//! Settings and dependencies of a node.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use filbertwheel_backend::InstanceConnector;
use filbertwheel_core::{DomainId, FleetSecret, RegionId, Rules, ServiceId, VmId, value};
use filbertwheel_platform::Store;
use filbertwheel_policy::RetryLimits;

/// Settings of a node.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Name of the VM.
    pub vm: VmId,
    /// Region of the VM.
    pub region: RegionId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Service of the backend server on the VM.
    pub service: ServiceId,
    /// Addresses that the node listens on.
    pub listen: ListenAddresses,
    /// Secret shared by the nodes of the fleet.
    pub secret: FleetSecret,
    /// Limits of retries over the fleet.
    pub retries: RetryLimits,
    /// Whether calls are placed and queued by their expected work rather than by their number.
    pub by_cost: bool,
    /// Interval between status reports of the backend server.
    pub report_interval: Duration,
    /// Maximum duration of a graceful shutdown.
    pub shutdown_grace: Duration,
    /// Number of traffic threads.
    pub threads: usize,
}

/// Addresses that a node listens on.
#[value]
#[derive(Copy)]
pub struct ListenAddresses {
    /// Address for links from other nodes.
    pub peers: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
}

/// External dependencies of a node.
#[derive(Debug, Clone)]
pub struct Dependencies {
    /// The transactional table store.
    pub store: Arc<dyn Store>,
    /// Location of the rules in the store.
    pub operators: OperatorTable,
    /// Decoder of the rules.
    pub decoder: Arc<dyn RulesDecoder>,
    /// Connector to instances of the backend server.
    pub backends: Arc<dyn InstanceConnector>,
}

/// Location of what operators write in the store: the rules, and which failure domains are evacuated.
#[value]
#[derive(Copy)]
pub struct OperatorTable {
    /// Name of the table.
    pub table: &'static str,
    /// Key of the row with the rules.
    pub rules_key: &'static str,
    /// Beginning of the keys of rows that evacuate a failure domain, whose name follows.
    pub evacuation_prefix: &'static str,
}

/// Decodes the rules that operators write.
pub trait RulesDecoder: Debug + Send + Sync {
    /// Decodes a complete document.
    fn decode(&self, document: &[u8]) -> Result<Rules, RulesError>;
}

/// Reason why a document is rejected as rules.
#[value]
#[derive(Display, Error)]
pub enum RulesError {
    /// The document can't be parsed.
    #[display("the document can't be parsed: {detail}")]
    Malformed {
        /// Error of the parser.
        detail: String,
    },
    /// A field has an invalid value.
    #[display("invalid value of {field}: {requirement}")]
    InvalidValue {
        /// Name of the field.
        field: String,
        /// Requirement on its value.
        requirement: &'static str,
    },
}
