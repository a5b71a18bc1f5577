//! The overload policies under comparison.

use std::str::FromStr;

use derive_more::{Display, Error};
use filbertwheel_core::copy_value;

/// An overload policy.
#[copy_value]
#[derive(Display)]
pub enum Policy {
    /// Plain forwarding, with an unbounded queue at each backend server.
    #[display("off")]
    Off,
    /// Each hop sheds and retries independently.
    #[display("per-hop")]
    PerHop,
    /// Ranks from the entry node, fair queueing, cut-offs and a retry budget per chain.
    #[display("full")]
    Full,
}

/// The name of a policy is unknown.
#[copy_value]
#[derive(Display, Error)]
#[display("unknown policy; expected off, per-hop or full")]
pub struct UnknownPolicy;

impl FromStr for Policy {
    type Err = UnknownPolicy;

    fn from_str(text: &str) -> Result<Self, UnknownPolicy> {
        match text {
            "off" => Ok(Self::Off),
            "per-hop" => Ok(Self::PerHop),
            "full" => Ok(Self::Full),
            _ => Err(UnknownPolicy),
        }
    }
}
