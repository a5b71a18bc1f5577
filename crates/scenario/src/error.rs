//! Why a scenario fails.

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
    /// Line of the statement, or 0 for what holds after the last one.
    pub line: usize,
    /// What went wrong.
    pub source: StepError,
}

/// Why a statement fails.
#[derive(Debug, Display, Error, From)]
pub enum StepError {
    /// The scenario has a mistake.
    #[display("column {}: {}", _0.column, _0.detail)]
    #[from]
    Parse(ParseError),
    /// Files of the scenario can't be written or read.
    #[display("{_0}")]
    #[from]
    Io(io::Error),
    /// No block of ports is free.
    #[display("no block of ports is free")]
    NoPorts,
    /// The scenario started no such VM.
    #[display("there is no VM {_0}")]
    UnknownVm(#[error(not(source))] VmNumber),
    /// A process that's wanted doesn't run.
    #[display("the process does not run")]
    NotRunning,
    /// A process can't be started.
    #[display("{} can't be started: {source}", program.display())]
    Spawn {
        /// The program.
        program: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A relay can't listen.
    #[display("a relay can't listen: {_0}")]
    RelayListen(io::Error),
    /// No key or load has this name.
    #[display("nothing is named {_0}")]
    UndefinedName(#[error(not(source))] String),
    /// A stand-in didn't take its faults.
    #[display("a stand-in did not answer: {_0}")]
    #[from]
    Standin(SendError),
    /// A process didn't stop in an orderly way.
    #[display("{part:?} {vm} did not stop in an orderly way")]
    StopFailed {
        /// The VM.
        vm: VmNumber,
        /// The part of it.
        part: Part,
    },
    /// An operator's command ended otherwise than expected.
    #[display("the command said: {output}")]
    UnexpectedCommandResult {
        /// What it wrote.
        output: String,
    },
    /// Something was waited for in vain.
    #[display("waited {seconds} s in vain: {observed}")]
    TimedOut {
        /// How long.
        seconds: u64,
        /// What was seen at the end.
        observed: String,
    },
    /// Calls ended otherwise than expected.
    #[display("expected {expected}; calls ended so: {observed}")]
    UnexpectedOutcomes {
        /// The bound that wasn't kept.
        expected: String,
        /// What became of the calls.
        observed: String,
    },
    /// A request ran more or less often than expected.
    #[display("the request ran {count} times")]
    UnexpectedRunCount {
        /// How often.
        count: u32,
    },
    /// Something that always holds didn't.
    #[display("{origin}: {detail}")]
    CheckFailed {
        /// The log or address at which it was seen.
        origin: String,
        /// What was seen.
        detail: String,
    },
}
