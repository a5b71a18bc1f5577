//! The subcommand `model`: runs simulations and writes their results.

use std::fs;
use std::io;
use std::path::PathBuf;
use std::str::FromStr;

use derive_more::{Display, From};
use filbertwheel_load::model::{Policy, Profile, Report, Setup, Situation, html, run};
use getopts::{Matches, Options};

/// Default of `--seed`.
const DEFAULT_SEED: u64 = 7;

/// Reason why the subcommand fails.
#[derive(Debug, Display, From)]
pub enum ModelError {
    /// The command line is malformed.
    #[display("{_0}")]
    Usage(getopts::Fail),
    /// An option is missing or malformed.
    #[display("--{_0} is missing or malformed")]
    InvalidOption(&'static str),
    /// Writing the report failed.
    #[display("failed to write the report: {_0}")]
    Write(io::Error),
}

/// Simulations to run and the output to write.
#[derive(Debug)]
struct Plan {
    setups: Vec<Setup>,
    html_path: Option<PathBuf>,
    series: bool,
}

/// Runs the simulations selected by `arguments`. Prints one line of JSON per run.
pub fn model(arguments: &[String]) -> Result<(), ModelError> {
    let plan = plan(arguments)?;
    let mut reports = Vec::new();
    for setup in plan.setups {
        let tally = run(setup);
        let report = Report::new(setup, &tally);
        let mut line = serde_json::json!(report);
        if let (false, Some(fields)) = (plan.series, line.as_object_mut()) {
            fields.remove("samples");
        }
        println!("{line}");
        reports.push(report);
    }
    if let Some(html_path) = plan.html_path {
        fs::write(html_path, html(&reports))?;
    }
    Ok(())
}

fn plan(arguments: &[String]) -> Result<Plan, ModelError> {
    let mut options = Options::new();
    options.reqopt("", "profile", "lahore or riga-gulf", "NAME");
    options.optopt("", "policy", "off, per-hop or full; default: all", "NAME");
    options.optopt(
        "",
        "situation",
        "situation to simulate; default: all",
        "NAME",
    );
    options.optopt("", "seed", "seed of the run", "NUMBER");
    options.optopt(
        "",
        "html",
        "file to write an HTML page with plots to",
        "PATH",
    );
    options.optflag("", "series", "include the time series in the output");
    let matches = options.parse(arguments)?;
    let profile: Profile =
        optional_option(&matches, "profile")?.ok_or(ModelError::InvalidOption("profile"))?;
    let policies = match optional_option(&matches, "policy")? {
        Some(policy) => vec![policy],
        None => vec![Policy::Off, Policy::PerHop, Policy::Full],
    };
    let situations = match optional_option(&matches, "situation")? {
        Some(situation) => vec![situation],
        None => Situation::ALL.to_vec(),
    };
    let seed = optional_option(&matches, "seed")?.unwrap_or(DEFAULT_SEED);
    let setups = situations.into_iter().flat_map(|situation| {
        policies.clone().into_iter().map(move |policy| Setup {
            profile,
            policy,
            situation,
            seed,
        })
    });
    Ok(Plan {
        setups: setups.collect(),
        html_path: matches.opt_str("html").map(PathBuf::from),
        series: matches.opt_present("series"),
    })
}

fn optional_option<T: FromStr>(
    matches: &Matches,
    name: &'static str,
) -> Result<Option<T>, ModelError> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(None);
    };
    text.parse()
        .map(Some)
        .map_err(|_| ModelError::InvalidOption(name))
}
