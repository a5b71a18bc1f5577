//! Settings of a node.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use filbertwheel_core::{
    DomainId, FleetSecret, InvalidValue, LogFormat, RegionId, SettingsError, Text, VmId,
    load_settings, settings,
};

/// Smallest number of bytes of a secret.
const MIN_SECRET_BYTES: usize = 16;
/// Rule for the length of secrets.
const SECRET_LENGTH_RULE: &str = "must have at least 16 bytes";

/// Settings of a node, as its TOML file gives them.
#[settings]
pub struct NodeSettings {
    /// Name of the VM.
    pub vm: VmId,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where the node listens.
    pub listen: ListenSettings,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// Secrets that the fleet and its operators share.
    pub secrets: SecretSettings,
    /// How the node runs.
    #[serde(default)]
    pub run: RunSettings,
}

/// Where a node listens.
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
    /// Address that other nodes are told, if it isn't the one for them above.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
}

/// Where the platform's services are.
#[settings]
#[derive(Copy)]
pub struct PlatformSettings {
    /// The table service.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
}

/// Secrets that are shared.
#[settings]
pub struct SecretSettings {
    /// Among the nodes of the fleet.
    fleet: Text,
    /// Between nodes and operators.
    operator: Text,
}

/// How a node runs.
#[settings]
#[serde(default)]
pub struct RunSettings {
    /// Threads for traffic.
    pub threads: usize,
    /// Milliseconds between beats.
    pub beat_ms: u64,
    /// Largest body in bytes.
    pub body_limit: usize,
    /// How log lines are written.
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
    /// The secret of the fleet.
    pub fn fleet(&self) -> FleetSecret {
        FleetSecret::new(self.fleet.clone())
    }

    /// The secret of the operators.
    pub fn operator(&self) -> FleetSecret {
        FleetSecret::new(self.operator.clone())
    }
}

impl RunSettings {
    /// Time between beats.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.beat_ms)
    }
}
