//! A node: requests of callers and of its backend server, calls of other nodes, and what the
//! fleet has to agree on.
//!
//! One thread holds the control state and publishes immutable snapshots of it. Traffic threads
//! decide about requests from the latest snapshot. No message's encoding is known here.

mod arrival;
mod control;
mod crashes;
mod dispatch;
mod engine;
mod entry;
mod inbox;
mod journal;
mod metrics;
mod node;
mod runner;
mod settings;
mod snapshots;
mod traffic;

pub use arrival::Arrival;
pub use engine::Engine;
pub use filbertwheel_policy::RetryTerms;
pub use metrics::Metrics;
pub use node::{Bound, Doors, Node, NodeError};
pub use settings::{EngineSettings, Ports, RulesDecoder, RulesError, RulesPlace, Sources};
