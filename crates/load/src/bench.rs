//! The command `model`: runs the model and writes its result.

use std::fs;
use std::io;
use std::path::PathBuf;
use std::str::FromStr;

use derive_more::{Display, From};
use filbertwheel_load::model::{Policy, Profile, Report, Setup, Situation, html, run};
use getopts::{Matches, Options};

/// Seed of a run that names none.
const DEFAULT_SEED: u64 = 7;

/// Why there's no result.
#[derive(Debug, Display, From)]
pub enum ModelError {
    /// The command line can't be read.
    #[display("{_0}")]
    Usage(getopts::Fail),
    /// An option is missing or malformed.
    #[display("--{_0} is missing or malformed")]
    InvalidOption(&'static str),
    /// The report can't be written.
    #[display("the report can't be written: {_0}")]
    Write(io::Error),
}

/// What to run and where to write.
#[derive(Debug)]
struct Plan {
    setups: Vec<Setup>,
    html_path: Option<PathBuf>,
    series: bool,
}

/// Runs the model as the arguments say. Prints one line of JSON for each run.
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
    options.optopt(
        "",
        "policy",
        "off, per-hop or full; all of them if left out",
        "NAME",
    );
    options.optopt(
        "",
        "situation",
        "what happens; everything if left out",
        "NAME",
    );
    options.optopt("", "seed", "seed of the run", "NUMBER");
    options.optopt("", "html", "where to write a page with plots", "PATH");
    options.optflag("", "series", "print the figures by time as well");
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
