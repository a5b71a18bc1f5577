//! The node: one small process beside each backend server.
//!
//! One control thread owns the control state; traffic threads own the connections. Control
//! publishes immutable snapshots to traffic, traffic sends messages to control.

mod control;
mod engine;
mod metrics;
mod node;
mod passes;
mod runner;
mod settings;
mod snapshot;
mod traffic;

pub use metrics::{CallLabels, Metrics};
pub use node::{Node, NodeError};
pub use settings::NodeSettings;
