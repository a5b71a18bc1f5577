//! What happens to the fleet during a run.

use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use filbertwheel_core::copy_value;

use super::profile::DOMAINS;

/// Length of a run.
pub const LENGTH: Duration = Duration::from_secs(60);
/// When the cause of the overload begins.
pub const BEGIN: Duration = Duration::from_secs(20);
/// When it ends.
pub const END: Duration = Duration::from_secs(40);
/// Demand before and after, as a part of capacity.
pub const STEADY: f64 = 0.7;

/// How many times slower a slow service is.
const SLOWNESS: f64 = 10.0;
/// How many times its rate the greedy organisation sends.
const GREED: f64 = 8.0;
/// How many times slower a backend server is right after its start.
const COLDNESS: f64 = 5.0;
/// How long a backend server takes to warm up.
const WARM_UP: Duration = Duration::from_secs(10);
/// Part of its announced slots that a misleading backend server really has.
const REAL_PART: f64 = 0.5;

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
pub struct NoSituation;

impl FromStr for Situation {
    type Err = NoSituation;

    fn from_str(text: &str) -> Result<Self, NoSituation> {
        let all = Self::ALL.into_iter();
        let found = all.clone().find(|situation| situation.to_string() == text);
        found.ok_or(NoSituation)
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
    pub fn demand(self, at: Duration, greedy: bool) -> f64 {
        match self {
            _ if !active(at) => 1.0,
            Self::Surge2 | Self::Retries => 2.0,
            Self::Surge5 => 5.0,
            Self::Greedy if greedy => GREED,
            _ => 1.0,
        }
    }

    /// What the rates of organisations are multiplied by, so that they allow the surge.
    pub fn allowance(self) -> f64 {
        match self {
            Self::Surge2 | Self::Retries => 2.0,
            Self::Surge5 => 5.0,
            _ => 1.0,
        }
    }

    /// What service times are multiplied by.
    pub fn slowness(self, at: Duration, deepest: bool, first_domain: bool) -> f64 {
        match self {
            Self::Slow if deepest && active(at) => SLOWNESS,
            Self::Cold if first_domain && at >= BEGIN => {
                let warmth = (at - BEGIN).as_secs_f64() / WARM_UP.as_secs_f64();
                1.0 + (COLDNESS - 1.0) * (1.0 - warmth).max(0.0)
            }
            _ => 1.0,
        }
    }

    /// Slots that a backend server really has.
    pub fn real_slots(self, slots: u32, at: Duration, first_domain: bool) -> f64 {
        let misled = self == Self::Mislead && first_domain && active(at);
        f64::from(slots) * if misled { REAL_PART } else { 1.0 }
    }

    /// Part of the backend servers that stand.
    pub fn standing(self, at: Duration) -> f64 {
        let lost = self == Self::Lost && active(at);
        if lost {
            1.0 - 1.0 / DOMAINS as f64
        } else {
            1.0
        }
    }

    /// Whether callers retry hard.
    pub fn hard_retries(self) -> bool {
        self == Self::Retries
    }
}

/// Whether the cause is at work.
pub fn active(at: Duration) -> bool {
    (BEGIN..END).contains(&at)
}
