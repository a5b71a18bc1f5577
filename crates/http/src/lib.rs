//! HTTP/1.1 client and server for complete, buffered messages.
//!
//! Heads are parsed by `httparse`, the parser that `async-h1` uses. Body framing is implemented
//! here, because `async-h1` loses the bytes that follow a chunked body and accepts truncated bodies
//! as complete.

mod budget;
mod client;
mod connection;
mod encode;
mod head;
mod idle;
mod limits;
mod message;
pub mod names;
mod options;
mod parse;
mod pipeline;
mod reader;
mod server;
mod session;
mod shutdown;
mod socket;
mod verdict;

pub use client::Pool;
pub use connection::Connection;
pub use limits::Limits;
pub use message::{MessageError, Request, Response};
pub use options::{SendError, SendOptions, StallPolicy, TimeLeft};
pub use parse::{RequestMetadata, forwarded_headers};
pub use server::{Handler, Listener, LocalFuture, ServerEvent};
pub use shutdown::{ShutdownSignal, ShutdownTrigger};
pub use socket::{configure_socket, reset_on_close};
pub use verdict::{refusal_for, verdict_response};
