//! The engine of a node. It handles requests of callers and of the local backend server, runs calls
//! that other nodes forward, and exchanges control state with the fleet.
//!
//! One thread owns the control state and publishes immutable snapshots of it. Traffic threads
//! decide about requests from the latest snapshot. The engine doesn't depend on the encoding of any
//! message.

mod charging;
mod claims;
mod control;
mod counted_store;
mod crashes;
mod departures;
mod dispatch;
mod engine;
mod entry;
mod epochs;
mod inbox;
mod incoming;
mod journal;
mod listeners;
mod metrics;
mod node;
mod notices;
mod reports;
mod runner;
mod settings;
mod shutdown;
mod snapshots;
mod status;
mod traffic;

pub use engine::Engine;
pub use filbertwheel_policy::RetryLimits;
pub use incoming::IncomingRequest;
pub use listeners::{ListenerFactory, ListenerSpec};
pub use metrics::Metrics;
pub use node::{Node, NodeError};
pub use settings::{
    Dependencies, EngineSettings, ListenAddresses, OperatorTable, RulesDecoder, RulesError,
};
