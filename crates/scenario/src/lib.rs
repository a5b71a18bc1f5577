//! Scripted scenarios on real processes. A tool for tests, and no process of the system.
//!
//! That a process of the system starts no other doesn't bind this tool: it starts the platform's
//! stand-in, backend servers and nodes, and ends them all. A scenario is a text file with one
//! statement a line. After its last statement, no node may have found a broken invariant, ended by
//! itself or panicked, and no backend server may have had work long after it began to leave.

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
