//! The control thread: membership, configuration, shares and the region's lease.
//!
//! A single thread owns the state, so it needs no locks. Its tasks wait on channels, timers and
//! I/O.

mod children;
mod claims;
mod commands;
mod config;
mod exchange;
mod heartbeat;
mod message;
mod root;
mod show;
mod state;

pub(crate) use claims::{claim_token, serve_claim};
pub(crate) use commands::{ControlSender, handle_messages};
pub(crate) use config::poll_changes;
pub(crate) use heartbeat::{run_heartbeats, send_heartbeat};
pub use message::{ClaimReply, Message};
pub(crate) use root::{hold_lease, release_lease};
pub(crate) use state::{Control, ControlParts, SERVING_LEASE};
