//! `filbertwheel-burn`: reports the burn rates of service-level objectives.

use std::fs;
use std::io::{self, Write as _};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, From};
use filbertwheel_burn::{
    BurnSettings, History, Report, SampleError, Scrape, build_report, collect_scrapes, html_report,
    text_report,
};
use filbertwheel_core::{Clock, SettingsError, SystemClock};
use getopts::{Matches, Options};

/// Exit code when the alert of an objective fires.
const EXIT_ALERT: u8 = 1;
/// Exit code for errors on the command line, in settings or in records.
const EXIT_USAGE: u8 = 2;
/// Exit code when no node could be scraped or the output could not be written.
const EXIT_FAILED: u8 = 5;
/// Default number of seconds between scrapes.
const DEFAULT_INTERVAL: f64 = 5.0;

/// An error that ends the program without a report.
#[derive(Debug, Display, From)]
enum CliError {
    #[display("{_0}")]
    Usage(getopts::Fail),
    #[display("--{_0} is missing or malformed")]
    #[from(skip)]
    Option(&'static str),
    #[display("no input: pass record files, or nodes with --scrape IP:PORT")]
    #[from(skip)]
    NoInput,
    #[display("{_0}")]
    Settings(SettingsError),
    #[display("{}: {source}", path.display())]
    #[from(skip)]
    File { path: PathBuf, source: io::Error },
    #[display("{_0}")]
    Sample(SampleError),
    #[display("no node could be scraped")]
    #[from(skip)]
    NoScrapes,
    #[display("failed to write the output: {_0}")]
    Output(io::Error),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments) {
        Ok(false) => ExitCode::SUCCESS,
        Ok(true) => ExitCode::from(EXIT_ALERT),
        Err(error) => {
            eprintln!("filbertwheel-burn: {error}");
            ExitCode::from(match error {
                CliError::NoScrapes | CliError::Output(_) => EXIT_FAILED,
                _ => EXIT_USAGE,
            })
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("o", "objectives", "objectives in TOML", "FILE");
    options.optmulti("s", "scrape", "operator address of a node", "IP:PORT");
    options.optopt("", "every", "seconds between scrapes", "SECONDS");
    options.optopt("", "for", "seconds of scraping", "SECONDS");
    options.optopt("r", "record", "write the scrapes to a file", "FILE");
    options.optopt("p", "page", "write the report as an HTML page", "FILE");
    options.optflag("j", "json", "write the report as JSON");
    options.optflag("c", "check", "validate the objectives and exit");
    options.optflag("h", "help", "show this help");
    options
}

/// Writes the report, and returns whether the alert of any objective fires.
fn run(arguments: &[String]) -> Result<bool, CliError> {
    let options = options();
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        let usage = options.usage("Usage: filbertwheel-burn --objectives FILE [RECORD ...]");
        write!(io::stdout(), "{usage}")?;
        return Ok(false);
    }
    let path = matches.opt_str("objectives").map(PathBuf::from);
    let settings = BurnSettings::load(&path.ok_or(CliError::Option("objectives"))?)?;
    if matches.opt_present("check") {
        return Ok(false);
    }
    let record = if matches.opt_present("scrape") {
        scrape_nodes(&matches)?
    } else {
        read_records(&matches.free)?
    };
    let report = build_report(&settings, &History::read(&record)?);
    write_report(&matches, &report)?;
    Ok(report.has_alert())
}

fn read_records(paths: &[String]) -> Result<String, CliError> {
    if paths.is_empty() {
        return Err(CliError::NoInput);
    }
    let read = |path: &String| {
        fs::read_to_string(path).map_err(|source| CliError::File {
            path: path.into(),
            source,
        })
    };
    paths.iter().map(read).collect()
}

fn scrape_nodes(matches: &Matches) -> Result<String, CliError> {
    let nodes: Result<Vec<SocketAddr>, _> = matches
        .opt_strs("scrape")
        .iter()
        .map(|node| node.parse())
        .collect();
    let nodes = nodes.map_err(|_| CliError::Option("scrape"))?;
    let interval = seconds(matches, "every")?;
    let interval = interval.unwrap_or(Duration::from_secs_f64(DEFAULT_INTERVAL));
    let span = seconds(matches, "for")?.ok_or(CliError::Option("for"))?;
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let on_error = |error: &_| eprintln!("filbertwheel-burn: {error}");
    let scrapes =
        filbertwheel_runtime::block_on(collect_scrapes(&nodes, (interval, span), &clock, on_error));
    if scrapes.is_empty() {
        return Err(CliError::NoScrapes);
    }
    let record: String = scrapes.iter().map(Scrape::record).collect();
    if let Some(path) = matches.opt_str("record") {
        fs::write(path, &record)?;
    }
    Ok(record)
}

fn seconds(matches: &Matches, name: &'static str) -> Result<Option<Duration>, CliError> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(None);
    };
    let seconds: f64 = text.parse().map_err(|_| CliError::Option(name))?;
    let duration = Duration::try_from_secs_f64(seconds).map_err(|_| CliError::Option(name))?;
    if duration.is_zero() {
        return Err(CliError::Option(name));
    }
    Ok(Some(duration))
}

fn write_report(matches: &Matches, report: &Report) -> Result<(), CliError> {
    if let Some(path) = matches.opt_str("page") {
        fs::write(path, html_report(report))?;
    }
    let mut out = io::stdout().lock();
    if matches.opt_present("json") {
        let json = serde_json::to_string(report).map_err(io::Error::from)?;
        writeln!(out, "{json}")?;
    } else {
        write!(out, "{}", text_report(report))?;
    }
    Ok(())
}
