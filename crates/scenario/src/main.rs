//! `filbertwheel-scenario`: a test tool that runs scenario files, one after another.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::SystemTime;

use derive_more::{Display, From};
use filbertwheel_runtime::Signals;
use filbertwheel_scenario::{Failure, Paths, run};
use getopts::Options;

/// An error that prevents a scenario from running, or makes it fail.
#[derive(Debug, Display, From)]
enum CliError {
    #[display("{_0}")]
    Usage(getopts::Fail),
    #[display("at least one scenario file is required")]
    NoFile,
    #[display("{}: {source}", path.display())]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    #[display("{_0}")]
    Io(std::io::Error),
    #[display("{}: {failure} (logs are in {})", path.display(), work_dir.display())]
    Failed {
        path: PathBuf,
        work_dir: PathBuf,
        failure: Failure,
    },
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run_all(&arguments) {
        Ok(failed) if failed.is_empty() => ExitCode::SUCCESS,
        Ok(failed) => {
            for error in failed {
                eprintln!("FAILED {error}");
            }
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("filbertwheel-scenario: {error}");
            ExitCode::from(2)
        }
    }
}

/// Runs all scenarios. Returns the errors of those that failed.
fn run_all(arguments: &[String]) -> Result<Vec<CliError>, CliError> {
    let mut options = Options::new();
    options.optopt(
        "p",
        "programs",
        "directory that contains the executables",
        "DIR",
    );
    options.optopt("f", "files", "directory for settings files and logs", "DIR");
    options.optflag("c", "check", "parse the scenarios without running them");
    let matches = options.parse(arguments)?;
    if matches.free.is_empty() {
        return Err(CliError::NoFile);
    }
    let bin_dir = match matches.opt_str("programs") {
        Some(bin_dir) => PathBuf::from(bin_dir),
        None => executable_dir()?,
    };
    let work_dir = matches
        .opt_str("files")
        .map_or_else(new_temp_dir, PathBuf::from);
    let mut failed = Vec::new();
    for path in matches.free.iter().map(PathBuf::from) {
        let name = path.file_stem().unwrap_or_default();
        let paths = Paths {
            bin_dir: bin_dir.clone(),
            work_dir: work_dir.join(name),
        };
        let outcome = if matches.opt_present("check") {
            check(&path)
        } else {
            run_one(&path, paths)
        };
        if let Err(error) = outcome {
            println!("FAILED {error}");
            failed.push(error);
        }
    }
    Ok(failed)
}

fn check(path: &Path) -> Result<(), CliError> {
    let failed = |error: filbertwheel_scenario::ParseError| CliError::Failed {
        path: path.to_owned(),
        work_dir: PathBuf::new(),
        failure: Failure {
            line: error.line,
            source: error.into(),
        },
    };
    filbertwheel_scenario::parse(&read(path)?).map_err(failed)?;
    Ok(())
}

fn run_one(path: &Path, paths: Paths) -> Result<(), CliError> {
    println!("== {}", path.display());
    let work_dir = paths.work_dir.clone();
    let signals = Signals::open()?;
    let interrupted = async move {
        let _signal = signals.next().await;
    };
    let outcome = run(&read(path)?, paths, |line| println!("{line}"), interrupted);
    outcome.map_err(|failure| CliError::Failed {
        path: path.to_owned(),
        work_dir,
        failure,
    })
}

fn read(path: &Path) -> Result<String, CliError> {
    std::fs::read_to_string(path).map_err(|source| CliError::Read {
        path: path.to_owned(),
        source,
    })
}

fn executable_dir() -> Result<PathBuf, CliError> {
    let own = std::env::current_exe()?;
    Ok(own.parent().map(Path::to_owned).unwrap_or_default())
}

/// Returns the path of a new temporary directory for settings files and logs.
fn new_temp_dir() -> PathBuf {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let name = format!("filbertwheel-{}", since.unwrap_or_default().as_nanos());
    std::env::temp_dir().join(name)
}
