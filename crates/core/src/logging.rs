//! Logs: short sentences with a fixed prefix for each part.

use std::io::stderr;

use serde::Deserialize;
use tracing_subscriber::EnvFilter;

/// How log lines are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// For machines.
    Json,
}

/// Sends logs to standard error. The level comes from `FILBERTWHEEL_LOG`, else it's `info`.
pub fn init_logging(format: LogFormat) {
    let filter = EnvFilter::try_from_env("FILBERTWHEEL_LOG")
        .unwrap_or_else(|_| EnvFilter::new("filbertwheel=info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(stderr);
    let done = match format {
        LogFormat::Text => builder.with_target(false).try_init(),
        LogFormat::Json => builder.with_target(false).json().try_init(),
    };
    if done.is_err() {
        tracing::debug!("logging: A subscriber is already set.");
    }
}
