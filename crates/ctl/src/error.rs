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
pub(crate) enum CliError {
    #[display("{_0}")]
    Usage(getopts::Fail),
    #[display("the node's address is missing or malformed: give it with --node IP:PORT")]
    #[from(skip)]
    NodeAddress,
    #[display("the operators' secret is missing: set {_0}")]
    #[from(skip)]
    MissingSecret(&'static str),
    #[display("give either a command or --file")]
    #[from(skip)]
    CommandAndFile,
    #[display("{}: {source}", path.display())]
    #[from(skip)]
    File { path: PathBuf, source: io::Error },
    #[display("{}", format_parse_errors(path, errors))]
    #[from(skip)]
    ParseErrors {
        path: PathBuf,
        errors: Vec<(usize, ParseError)>,
    },
    #[display("{_0}")]
    Parse(ParseError),
    #[display("{_0}")]
    Command(CommandFailure),
    #[display("no line of the logs is about request {_0}")]
    #[from(skip)]
    RequestNotFound(String),
    #[display("not in force yet at {}", join_names(_0))]
    #[from(skip)]
    Pending(Vec<VmId>),
    #[display("the output can't be written: {_0}")]
    Output(io::Error),
}

impl CliError {
    /// The exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Command(error) if error.may_have_run() => EXIT_UNKNOWN,
            Self::Command(CommandFailure::Rpc(RpcError::Unauthenticated)) => EXIT_FAILED,
            Self::Command(CommandFailure::Command(
                CommandError::Unavailable | CommandError::Stopping,
            ))
            | Self::Command(CommandFailure::Rpc(_)) => EXIT_UNREACHABLE,
            Self::Command(_) | Self::Output(_) | Self::RequestNotFound(_) => EXIT_FAILED,
            Self::Pending(_) => EXIT_PENDING,
            _ => EXIT_USAGE,
        }
    }
}

fn format_parse_errors(path: &std::path::Path, errors: &[(usize, ParseError)]) -> String {
    let lines = errors.iter();
    lines
        .map(|(line, ParseError { column, detail })| {
            format!("{}:{line}:{column}: {detail}", path.display())
        })
        .collect::<Vec<_>>()
        .join("\n")
}

fn join_names(vms: &[VmId]) -> String {
    let names: Vec<String> = vms.iter().map(ToString::to_string).collect();
    names.join(", ")
}
