//! `filbertwheel-node`: runs a node beside a backend server.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use derive_more::{Display, From};
use filbertwheel_adapter::PlatformStore;
use filbertwheel_core::{Clock, EXIT_USAGE, SettingsError, SystemClock, init_logging, run_program};
use filbertwheel_node::{Node, NodeError, NodeSettings};
use filbertwheel_platform::Platform;
use filbertwheel_runtime::Signals;
use getopts::Options;

/// Exit code when the node can't start.
const EXIT_FAILED: u8 = 1;

/// Why the program failed.
#[derive(Debug, Display, From)]
enum CliError {
    #[display("{_0}")]
    Usage(getopts::Fail),
    #[display("a settings file is required: --settings FILE")]
    NoSettings,
    #[display("{_0}")]
    Settings(SettingsError),
    #[display("{_0}")]
    Node(NodeError),
    #[display("cannot register signal handlers: {_0}")]
    Signals(std::io::Error),
}

fn main() -> ExitCode {
    run_program("filbertwheel-node", run, |error| match error {
        CliError::Node(_) | CliError::Signals(_) => EXIT_FAILED,
        _ => EXIT_USAGE,
    })
}

fn run(arguments: &[String]) -> Result<(), CliError> {
    let mut options = Options::new();
    options.optopt("s", "settings", "settings file", "FILE");
    options.optflag("c", "check", "check the settings and exit");
    options.optflag("h", "help", "show this help");
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        print!(
            "{}",
            options.usage("Usage: filbertwheel-node --settings FILE [--check]")
        );
        return Ok(());
    }
    let path = matches
        .opt_str("settings")
        .map(PathBuf::from)
        .ok_or(CliError::NoSettings)?;
    let settings = NodeSettings::load(&path)?;
    if matches.opt_present("check") {
        return Ok(());
    }
    init_logging(settings.run.log);
    filbertwheel_runtime::block_on(async {
        let signals = Signals::open()?;
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let table = PlatformStore::open(settings.platform.table, Arc::clone(&clock));
        let objects = PlatformStore::open(settings.platform.objects, Arc::clone(&clock));
        let platform = Platform {
            table: Arc::new(table),
            objects: Arc::new(objects),
        };
        let node = Node::spawn(&settings, platform, clock).await?;
        node.run(async move {
            let _signal = signals.next().await;
        })
        .await;
        Ok(())
    })
}
