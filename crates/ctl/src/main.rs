//! `filbertctl`: the operators' command line.

use std::io::{self, IsTerminal as _, Write as _};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use derive_more::{Display, From};
use filbertwheel_core::{Edit, FleetSecret, SystemClock, Text, hash_key};
use filbertwheel_operator::{
    Command, Mistake, OperatorClient, Order, Reply, RunError, Statement, parse,
};
use getopts::Options;

/// Exit code when a command wasn't carried out.
const EXIT_FAILED: u8 = 1;
/// Exit code for mistakes on the command line.
const EXIT_USAGE: u8 = 2;
/// Environment variable with the operators' secret.
const SECRET_VARIABLE: &str = "FILBERTWHEEL_OPERATOR_SECRET";

/// Why the program ends without a reply.
#[derive(Debug, Display, From)]
enum Fault {
    #[display("{_0}")]
    Usage(getopts::Fail),
    #[display("the node's address is missing or malformed: give it with --node IP:PORT")]
    Node,
    #[display("the operators' secret is missing: set {SECRET_VARIABLE}")]
    Secret,
    #[display("no command was given")]
    Empty,
    #[display("{_0}")]
    Mistake(Mistake),
    #[display("{_0}")]
    Run(RunError),
    #[display("the output can't be written: {_0}")]
    Output(io::Error),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match smol::block_on(run(&arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("filbertctl: {fault}");
            ExitCode::from(match fault {
                Fault::Run(_) | Fault::Output(_) => EXIT_FAILED,
                _ => EXIT_USAGE,
            })
        }
    }
}

async fn run(arguments: &[String]) -> Result<(), Fault> {
    let mut options = Options::new();
    options.optopt("n", "node", "operator address of a node", "IP:PORT");
    options.optflag("j", "json", "write replies as JSON");
    options.optflag("h", "help", "show this help");
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        let usage = options.usage("Usage: filbertctl --node IP:PORT COMMAND ...");
        return Ok(write!(io::stdout(), "{usage}")?);
    }
    let address: SocketAddr = matches
        .opt_str("node")
        .and_then(|text| text.parse().ok())
        .ok_or(Fault::Node)?;
    let secret = std::env::var(SECRET_VARIABLE).map_err(|_| Fault::Secret)?;
    let line = matches.free.join(" ");
    if line.is_empty() {
        return Err(Fault::Empty);
    }
    let (command, key) = command_of(parse(&line)?);
    let client = OperatorClient::open(
        address,
        FleetSecret::new(secret.into()),
        Arc::new(SystemClock),
    );
    let order = Order {
        id: random_id(),
        command,
    };
    let reply = client.run(&order).await?;
    show(&reply, key.as_deref(), matches.opt_present("json"))?;
    Ok(())
}

/// The command for a statement, with the key that was made up for it.
fn command_of(statement: Statement) -> (Command, Option<String>) {
    match statement {
        Statement::Command(command) => (command, None),
        Statement::NewKey { organisation } => {
            let key = format!("fw-{:032x}", rand::random::<u128>());
            let hash = hash_key(key.as_bytes());
            (
                Command::Edit(Edit::AddKey { hash, organisation }),
                Some(key),
            )
        }
    }
}

fn random_id() -> Text {
    format!("{:032x}", rand::random::<u128>()).into()
}

fn show(reply: &Reply, key: Option<&str>, json: bool) -> io::Result<()> {
    let mut out = io::stdout().lock();
    if json {
        let value = serde_json::json!({ "reply": reply, "key": key });
        return writeln!(out, "{value}");
    }
    if let Some(key) = key {
        writeln!(out, "key {key}")?;
        if out.is_terminal() {
            writeln!(out, "It is shown only once.")?;
        }
    }
    match reply {
        Reply::Accepted { version } => writeln!(out, "accepted as version {version}"),
        Reply::Pending { version, waiting } => {
            let waiting: Vec<String> = waiting.iter().map(ToString::to_string).collect();
            writeln!(
                out,
                "kept as version {version}; waiting for {}",
                waiting.join(", ")
            )
        }
        Reply::Rows { columns, rows } => show_rows(&mut out, columns, rows),
    }
}

fn show_rows(out: &mut impl io::Write, columns: &[Text], rows: &[Vec<Text>]) -> io::Result<()> {
    let width = |index: usize| {
        let cells = rows.iter().filter_map(|row| row.get(index));
        cells
            .chain(columns.get(index))
            .map(|cell| cell.as_bytes().len())
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    for row in std::iter::once(columns).chain(rows.iter().map(Vec::as_slice)) {
        let cells: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        writeln!(out, "{}", cells.join("  ").trim_end())?;
    }
    Ok(())
}
