//! Operators: their command language, and the door at which commands arrive.
//!
//! The language is parsed at the operator's side; nodes see typed commands only.

mod client;
mod command;
mod delivery;
mod endpoint;
mod language;
mod parse_error;
mod query;
mod token;

pub use client::OperatorClient;
pub use command::{Command, CommandError, CommandRequest, Reply};
pub use delivery::{CommandFailure, CommandTransport, deliver};
pub use endpoint::{CommandHandler, OperatorEndpoint};
pub use language::{Statement, parse};
pub use parse_error::ParseError;
pub use query::{Filter, Query, Sort, View};

/// Method that carries an order.
const RUN_METHOD: &str = "run";
