//! A node: requests of callers and of its backend server, calls of other nodes, and what the
//! fleet has to agree on.
//!
//! One thread holds the control state and publishes immutable snapshots of it. Traffic threads
//! decide about requests from the latest snapshot. No message's encoding is known here.

mod control;
mod crashes;
mod dispatch;
mod engine;
mod entry;
mod inbox;
mod incoming;
mod journal;
mod metrics;
mod node;
mod runner;
mod settings;
mod snapshots;
mod traffic;

pub use engine::Engine;
pub use filbertwheel_policy::RetryLimits;
pub use incoming::IncomingRequest;
pub use metrics::Metrics;
pub use node::{ListenerFactory, ListenerSpec, Node, NodeError};
pub use settings::{
    Dependencies, EngineSettings, ListenAddresses, RulesDecoder, RulesError, RulesLocation,
};
