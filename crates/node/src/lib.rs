//! The node: a process beside each backend server that routes its calls.
//!
//! One control thread owns the control state; traffic threads own the connections. Control
//! publishes immutable snapshots to traffic, traffic sends messages to control.

mod control;
mod dedup;
mod dispatch;
mod engine;
mod entry;
mod metrics;
mod node;
mod routing;
mod runner;
mod settings;
mod snapshot;
mod tokens;
mod traffic;

pub use control::{ClaimReply, Message};
pub use engine::Engine;
pub use metrics::{CallLabels, Metrics};
pub use node::{Node, NodeError};
pub use runner::Runner;
pub use settings::{ListenSettings, NodeSettings};
pub use snapshot::{SharedSnapshot, Snapshot};
