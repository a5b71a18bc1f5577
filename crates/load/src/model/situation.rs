//! What happens to the fleet during a run.

use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use filbertwheel_core::copy_value;

use super::profile::DOMAINS;

/// Length of a run.
pub const RUN_LENGTH: Duration = Duration::from_secs(60);
/// When the cause of the overload begins.
pub const DISTURBANCE_START: Duration = Duration::from_secs(20);
/// When it ends.
pub const DISTURBANCE_END: Duration = Duration::from_secs(40);
/// Demand before and after, as a part of capacity.
pub const STEADY_UTILISATION: f64 = 0.7;

/// How many times slower a slow service is.
const SLOW_SLOWDOWN: f64 = 10.0;
/// How many times its rate the greedy organisation sends.
const GREEDY_FACTOR: f64 = 8.0;
/// How many times slower a backend server is right after its start.
const COLD_SLOWDOWN: f64 = 5.0;
/// How long a backend server takes to warm up.
const WARM_UP: Duration = Duration::from_secs(10);
/// Part of its announced slots that a misleading backend server really has.
const USABLE_SLOT_PART: f64 = 0.5;

/// A situation.
#[copy_value]
#[derive(Display)]
pub enum Situation {
    /// Nothing happens.
    #[display("steady")]
    Steady,
    /// Demand doubles.
    #[display("surge2")]
    Surge2,
    /// Demand grows to five times.
    #[display("surge5")]
    Surge5,
    /// The deepest service is slow.
    #[display("slow")]
    Slow,
    /// One organisation sends a multiple of its rate.
    #[display("greedy")]
    Greedy,
    /// Demand doubles, and callers retry hard.
    #[display("retries")]
    Retries,
    /// Backend servers of one domain have half of the slots that they announce, and report idle.
    #[display("mislead")]
    Mislead,
    /// Backend servers of one domain are replaced by cold ones.
    #[display("cold")]
    Cold,
    /// A failure domain is lost.
    #[display("lost")]
    Lost,
}

/// There's no such situation.
#[copy_value]
#[derive(Display, Error)]
#[display("the situations are steady, surge2, surge5, slow, greedy, retries, mislead, cold, lost")]
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

    /// What demand is multiplied by. `greedy` says whether it's that organisation's.
    pub fn demand_factor(self, at: Duration, greedy: bool) -> f64 {
        match self {
            _ if !is_disturbed(at) => 1.0,
            Self::Surge2 | Self::Retries => 2.0,
            Self::Surge5 => 5.0,
            Self::Greedy if greedy => GREEDY_FACTOR,
            _ => 1.0,
        }
    }

    /// What the rates of organisations are multiplied by, so that they allow the surge.
    pub fn limit_factor(self) -> f64 {
        match self {
            Self::Surge2 | Self::Retries => 2.0,
            Self::Surge5 => 5.0,
            _ => 1.0,
        }
    }

    /// What service times are multiplied by.
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

    /// Slots that a backend server really has.
    pub fn usable_slots(self, slots: u32, at: Duration, first_domain: bool) -> f64 {
        let misled = self == Self::Mislead && first_domain && is_disturbed(at);
        f64::from(slots) * if misled { USABLE_SLOT_PART } else { 1.0 }
    }

    /// Part of the backend servers that stand.
    pub fn available_part(self, at: Duration) -> f64 {
        let lost = self == Self::Lost && is_disturbed(at);
        if lost {
            1.0 - 1.0 / DOMAINS as f64
        } else {
            1.0
        }
    }

    /// Whether callers retry hard.
    pub fn aggressive_retries(self) -> bool {
        self == Self::Retries
    }
}

/// Whether the cause is at work.
pub fn is_disturbed(at: Duration) -> bool {
    (DISTURBANCE_START..DISTURBANCE_END).contains(&at)
}
