//! Disturbances of the fleet during a run.

use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use filbertwheel_core::copy_value;

use super::profile::DOMAINS;

/// Length of a run.
pub const RUN_LENGTH: Duration = Duration::from_secs(60);
/// Start of the disturbance.
pub const DISTURBANCE_START: Duration = Duration::from_secs(20);
/// End of the disturbance.
pub const DISTURBANCE_END: Duration = Duration::from_secs(40);
/// Demand outside the disturbance, as a part of capacity.
pub const STEADY_UTILISATION: f64 = 0.7;

/// Service time factor of a slow service.
const SLOW_SLOWDOWN: f64 = 10.0;
/// Factor on the demand of the greedy organisation.
const GREEDY_FACTOR: f64 = 8.0;
/// Service time factor of a backend server immediately after its start.
const COLD_SLOWDOWN: f64 = 5.0;
/// Time until a cold backend server reaches its normal speed.
const WARM_UP: Duration = Duration::from_secs(10);
/// Part of its announced slots that a misleading backend server can use.
const USABLE_SLOT_PART: f64 = 0.5;

/// A kind of disturbance.
#[copy_value]
#[derive(Display)]
pub enum Situation {
    /// No disturbance.
    #[display("steady")]
    Steady,
    /// Demand doubles.
    #[display("surge2")]
    Surge2,
    /// Demand is five times as high.
    #[display("surge5")]
    Surge5,
    /// The deepest service is slow.
    #[display("slow")]
    Slow,
    /// One organisation sends a multiple of its usual demand.
    #[display("greedy")]
    Greedy,
    /// Demand doubles, and callers retry aggressively.
    #[display("retries")]
    Retries,
    /// Backend servers of one domain can use only half of the slots that they announce.
    #[display("mislead")]
    Mislead,
    /// Backend servers of one domain are replaced by cold ones.
    #[display("cold")]
    Cold,
    /// All backend servers of one domain fail.
    #[display("lost")]
    Lost,
}

/// The name of a situation is unknown.
#[copy_value]
#[derive(Display, Error)]
#[display(
    "unknown situation; expected steady, surge2, surge5, slow, greedy, retries, mislead, cold or lost"
)]
pub struct UnknownSituation;

impl FromStr for Situation {
    type Err = UnknownSituation;

    fn from_str(text: &str) -> Result<Self, UnknownSituation> {
        let all = Self::ALL.into_iter();
        let found = all.clone().find(|situation| situation.to_string() == text);
        found.ok_or(UnknownSituation)
    }
}

impl Situation {
    /// All situations.
    pub const ALL: [Self; 9] = [
        Self::Steady,
        Self::Surge2,
        Self::Surge5,
        Self::Slow,
        Self::Greedy,
        Self::Retries,
        Self::Mislead,
        Self::Cold,
        Self::Lost,
    ];

    /// Returns the factor on demand. `greedy` selects the demand of the greedy organisation.
    pub fn demand_factor(self, at: Duration, greedy: bool) -> f64 {
        match self {
            _ if !is_disturbed(at) => 1.0,
            Self::Surge2 | Self::Retries => 2.0,
            Self::Surge5 => 5.0,
            Self::Greedy if greedy => GREEDY_FACTOR,
            _ => 1.0,
        }
    }

    /// Returns the factor on the organisations' rate limits, so that the limits admit a surge.
    pub fn limit_factor(self) -> f64 {
        match self {
            Self::Surge2 | Self::Retries => 2.0,
            Self::Surge5 => 5.0,
            _ => 1.0,
        }
    }

    /// Returns the factor on service times.
    pub fn slowness(self, at: Duration, deepest: bool, first_domain: bool) -> f64 {
        match self {
            Self::Slow if deepest && is_disturbed(at) => SLOW_SLOWDOWN,
            Self::Cold if first_domain && at >= DISTURBANCE_START => {
                let warmth = (at - DISTURBANCE_START).as_secs_f64() / WARM_UP.as_secs_f64();
                1.0 + (COLD_SLOWDOWN - 1.0) * (1.0 - warmth).max(0.0)
            }
            _ => 1.0,
        }
    }

    /// Returns the slots that a backend server can use.
    pub fn usable_slots(self, slots: u32, at: Duration, first_domain: bool) -> f64 {
        let misled = self == Self::Mislead && first_domain && is_disturbed(at);
        f64::from(slots) * if misled { USABLE_SLOT_PART } else { 1.0 }
    }

    /// Returns the part of the backend servers that are available.
    pub fn available_part(self, at: Duration) -> f64 {
        let lost = self == Self::Lost && is_disturbed(at);
        if lost {
            1.0 - 1.0 / DOMAINS as f64
        } else {
            1.0
        }
    }

    /// Returns whether callers retry aggressively.
    pub fn aggressive_retries(self) -> bool {
        self == Self::Retries
    }
}

/// Returns whether the disturbance is in progress at `at`.
pub fn is_disturbed(at: Duration) -> bool {
    (DISTURBANCE_START..DISTURBANCE_END).contains(&at)
}
