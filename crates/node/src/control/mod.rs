//! The control thread: membership, configuration, shares and the region's lease.
//!
//! One thread owns the state without locks. Its tasks wait on channels, timers and I/O.

mod children;
mod claims;
mod commands;
mod config;
mod exchange;
mod message;
mod pulse;
mod root;
mod show;
mod state;

pub(crate) use claims::{answer_claim, serve_claims};
pub(crate) use commands::{ControlCommands, take_messages};
pub(crate) use config::watch_changes;
pub use message::{ClaimReply, Message};
pub(crate) use pulse::{run_pulses, send_beat};
pub(crate) use root::{hold_lease, release_lease};
pub(crate) use state::{Control, Parts, SERVING_LEASE};
