//! Errors of the program and their exit codes.

use std::io;
use std::path::PathBuf;

use derive_more::{Display, From};
use filbertwheel_core::VmId;
use filbertwheel_operator::{CommandError, CommandFailure, ParseError};
use filbertwheel_rpc::RpcError;

/// Exit code when a command was not carried out.
const EXIT_FAILED: u8 = 1;
/// Exit code for errors on the command line or in a command's syntax.
const EXIT_USAGE: u8 = 2;
/// Exit code when the outcome of a command is unknown.
const EXIT_UNKNOWN: u8 = 3;
/// Exit code when a change is stored, but some nodes have not applied it yet.
const EXIT_PENDING: u8 = 4;
/// Exit code when the node or the platform is unreachable.
const EXIT_UNREACHABLE: u8 = 5;

/// An error that ends the program.
#[derive(Debug, Display, From)]
pub(crate) enum CliError {
    #[display("{_0}")]
    Usage(getopts::Fail),
    #[display("missing or malformed node address: set it with --node IP:PORT")]
    #[from(skip)]
    NodeAddress,
    #[display("missing operators' secret: set {_0}")]
    #[from(skip)]
    MissingSecret(&'static str),
    #[display("a command and --file can't be combined")]
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
    #[display("the logs have no entry for request {_0}")]
    #[from(skip)]
    RequestNotFound(String),
    #[display("not yet in force at {}", join_names(_0))]
    #[from(skip)]
    Pending(Vec<VmId>),
    #[display("failed to write the output: {_0}")]
    Output(io::Error),
}

impl CliError {
    /// Returns the exit code of the program.
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
