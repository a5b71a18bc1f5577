//! `filbertwheel-load`: an open-loop load generator.
//!
//! Requests are sent at a fixed rate regardless of their outcome. Latency is measured from the
//! scheduled send time, so that delays of the generator count as well. `filbertwheel-load model`
//! simulates a whole deployment instead.

mod bench;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, From};
use filbertwheel_core::{Clock, SystemClock};
use filbertwheel_http::{Limits, Pool, Request, names};
use getopts::{Matches, Options};
use hdrhistogram::Histogram;
use serde::Serialize;
use smol::LocalExecutor;

/// Largest latency in the histogram, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Maximum length of a run.
const MAX_RUN_LENGTH: Duration = Duration::from_secs(300);
/// Timeout of a request, from its scheduled send time.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Reason why a run does not start.
#[derive(Debug, Display, From)]
enum CliError {
    #[display("{_0}")]
    Usage(getopts::Fail),
    #[display("--{_0} is missing or malformed")]
    InvalidOption(&'static str),
    #[display("--seconds exceeds the maximum of {}", MAX_RUN_LENGTH.as_secs())]
    TooLong,
    #[display("{_0}")]
    Histogram(hdrhistogram::CreationError),
}

/// Parameters of a run.
#[derive(Debug)]
struct Plan {
    target: SocketAddr,
    path: String,
    key: Option<String>,
    rate: f64,
    length: Duration,
}

/// Counts of responses by outcome, and their latency.
#[derive(Debug)]
struct Tally {
    latency: Histogram<u64>,
    answered: u64,
    refused: u64,
    failed: u64,
}

/// Result of a run, printed as JSON.
#[derive(Debug, Serialize)]
struct Summary {
    rate: f64,
    answered: u64,
    refused: u64,
    failed: u64,
    p50_us: u64,
    p90_us: u64,
    p99_us: u64,
    p999_us: u64,
    max_us: u64,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let Some(("model", rest)) = arguments.split_first().map(|(a, b)| (a.as_str(), b)) {
        return exit_code(bench::model(rest));
    }
    match plan(&arguments).and_then(run) {
        Ok(summary) => {
            println!("{}", serde_json::json!(summary));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("filbertwheel-load: {error}");
            ExitCode::from(2)
        }
    }
}

fn exit_code(outcome: Result<(), bench::ModelError>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("filbertwheel-load: {error}");
            ExitCode::from(2)
        }
    }
}

fn plan(arguments: &[String]) -> Result<Plan, CliError> {
    let mut options = Options::new();
    options.optopt("t", "target", "address to send requests to", "IP:PORT");
    options.optopt("p", "path", "path of the requests", "PATH");
    options.optopt("k", "key", "API key of the caller", "KEY");
    options.optopt("r", "rate", "requests per second", "RATE");
    options.optopt("s", "seconds", "length of the run", "SECONDS");
    let matches = options.parse(arguments)?;
    let length = Duration::from_secs(required_option(&matches, "seconds")?);
    if length > MAX_RUN_LENGTH {
        return Err(CliError::TooLong);
    }
    Ok(Plan {
        target: required_option(&matches, "target")?,
        path: required_option(&matches, "path")?,
        key: matches.opt_str("key"),
        rate: required_option(&matches, "rate")?,
        length,
    })
}

fn required_option<T: std::str::FromStr>(
    matches: &Matches,
    name: &'static str,
) -> Result<T, CliError> {
    matches
        .opt_str(name)
        .and_then(|text| text.parse().ok())
        .ok_or(CliError::InvalidOption(name))
}

fn run(plan: Plan) -> Result<Summary, CliError> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let executor = Rc::new(LocalExecutor::new());
    let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?;
    let tally = Rc::new(RefCell::new(Tally {
        latency,
        answered: 0,
        refused: 0,
        failed: 0,
    }));
    let pool = Rc::new(Pool::open(
        plan.target,
        Limits::default(),
        Arc::clone(&clock),
    ));
    let plan = Rc::new(plan);
    let count = (plan.rate * plan.length.as_secs_f64()) as u64;
    let sending = async {
        let start = clock.now();
        let mut sent = Vec::with_capacity(count as usize);
        for index in 0..count {
            let due = start + Duration::from_secs_f64(index as f64 / plan.rate);
            clock
                .sleep(due.saturating_duration_since(clock.now()))
                .await;
            let (pool, plan, tally) = (Rc::clone(&pool), Rc::clone(&plan), Rc::clone(&tally));
            let clock = Arc::clone(&clock);
            sent.push(executor.spawn(async move {
                let mut request = Request::get(&plan.path);
                if let Some(key) = &plan.key {
                    request = request.with(names::KEY, key.as_str());
                }
                let response = pool.exchange(request, due + CALL_TIMEOUT).await;
                let latency_us = clock.now().saturating_duration_since(due).as_micros() as u64;
                let mut tally = tally.borrow_mut();
                match response {
                    Ok(response) if response.status == 200 => {
                        tally.answered += 1;
                        tally.latency.saturating_record(latency_us.max(1));
                    }
                    Ok(_) => tally.refused += 1,
                    Err(_) => tally.failed += 1,
                }
            }));
        }
        for task in sent {
            task.await;
        }
    };
    filbertwheel_runtime::block_on(executor.run(sending));
    let tally = tally.borrow();
    let at = |quantile| tally.latency.value_at_quantile(quantile);
    Ok(Summary {
        rate: plan.rate,
        answered: tally.answered,
        refused: tally.refused,
        failed: tally.failed,
        p50_us: at(0.5),
        p90_us: at(0.9),
        p99_us: at(0.99),
        p999_us: at(0.999),
        max_us: tally.latency.max(),
    })
}
