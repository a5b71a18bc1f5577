//! Operators: their command language, and the door at which commands arrive.
//!
//! The language is parsed at the operator's side; nodes see typed commands only.

mod client;
mod command;
mod door;
mod language;

pub use client::{OperatorClient, RunError};
pub use command::{Command, CommandError, Order, Query, Reply};
pub use door::{Desk, OperatorDoor};
pub use language::{Mistake, Statement, parse};

/// Method that carries an order.
const RUN_METHOD: &str = "run";
