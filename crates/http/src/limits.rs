//! Bounds on connections and messages.

use std::time::Duration;

/// Bounds on connections and messages.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Largest head in bytes.
    pub head: usize,
    /// Largest body in bytes.
    pub body: usize,
    /// How long a connection may be idle between messages.
    pub idle_timeout: Duration,
    /// How long the head of a message may take to arrive once it has begun, and an answer to
    /// leave.
    pub head_timeout: Duration,
    /// How long a body may take to arrive.
    pub body_timeout: Duration,
    /// How long a connection may take to open.
    pub connect_timeout: Duration,
    /// How often a server says that it's still at work on a request, and a client expects to hear
    /// of it. `None` where the other end isn't a process of ours.
    pub progress_interval: Option<Duration>,
    /// How long a stopping server goes on answering on open connections.
    pub drain_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: 8 * 1024,
            body: 8 * 1024 * 1024,
            idle_timeout: Duration::from_secs(60),
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            connect_timeout: Duration::from_secs(1),
            progress_interval: None,
            drain_time: Duration::from_millis(500),
        }
    }
}
