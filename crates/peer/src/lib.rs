//! Communication between nodes: forwarded calls and the control messages of the fleet.
//!
//! There are two transports:
//!
//! - HTTP: calls are HTTP exchanges on pooled connections, and control messages are JSON-RPC
//!   requests to the same listener. Every message is signed with the fleet's secret.
//! - Links: one persistent connection from each node to each other node, which multiplexes calls,
//!   reports, rules and token claims as binary frames. The first frame of a link is signed.

mod answer;
mod client;
mod link;
mod server;
mod wire;

pub use client::{CallForwarder, ControlClient, ForwardError, PeerClient};
pub use link::{
    CallState, FrameError, Link, LinkDriver, LinkEndpoint, LinkEvent, LinkHandler, Links,
    NodeProcess, NodeReport, ReplyHandle, RulesDocument,
};
pub use server::{CallHandler, ControlError, ControlHandler, PeerEndpoint};
pub use wire::LoadReport;

/// Request path of forwarded calls.
const CALL_PATH: &str = "/call";
/// JSON-RPC method of a heartbeat.
const HEARTBEAT_METHOD: &str = "beat";
/// JSON-RPC method of a token claim.
const CLAIM_METHOD: &str = "claim";
