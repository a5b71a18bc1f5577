//! Runs scripted test scenarios on real processes.
//!
//! This is a test tool and not part of the deployed system, so the rule that a process of the
//! system starts no other process does not apply to it: it starts the platform's stand-in, backend
//! servers and nodes, and terminates all of them. A scenario is a text file with one statement per
//! line. A scenario fails if, after its last statement, a node has reported a broken invariant,
//! exited unexpectedly or panicked, or a backend server has received work long after it began to
//! leave.

mod caller;
mod checks;
mod error;
mod fleet;
mod operator;
mod owner;
mod parser;
mod ports;
mod process;
mod relay;
mod run;
pub mod script;
mod vm;
mod words;

pub use error::{Failure, StepError};
pub use parser::{ParseError, parse};
pub use process::Paths;
pub use run::run;
