//! The errors of a scenario.

use std::io;
use std::path::PathBuf;

use derive_more::{Display, Error, From};
use filbertwheel_http::SendError;

use crate::parser::ParseError;
use crate::script::{Part, VmNumber};

/// A failed scenario.
#[derive(Debug, Display, Error)]
#[display("line {line}: {source}")]
pub struct Failure {
    /// Line of the failed statement, or 0 if the failure happened before the first or after the
    /// last statement.
    pub line: usize,
    /// The cause of the failure.
    pub source: StepError,
}

/// An error in one statement or in the checks at the end of a scenario.
#[derive(Debug, Display, Error, From)]
pub enum StepError {
    /// The scenario file has a syntax error.
    #[display("column {}: {}", _0.column, _0.detail)]
    #[from]
    Parse(ParseError),
    /// A file of the scenario can't be read or written.
    #[display("{_0}")]
    #[from]
    Io(io::Error),
    /// Every block of ports is in use.
    #[display("all blocks of ports are in use")]
    NoPorts,
    /// The scenario has not started this VM, or its number is out of range.
    #[display("VM {_0} does not exist")]
    UnknownVm(#[error(not(source))] VmNumber),
    /// A process or relay that the statement needs is not running.
    #[display("the process is not running")]
    NotRunning,
    /// A process can't be started.
    #[display("failed to start {}: {source}", program.display())]
    Spawn {
        /// Path of the executable.
        program: PathBuf,
        /// The error from the operating system.
        source: io::Error,
    },
    /// A relay can't listen.
    #[display("a relay failed to listen: {_0}")]
    RelayListen(io::Error),
    /// No key or load was defined with this name.
    #[display("undefined name {_0}")]
    UndefinedName(#[error(not(source))] String),
    /// An HTTP request to a process of the scenario failed.
    #[display("an HTTP request to a process failed: {_0}")]
    #[from]
    Standin(SendError),
    /// A process that was told to stop did not exit successfully.
    #[display("{part:?} {vm} was told to stop and did not exit successfully")]
    StopFailed {
        /// Number of the VM.
        vm: VmNumber,
        /// The process that was told to stop.
        part: Part,
    },
    /// An operator's command succeeded or failed contrary to the scenario.
    #[display("unexpected command result: {output}")]
    UnexpectedCommandResult {
        /// Output of the command.
        output: String,
    },
    /// A condition was not met in time.
    #[display("timed out after {seconds} s; last state: {observed}")]
    TimedOut {
        /// The time limit.
        seconds: u64,
        /// What the last poll observed.
        observed: String,
    },
    /// The outcomes of calls violate a bound.
    #[display("expected {expected}; outcomes: {observed}")]
    UnexpectedOutcomes {
        /// The violated bound.
        expected: String,
        /// Number of calls by outcome.
        observed: String,
    },
    /// A request ran more or fewer times than expected.
    #[display("the request ran {count} times")]
    UnexpectedRunCount {
        /// Number of times that it ran.
        count: u32,
    },
    /// A check that applies to every scenario failed.
    #[display("{origin}: {detail}")]
    CheckFailed {
        /// The log file or VM in which the failure was detected.
        origin: String,
        /// The log line, metric or state that shows the failure.
        detail: String,
    },
}
