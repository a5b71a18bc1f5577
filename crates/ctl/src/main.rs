//! `filbertctl`: the operators' command-line client.

mod error;
mod printer;
mod session;
mod trace;

use std::io::{self, IsTerminal as _, Write as _};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use filbertwheel_core::{FleetSecret, SystemClock};
use filbertwheel_operator::OperatorClient;
use getopts::{Matches, Options};

use crate::error::CliError;
use crate::printer::{Printer, Style};
use crate::session::Session;

/// Usage lines of the help text.
const USAGE: &str = "Usage: filbertctl --node IP:PORT [COMMAND ... | --file FILE]
       filbertctl --trace ID LOG-FILE ...";
/// Environment variable with the operators' secret.
const SECRET_VARIABLE: &str = "FILBERTWHEEL_OPERATOR_SECRET";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match filbertwheel_runtime::block_on(run(&arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("filbertctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

async fn run(arguments: &[String]) -> Result<(), CliError> {
    let mut options = Options::new();
    options.optopt("n", "node", "operator address of a node", "IP:PORT");
    options.optopt("f", "file", "run the commands in a file", "FILE");
    options.optflag("j", "json", "write replies as JSON, one per line");
    options.optopt("t", "trace", "follow a request through log files", "ID");
    options.optflag("h", "help", "show this help");
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        let usage = options.usage(USAGE);
        return Ok(write!(io::stdout(), "{usage}")?);
    }
    if let Some(id) = matches.opt_str("trace") {
        let files: Vec<PathBuf> = matches.free.iter().map(PathBuf::from).collect();
        return trace::trace(&id, &files, &mut io::stdout().lock());
    }
    let session = open_session(&matches)?;
    match (matches.opt_str("file"), matches.free.as_slice()) {
        (Some(_), [_, ..]) => Err(CliError::CommandAndFile),
        (Some(path), []) => session.run_file(&PathBuf::from(path)).await,
        (None, []) => session.run_input().await,
        (None, words) => session.run_line(&join_words(words)).await,
    }
}

fn open_session(matches: &Matches) -> Result<Session, CliError> {
    let address: SocketAddr = matches
        .opt_str("node")
        .and_then(|text| text.parse().ok())
        .ok_or(CliError::NodeAddress)?;
    let secret =
        std::env::var(SECRET_VARIABLE).map_err(|_| CliError::MissingSecret(SECRET_VARIABLE))?;
    let secret = FleetSecret::new(secret.into());
    let clock = Arc::new(SystemClock);
    let client = OperatorClient::open(address, secret, Arc::clone(&clock) as _);
    let style = match (matches.opt_present("json"), io::stdout().is_terminal()) {
        (true, _) => Style::Json,
        (false, true) => Style::Coloured,
        (false, false) => Style::Plain,
    };
    Ok(Session::open(client, clock, Printer::open(style)))
}

/// Joins arguments that the shell has split into one command line. Arguments with white space or
/// quotes are quoted for the command language; a single argument is a command line already.
fn join_words(words: &[String]) -> String {
    if let [line] = words {
        return line.clone();
    }
    let words: Vec<String> = words.iter().map(|word| quote_word(word)).collect();
    words.join(" ")
}

fn quote_word(word: &str) -> String {
    let is_bare = |c: char| !c.is_whitespace() && c != '"';
    if !word.is_empty() && word.chars().all(is_bare) {
        return word.to_owned();
    }
    format!("\"{}\"", word.replace('\\', "\\\\").replace('"', "\\\""))
}
