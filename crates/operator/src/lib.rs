//! Operators: their command language, and the door at which commands arrive.
//!
//! The language is parsed at the operator's side; nodes see typed commands only.

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

/// Method that carries an order.
const RUN_METHOD: &str = "run";
