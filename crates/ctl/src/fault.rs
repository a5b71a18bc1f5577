//! Why the program ends without success, and with which exit code.

use std::io;
use std::path::PathBuf;

use derive_more::{Display, From};
use filbertwheel_core::VmId;
use filbertwheel_operator::{CommandError, CommandFailure, ParseError};
use filbertwheel_rpc::RpcError;

/// Exit code when a command wasn't carried out.
const EXIT_FAILED: u8 = 1;
/// Exit code for mistakes on the command line or in a command.
const EXIT_USAGE: u8 = 2;
/// Exit code when it isn't known whether a command was carried out.
const EXIT_UNKNOWN: u8 = 3;
/// Exit code when a change is kept, but isn't in force everywhere yet.
const EXIT_PENDING: u8 = 4;
/// Exit code when the node or the platform can't be reached.
const EXIT_UNREACHABLE: u8 = 5;

/// Why the program ends without success.
#[derive(Debug, Display, From)]
pub(crate) enum Fault {
    #[display("{_0}")]
    Usage(getopts::Fail),
    #[display("the node's address is missing or malformed: give it with --node IP:PORT")]
    #[from(skip)]
    Node,
    #[display("the operators' secret is missing: set {_0}")]
    #[from(skip)]
    Secret(&'static str),
    #[display("give either a command or --file")]
    #[from(skip)]
    Both,
    #[display("{}: {source}", path.display())]
    #[from(skip)]
    File { path: PathBuf, source: io::Error },
    #[display("{}", lines(path, mistakes))]
    #[from(skip)]
    Mistakes {
        path: PathBuf,
        mistakes: Vec<(usize, ParseError)>,
    },
    #[display("{_0}")]
    ParseError(ParseError),
    #[display("{_0}")]
    Run(CommandFailure),
    #[display("no line of the logs is about request {_0}")]
    #[from(skip)]
    NoLines(String),
    #[display("not in force yet at {}", names(_0))]
    #[from(skip)]
    Pending(Vec<VmId>),
    #[display("the output can't be written: {_0}")]
    Output(io::Error),
}

impl Fault {
    /// The exit code.
    pub fn code(&self) -> u8 {
        match self {
            Self::Run(error) if error.may_have_run() => EXIT_UNKNOWN,
            Self::Run(CommandFailure::Rpc(RpcError::Unauthenticated)) => EXIT_FAILED,
            Self::Run(CommandFailure::Command(
                CommandError::Unavailable | CommandError::Stopping,
            ))
            | Self::Run(CommandFailure::Rpc(_)) => EXIT_UNREACHABLE,
            Self::Run(_) | Self::Output(_) | Self::NoLines(_) => EXIT_FAILED,
            Self::Pending(_) => EXIT_PENDING,
            _ => EXIT_USAGE,
        }
    }
}

fn lines(path: &std::path::Path, mistakes: &[(usize, ParseError)]) -> String {
    let lines = mistakes.iter();
    lines
        .map(|(line, ParseError { column, detail })| {
            format!("{}:{line}:{column}: {detail}", path.display())
        })
        .collect::<Vec<_>>()
        .join("\n")
}

fn names(vms: &[VmId]) -> String {
    let names: Vec<String> = vms.iter().map(ToString::to_string).collect();
    names.join(", ")
}
