//! `filbertctl`: the operators' command line.

mod fault;
mod session;
mod show;
mod trace;

use std::io::{self, IsTerminal as _, Write as _};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use filbertwheel_core::{FleetSecret, SystemClock};
use filbertwheel_operator::OperatorClient;
use getopts::{Matches, Options};

use crate::fault::Fault;
use crate::session::Session;
use crate::show::{Printer, Style};

/// How the program is called.
const USAGE: &str = "Usage: filbertctl --node IP:PORT [COMMAND ... | --file FILE]
       filbertctl --trace ID LOG-FILE ...";
/// Environment variable with the operators' secret.
const SECRET_VARIABLE: &str = "FILBERTWHEEL_OPERATOR_SECRET";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match filbertwheel_runtime::block_on(run(&arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("filbertctl: {fault}");
            ExitCode::from(fault.code())
        }
    }
}

async fn run(arguments: &[String]) -> Result<(), Fault> {
    let mut options = Options::new();
    options.optopt("n", "node", "operator address of a node", "IP:PORT");
    options.optopt("f", "file", "run the commands in a file", "FILE");
    options.optflag("j", "json", "write replies as JSON, a line each");
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
    let session = session(&matches)?;
    match (matches.opt_str("file"), matches.free.as_slice()) {
        (Some(_), [_, ..]) => Err(Fault::Both),
        (Some(path), []) => session.run_file(&PathBuf::from(path)).await,
        (None, []) => session.run_input().await,
        (None, words) => session.run_line(&line_of(words)).await,
    }
}

fn session(matches: &Matches) -> Result<Session, Fault> {
    let address: SocketAddr = matches
        .opt_str("node")
        .and_then(|text| text.parse().ok())
        .ok_or(Fault::Node)?;
    let secret = std::env::var(SECRET_VARIABLE).map_err(|_| Fault::Secret(SECRET_VARIABLE))?;
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

/// The command that the shell has split: words that it had quoted are quoted again.
fn line_of(words: &[String]) -> String {
    if let [line] = words {
        return line.clone();
    }
    let words: Vec<String> = words.iter().map(|word| quoted(word)).collect();
    words.join(" ")
}

fn quoted(word: &str) -> String {
    let is_bare = |c: char| !c.is_whitespace() && c != '"';
    if !word.is_empty() && word.chars().all(is_bare) {
        return word.to_owned();
    }
    format!("\"{}\"", word.replace('\\', "\\\\").replace('"', "\\\""))
}
