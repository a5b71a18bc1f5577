//! Limits on connections and messages.

use std::time::Duration;

/// Limits on connections and messages.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum size of a head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a body in bytes.
    pub body_bytes: usize,
    /// Maximum size, in bytes, of all large bodies that a client receives from one server at the same
    /// time, or that a listener holds for its requests.
    pub total_bytes: usize,
    /// Maximum idle time of a connection between messages.
    pub idle_timeout: Duration,
    /// Maximum time to receive a head after its first byte, and time in which the client must make
    /// progress with reading a response.
    pub head_timeout: Duration,
    /// Maximum time to receive a body.
    pub body_timeout: Duration,
    /// Maximum time to open a connection.
    pub connect_timeout: Duration,
    /// Interval at which a server sends `102 Processing` while it handles a request, and at which
    /// a client expects it. `None` if the peer is not a filbertwheel process.
    pub progress_interval: Option<Duration>,
    /// How long a server continues to accept connections and requests after the shutdown signal.
    pub drain_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 8 * 1024,
            body_bytes: 8 * 1024 * 1024,
            total_bytes: 32 * 1024 * 1024,
            idle_timeout: Duration::from_secs(60),
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            connect_timeout: Duration::from_secs(1),
            progress_interval: None,
            drain_time: Duration::from_millis(500),
        }
    }
}
