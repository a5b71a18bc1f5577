//! Settings: service-level objectives and alert windows in TOML.

use std::path::Path;
use std::time::Duration;

use filbertwheel_core::{
    InvalidValue, OrganisationId, ServiceId, SettingsError, Text, load_settings, settings,
};
use serde::Serialize;

/// Objectives, budget period and alert windows.
#[settings]
pub struct BurnSettings {
    /// Budget period in seconds.
    #[serde(default = "default_budget_s")]
    pub budget_s: u64,
    /// The objectives.
    pub objective: Vec<Objective>,
    /// Pairs of windows that alert; three standard pairs by default.
    #[serde(default = "default_windows")]
    pub window: Vec<Window>,
}

/// One service-level objective.
#[settings]
pub struct Objective {
    /// Name in the report.
    pub name: Text,
    /// The service.
    pub service: ServiceId,
    /// The organisation; all organisations if absent.
    #[serde(default)]
    pub organisation: Option<OrganisationId>,
    /// What the objective measures.
    pub kind: ObjectiveKind,
    /// Fraction of calls that must meet the objective, between 0 and 1.
    pub target: f64,
    /// Maximum duration in milliseconds of a complete response that meets the objective; for
    /// latency only.
    #[serde(default)]
    pub threshold_ms: Option<u64>,
}

/// What an objective measures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ObjectiveKind {
    /// Fraction of calls with a complete response, without calls that were refused through the
    /// caller's fault.
    Availability,
    /// Fraction of complete responses within the threshold.
    Latency,
}

/// A long and a short window, which alert when both exceed a burn rate. The long window shows that
/// the burn is significant, the short one that it continues.
#[settings]
pub struct Window {
    /// Name of the alert.
    pub name: Text,
    /// Length of the long window in seconds.
    pub long_s: u64,
    /// Length of the short window in seconds.
    pub short_s: u64,
    /// Burn rate that both windows must exceed to alert.
    pub burn: f64,
}

impl BurnSettings {
    /// Reads and validates a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        load_settings(path, Self::invalid_values)
    }

    /// Returns the budget period.
    pub fn budget(&self) -> Duration {
        Duration::from_secs(self.budget_s)
    }

    fn invalid_values(&self) -> Vec<InvalidValue> {
        let objectives = self.objective.iter().enumerate();
        let windows = self.window.iter().enumerate();
        objectives
            .flat_map(|(index, objective)| objective.invalid_values(index))
            .chain(windows.flat_map(|(index, window)| window.invalid_values(index)))
            .chain(
                (self.budget_s == 0)
                    .then(|| invalid_value("budget_s".to_owned(), "must be positive")),
            )
            .collect()
    }
}

impl Objective {
    fn invalid_values(&self, index: usize) -> Vec<InvalidValue> {
        let bad_target = !(self.target > 0.0 && self.target < 1.0);
        let missing_threshold =
            self.kind == ObjectiveKind::Latency && self.threshold_ms.is_none_or(|ms| ms == 0);
        let unused_threshold = self.kind != ObjectiveKind::Latency && self.threshold_ms.is_some();
        check_rules(
            &format!("objective.{index}"),
            &[
                (bad_target, "target", "must be above 0 and below 1"),
                (
                    missing_threshold,
                    "threshold_ms",
                    "must be positive for latency",
                ),
                (unused_threshold, "threshold_ms", "is for latency only"),
            ],
        )
    }
}

impl Window {
    fn invalid_values(&self, index: usize) -> Vec<InvalidValue> {
        let bad_length = self.short_s == 0 || self.short_s >= self.long_s;
        let bad_burn = !(self.burn > 0.0 && self.burn.is_finite());
        check_rules(
            &format!("window.{index}"),
            &[
                (bad_length, "short_s", "must be positive and below long_s"),
                (bad_burn, "burn", "must be positive"),
            ],
        )
    }
}

fn check_rules(path: &str, rules: &[(bool, &str, &'static str)]) -> Vec<InvalidValue> {
    let broken = rules.iter().filter(|(broken, ..)| *broken);
    broken
        .map(|(_, key, rule)| invalid_value(format!("{path}.{key}"), rule))
        .collect()
}

fn invalid_value(key: String, requirement: &'static str) -> InvalidValue {
    InvalidValue { key, requirement }
}

/// Returns the default budget period of 30 days, in seconds.
fn default_budget_s() -> u64 {
    30 * 24 * 60 * 60
}

/// Returns the usual pairs for a period of 30 days, which alert after 2%, 5% and 10% of the budget
/// are spent within the long window.
fn default_windows() -> Vec<Window> {
    let window = |name, long_s, short_s, burn| Window {
        name: Text::from_static(name),
        long_s,
        short_s,
        burn,
    };
    vec![
        window("page", 60 * 60, 5 * 60, 14.4),
        window("page slowly", 6 * 60 * 60, 30 * 60, 6.0),
        window("ticket", 3 * 24 * 60 * 60, 6 * 60 * 60, 1.0),
    ]
}
