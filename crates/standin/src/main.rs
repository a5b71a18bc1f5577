//! `filbertwheel-standin`: small stand-ins for the platform's services and for backend servers,
//! with controls for faults. For tests and demonstrations only.

mod backend;
mod platform;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_signal::{Signal, Signals};
use derive_more::{Display, From};
use filbertwheel_core::{Clock, LogFormat, ServiceId, SystemClock, init_logging};
use filbertwheel_http::{Handler, Limits, Listener, Stopper};
use futures_lite::StreamExt as _;
use getopts::{Matches, Options};
use smol::LocalExecutor;

use crate::backend::{BackendOptions, BackendStandin};
use crate::platform::PlatformStandin;

/// Why a stand-in doesn't start.
#[derive(Debug, Display, From)]
enum Fault {
    #[display("{_0}")]
    Usage(getopts::Fail),
    #[display("platform or backend is wanted")]
    NoKind,
    #[display("--{_0} is missing or malformed")]
    Option(&'static str),
    #[display("{_0}")]
    Io(std::io::Error),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    init_logging(LogFormat::Text);
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("filbertwheel-standin: {fault}");
            ExitCode::from(2)
        }
    }
}

fn run(arguments: &[String]) -> Result<(), Fault> {
    let mut options = Options::new();
    options.optopt("l", "listen", "where to listen", "IP:PORT");
    options.optopt("n", "node", "backend: local door of the node", "IP:PORT");
    options.optopt("s", "service", "backend: name of the service", "NAME");
    options.optopt("", "slots", "backend: requests run at once", "COUNT");
    options.optopt(
        "",
        "work-us",
        "backend: microseconds of work a request",
        "COUNT",
    );
    options.optmulti(
        "c",
        "calls",
        "backend: a service that each request calls",
        "NAME",
    );
    let matches = options.parse(arguments)?;
    let listen: SocketAddr = parsed(&matches, "listen")?;
    let executor = Rc::new(LocalExecutor::new());
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    smol::block_on(executor.run(async {
        match matches.free.first().map(String::as_str) {
            Some("platform") => {
                let handler = Arc::new(PlatformStandin::open(Arc::clone(&clock)));
                serve(listen, handler, Rc::clone(&executor), clock).await
            }
            Some("backend") => {
                let options = backend_options(&matches, listen)?;
                let standin = Arc::new(BackendStandin::open(options, Arc::clone(&clock)));
                let announcing = executor.spawn(Arc::clone(&standin).announce());
                let served = serve(listen, standin, Rc::clone(&executor), clock).await;
                drop(announcing);
                served
            }
            _ => Err(Fault::NoKind),
        }
    }))
}

async fn serve(
    listen: SocketAddr,
    handler: Arc<dyn Handler>,
    executor: Rc<LocalExecutor<'static>>,
    clock: Arc<dyn Clock>,
) -> Result<(), Fault> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let (stopper, stop) = Stopper::open();
    let listener = Listener::bind(listen, Limits::default(), clock, stop).await?;
    let running = executor.spawn(listener.run(Rc::clone(&executor), handler));
    let _signal = signals.next().await;
    stopper.close();
    running.await;
    Ok(())
}

fn backend_options(matches: &Matches, listen: SocketAddr) -> Result<BackendOptions, Fault> {
    let work: u64 = parsed(matches, "work-us")?;
    Ok(BackendOptions {
        listen,
        node: parsed(matches, "node")?,
        service: ServiceId::from(matches.opt_str("service").ok_or(Fault::Option("service"))?),
        slots: parsed(matches, "slots")?,
        work: Duration::from_micros(work),
        calls: matches
            .opt_strs("calls")
            .into_iter()
            .map(ServiceId::from)
            .collect(),
    })
}

fn parsed<T: std::str::FromStr>(matches: &Matches, name: &'static str) -> Result<T, Fault> {
    matches
        .opt_str(name)
        .and_then(|text| text.parse().ok())
        .ok_or(Fault::Option(name))
}
