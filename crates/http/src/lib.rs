//! HTTP/1.1 plumbing for the packages that speak it: whole messages in, whole messages out.
//!
//! Heads are parsed by `httparse`, the parser below `async-h1`. Bodies are framed here, because
//! that library loses what follows chunks and takes cut bodies for whole ones.

mod client;
mod connection;
mod head;
mod limits;
mod message;
pub mod names;
mod parse;
mod server;
mod shutdown;
mod socket;
mod verdict;

pub use client::{Pool, SendError, SendOptions, StallPolicy};
pub use connection::Connection;
pub use limits::Limits;
pub use message::{MessageError, Request, Response};
pub use parse::{RequestMetadata, forwarded_headers};
pub use server::{Handler, Listener, LocalFuture};
pub use shutdown::{ShutdownSignal, ShutdownTrigger};
pub use socket::{configure_socket, reset_on_close};
pub use verdict::{refusal_for, verdict_response};
