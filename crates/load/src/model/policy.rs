//! The policies that are compared.

use std::str::FromStr;

use derive_more::{Display, Error};
use filbertwheel_core::copy_value;

/// A policy.
#[copy_value]
#[derive(Display)]
pub enum Policy {
    /// Plain forwarding: a queue without bound before each backend server.
    #[display("off")]
    Off,
    /// Each hop sheds on its own, and each hop retries.
    #[display("per-hop")]
    PerHop,
    /// Rank from the entry, turns of organisations, cut-offs and the chain's retry budget.
    #[display("full")]
    Full,
}

/// There's no such policy.
#[copy_value]
#[derive(Display, Error)]
#[display("the policies are off, per-hop and full")]
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
