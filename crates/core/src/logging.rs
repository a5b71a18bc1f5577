//! Log output. Messages are short sentences with a fixed prefix for each part of the program.

use std::io::{self, Write, stderr};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::Builder;
use std::time::Duration;

use serde::Deserialize;
use tracing_subscriber::EnvFilter;

/// Format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Sends logs to standard error. The filter is taken from `FILBERTWHEEL_LOG`; the default level is
/// `info`.
pub fn init_logging(format: LogFormat) {
    let filter = EnvFilter::try_from_env("FILBERTWHEEL_LOG")
        .unwrap_or_else(|_| EnvFilter::new("filbertwheel=info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(stderr);
    let initialized = match format {
        LogFormat::Text => builder.with_target(false).try_init(),
        LogFormat::Json => builder.with_target(false).json().try_init(),
    };
    if initialized.is_err() {
        tracing::debug!("logging: A subscriber is already set.");
    }
}

/// Maximum size of the lines waiting to be written to standard output. Lines beyond it are dropped.
const MAX_PENDING_BYTES: usize = 1024 * 1024;
/// Interval at which pending lines are written in one batch.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

/// Lines not yet written to standard output.
#[derive(Debug, Default)]
struct PendingLines {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Writer that buffers lines and never blocks.
#[derive(Debug, Clone)]
struct LineWriter {
    pending: Arc<Mutex<PendingLines>>,
    wake: SyncSender<()>,
}

/// Writes the remaining lines when it is dropped.
#[derive(Debug)]
pub struct LogGuard {
    pending: Arc<Mutex<PendingLines>>,
}

impl Write for LineWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut pending = lock(&self.pending);
        if pending.bytes.len() + buf.len() > MAX_PENDING_BYTES {
            pending.dropped += 1;
            return Ok(buf.len());
        }
        let was_empty = pending.bytes.is_empty();
        pending.bytes.extend_from_slice(buf);
        drop(pending);
        if was_empty {
            // If the channel is full, the writing thread is already awake.
            let _full = self.wake.try_send(());
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        flush_pending(&self.pending);
    }
}

fn flush_pending(pending: &Mutex<PendingLines>) {
    let PendingLines { bytes, dropped } = std::mem::take(&mut *lock(pending));
    let mut stdout = io::stdout().lock();
    let mut written = stdout.write_all(&bytes);
    if dropped > 0 {
        let line = format!(
            "{{\"level\":\"WARN\",\"message\":\"logging: Lines were dropped.\",\"dropped\":{dropped}}}\n"
        );
        written = written.and_then(|()| stdout.write_all(line.as_bytes()));
    }
    // If the reader of standard output is gone, the error can't be reported anywhere.
    let _closed = written.and_then(|()| stdout.flush());
}

/// Sends logs to standard output, one JSON object per line. If the reader is too slow, lines are
/// dropped instead of blocking the process. Fails if the writing thread can't be started.
pub fn init_json_logging() -> io::Result<LogGuard> {
    let pending: Arc<Mutex<PendingLines>> = Arc::default();
    let (wake, woken) = sync_channel(1);
    let shared = Arc::clone(&pending);
    Builder::new().name("logging".to_owned()).spawn(move || {
        // Nothing is ever sent on this channel: receiving from it with a timeout is a sleep, during
        // which lines accumulate.
        let (_never, pause) = sync_channel::<()>(1);
        while woken.recv().is_ok() {
            let _timeout = pause.recv_timeout(FLUSH_INTERVAL);
            flush_pending(&shared);
        }
    })?;
    let writer = LineWriter {
        pending: Arc::clone(&pending),
        wake,
    };
    let filter = EnvFilter::try_from_env("FILBERTWHEEL_LOG")
        .unwrap_or_else(|_| EnvFilter::new("filbertwheel=info"));
    let initialized = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(move || writer.clone())
        .with_target(false)
        .json()
        .flatten_event(true)
        .try_init();
    if initialized.is_err() {
        tracing::debug!("logging: A subscriber is already set.");
    }
    Ok(LogGuard { pending })
}

fn lock(pending: &Mutex<PendingLines>) -> MutexGuard<'_, PendingLines> {
    pending.lock().unwrap_or_else(PoisonError::into_inner)
}
