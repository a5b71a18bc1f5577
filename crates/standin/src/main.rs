//! `filbertwheel-standin`: a simulated backend server with fault injection. For tests and
//! demonstrations only.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, From};
use filbertwheel_core::{
    Clock, EXIT_USAGE, LogFormat, ServiceId, SystemClock, init_logging, run_program,
};
use filbertwheel_http::{Handler, Limits, Listener, ShutdownTrigger};
use filbertwheel_runtime::Signals;
use filbertwheel_standin::{BackendOptions, BackendStandin};
use getopts::{Matches, Options};
use smol::LocalExecutor;

/// Default of `--grace-ms`.
const DEFAULT_GRACE_MS: u64 = 1_000;

/// Reason why the stand-in does not start.
#[derive(Debug, Display, From)]
enum CliError {
    #[display("{_0}")]
    Usage(getopts::Fail),
    #[display("specify one of: backend")]
    NoSubcommand,
    #[display("--{_0} is missing or malformed")]
    InvalidOption(&'static str),
    #[display("{_0}")]
    Io(std::io::Error),
}

fn main() -> ExitCode {
    init_logging(LogFormat::Text);
    run_program("filbertwheel-standin", run, |_| EXIT_USAGE)
}

fn run(arguments: &[String]) -> Result<(), CliError> {
    let mut options = Options::new();
    options.optopt("l", "listen", "address to listen on", "IP:PORT");
    options.optopt(
        "n",
        "node",
        "backend: address of the node's endpoint for its backend server",
        "IP:PORT",
    );
    options.optopt("s", "service", "backend: name of the service", "NAME");
    options.optopt(
        "",
        "slots",
        "backend: maximum number of concurrent requests",
        "COUNT",
    );
    options.optopt(
        "",
        "work-us",
        "backend: microseconds of work per request",
        "COUNT",
    );
    options.optmulti(
        "c",
        "calls",
        "backend: service called by each request",
        "NAME",
    );
    options.optopt(
        "",
        "advertise",
        "backend: address announced to the node",
        "IP:PORT",
    );
    options.optopt(
        "",
        "grace-ms",
        "backend: milliseconds to serve after a shutdown signal",
        "COUNT",
    );
    options.optopt(
        "",
        "cold-ms",
        "backend: milliseconds of slow service after the start",
        "COUNT",
    );
    let matches = options.parse(arguments)?;
    let listen: SocketAddr = required_option(&matches, "listen")?;
    let executor = Rc::new(LocalExecutor::new());
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    filbertwheel_runtime::block_on(executor.run(async {
        match matches.free.first().map(String::as_str) {
            Some("backend") => {
                let options = backend_options(&matches, listen)?;
                let standin = Arc::new(BackendStandin::open(options, Arc::clone(&clock)));
                let announcer = executor.spawn(Arc::clone(&standin).announce());
                let draining = Arc::clone(&standin);
                let drain = async move { draining.drain().await };
                let served = serve(listen, standin, Rc::clone(&executor), clock, drain).await;
                drop(announcer);
                served
            }
            _ => Err(CliError::NoSubcommand),
        }
    }))
}

async fn serve(
    listen: SocketAddr,
    handler: Arc<dyn Handler>,
    executor: Rc<LocalExecutor<'static>>,
    clock: Arc<dyn Clock>,
    drain: impl Future<Output = ()>,
) -> Result<(), CliError> {
    let signals = Signals::open()?;
    let (trigger, signal) = ShutdownTrigger::open();
    let listener = Listener::bind(listen, Limits::default(), clock, signal).await?;
    let running = executor.spawn(listener.run(Rc::clone(&executor), handler));
    let _signal = signals.next().await;
    drain.await;
    trigger.trigger();
    running.await;
    Ok(())
}

fn backend_options(matches: &Matches, listen: SocketAddr) -> Result<BackendOptions, CliError> {
    let work: u64 = required_option(matches, "work-us")?;
    let millis = |name| optional_option(matches, name).map(Duration::from_millis);
    Ok(BackendOptions {
        listen,
        advertise: optional_option(matches, "advertise"),
        grace: millis("grace-ms").unwrap_or(Duration::from_millis(DEFAULT_GRACE_MS)),
        cold: millis("cold-ms").unwrap_or_default(),
        node: required_option(matches, "node")?,
        service: ServiceId::from(
            matches
                .opt_str("service")
                .ok_or(CliError::InvalidOption("service"))?,
        ),
        slots: required_option(matches, "slots")?,
        work: Duration::from_micros(work),
        calls: matches
            .opt_strs("calls")
            .into_iter()
            .map(ServiceId::from)
            .collect(),
    })
}

fn optional_option<T: std::str::FromStr>(matches: &Matches, name: &str) -> Option<T> {
    matches.opt_str(name)?.parse().ok()
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
