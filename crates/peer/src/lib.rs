//! Other nodes: forwarded calls, and the control messages of the fleet.
//!
//! Calls travel as HTTP exchanges on pooled connections; control messages are JSON-RPC requests
//! on the same listener. Every message carries a proof that its sender knows the fleet's secret.

mod client;
mod link;
mod server;
mod wire;

pub use client::{CallForwarder, ControlClient, ForwardError, PeerClient};
pub use link::{
    FrameError, Link, LinkDriver, LinkEndpoint, LinkEvent, LinkHandler, Links, NodeReport,
    ReplyHandle,
};
pub use server::{CallHandler, ControlError, ControlHandler, PeerEndpoint};
pub use wire::LoadReport;

/// Path of forwarded calls.
const CALL_PATH: &str = "/call";
/// Method of a heartbeat.
const HEARTBEAT_METHOD: &str = "beat";
/// Method of a claim for tokens.
const CLAIM_METHOD: &str = "claim";
