//! Operators: their command language, and the door at which commands arrive.
//!
//! The language is parsed at the operator's side; nodes see typed commands only.

mod client;
mod command;
mod delivery;
mod door;
mod language;
mod mistake;
mod query;
mod token;

pub use client::OperatorClient;
pub use command::{Command, CommandError, Order, Reply};
pub use delivery::{Link, RunError, deliver};
pub use door::{CommandHandler, OperatorDoor};
pub use language::{Statement, parse};
pub use mistake::Mistake;
pub use query::{Filter, Query, Sort, View};

/// Method that carries an order.
const RUN_METHOD: &str = "run";
