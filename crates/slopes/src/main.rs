//! `filbertwheel-slopes`: measures how state, messages and processor time grow with the fleet.
//!
//! Prints one measurement per line as JSON. The figures in docs/CAPACITY.md are derived from them.

mod connections;
mod fleet;
mod growth;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use derive_more::{Display, From};
use filbertwheel_core::{EXIT_USAGE, run_program};
use getopts::Options;

use crate::connections::hold_connections;
use crate::growth::{measure_config, measure_heartbeats, measure_ledger, measure_roster};

/// Maximum time for which connections are held.
const MAX_HOLD_TIME: Duration = Duration::from_secs(120);

/// Reason why nothing was measured.
#[derive(Debug, Display, From)]
enum CliError {
    #[display("{_0}")]
    Usage(getopts::Fail),
    #[display("specify one of: state, messages, connections")]
    NoSubcommand,
    #[display("--{_0} is missing or malformed")]
    InvalidOption(&'static str),
    #[display("{_0}")]
    Io(std::io::Error),
}

fn main() -> ExitCode {
    run_program("filbertwheel-slopes", run, |_| EXIT_USAGE)
}

fn run(arguments: &[String]) -> Result<(), CliError> {
    let mut options = Options::new();
    options.optopt(
        "t",
        "target",
        "connections: address to connect to",
        "IP:PORT",
    );
    options.optopt("c", "count", "connections: number of connections", "COUNT");
    options.optopt("s", "seconds", "connections: time to hold them", "SECONDS");
    let matches = options.parse(arguments)?;
    let required_option =
        |name: &'static str| matches.opt_str(name).ok_or(CliError::InvalidOption(name));
    match matches.free.first().map(String::as_str) {
        Some("state") => {
            measure_roster();
            measure_config();
            Ok(())
        }
        Some("messages") => {
            measure_heartbeats();
            measure_ledger();
            Ok(())
        }
        Some("connections") => {
            let target: SocketAddr = required_option("target")?
                .parse()
                .map_err(|_| CliError::InvalidOption("target"))?;
            let count = required_option("count")?
                .parse()
                .map_err(|_| CliError::InvalidOption("count"))?;
            let seconds = required_option("seconds")?
                .parse()
                .map_err(|_| CliError::InvalidOption("seconds"))?;
            let duration = Duration::from_secs(seconds).min(MAX_HOLD_TIME);
            Ok(filbertwheel_runtime::block_on(hold_connections(
                target, count, duration,
            ))?)
        }
        _ => Err(CliError::NoSubcommand),
    }
}
