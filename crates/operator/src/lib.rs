//! Operators' command language, client and HTTP endpoint.
//!
//! The client parses the language; nodes receive typed commands only.

mod client;
mod command;
mod endpoint;
mod language;
mod parse_error;
mod query;
mod retry;
mod token;

pub use client::OperatorClient;
pub use command::{Command, CommandError, CommandRequest, Reply};
pub use endpoint::{CommandHandler, OperatorEndpoint};
pub use language::{Statement, parse};
pub use parse_error::ParseError;
pub use query::{Filter, Query, Sort, View};
pub use retry::{CommandFailure, CommandTransport, send_with_retries};

/// RPC method that runs a command.
const RUN_METHOD: &str = "run";
