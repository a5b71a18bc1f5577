//! Settings of a node.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use filbertwheel_core::{
    DomainId, FleetSecret, InvalidValue, LogFormat, RegionId, SettingsError, Text, VmId,
    load_settings, settings,
};

/// Minimum length of a secret in bytes.
const MIN_SECRET_BYTES: usize = 16;
/// Requirement on the length of secrets, as shown in error messages.
const SECRET_LENGTH_RULE: &str = "must have at least 16 bytes";

/// Settings of a node, as read from its TOML file.
#[settings]
pub struct NodeSettings {
    /// Name of the VM.
    pub vm: VmId,
    /// Region of the VM.
    pub region: RegionId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Addresses that the node listens on.
    pub listen: ListenSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Secrets that the fleet and its operators share.
    pub secrets: SecretSettings,
    /// How the node runs.
    #[serde(default)]
    pub run: RunSettings,
}

/// Addresses that a node listens on.
#[settings]
#[derive(Copy)]
pub struct ListenSettings {
    /// For callers.
    pub front: SocketAddr,
    /// For the node's own backend server.
    pub local: SocketAddr,
    /// For other nodes.
    pub peer: SocketAddr,
    /// For operators, metrics and health.
    pub operator: SocketAddr,
    /// Address at which other nodes reach this one, if it differs from `peer`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
}

/// Addresses of the platform's services.
#[settings]
#[derive(Copy)]
pub struct PlatformSettings {
    /// The table service.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
}

/// Shared secrets.
#[settings]
pub struct SecretSettings {
    /// Secret shared by the nodes of the fleet.
    fleet: Text,
    /// Secret shared by nodes and operators.
    operator: Text,
}

/// How a node runs.
#[settings]
#[serde(default)]
pub struct RunSettings {
    /// Number of traffic threads.
    pub threads: usize,
    /// Interval of heartbeats in milliseconds.
    pub beat_ms: u64,
    /// Maximum size of a request or response body in bytes.
    pub body_limit: usize,
    /// Format of log lines.
    pub log: LogFormat,
}

impl Default for RunSettings {
    fn default() -> Self {
        Self {
            threads: 2,
            beat_ms: 500,
            body_limit: 8 * 1024 * 1024,
            log: LogFormat::Text,
        }
    }
}

impl NodeSettings {
    /// Reads and checks the settings in a file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        load_settings(path, Self::invalid_values)
    }

    fn invalid_values(&self) -> Vec<InvalidValue> {
        let (run, secrets) = (&self.run, &self.secrets);
        let short = |secret: &Text| secret.as_bytes().len() < MIN_SECRET_BYTES;
        let rules = [
            (self.vm.is_empty(), "vm", "must not be empty"),
            (self.region.is_empty(), "region", "must not be empty"),
            (self.domain.is_empty(), "domain", "must not be empty"),
            (
                !(1..=64).contains(&run.threads),
                "run.threads",
                "must be from 1 to 64",
            ),
            (
                !(100..=2_000).contains(&run.beat_ms),
                "run.beat_ms",
                "must be from 100 to 2000",
            ),
            (run.body_limit == 0, "run.body_limit", "must be positive"),
            (short(&secrets.fleet), "secrets.fleet", SECRET_LENGTH_RULE),
            (
                short(&secrets.operator),
                "secrets.operator",
                SECRET_LENGTH_RULE,
            ),
            (
                secrets.fleet == secrets.operator,
                "secrets.operator",
                "must differ from secrets.fleet",
            ),
        ];
        let broken = rules.into_iter().filter(|(broken, ..)| *broken);
        broken
            .map(|(_, key, requirement)| InvalidValue {
                key: key.to_owned(),
                requirement,
            })
            .collect()
    }
}

impl SecretSettings {
    /// Returns the fleet's secret.
    pub fn fleet(&self) -> FleetSecret {
        FleetSecret::new(self.fleet.clone())
    }

    /// Returns the operators' secret.
    pub fn operator(&self) -> FleetSecret {
        FleetSecret::new(self.operator.clone())
    }
}

impl RunSettings {
    /// Returns the interval of heartbeats.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.beat_ms)
    }
}
