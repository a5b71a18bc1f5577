//! Bounds on connections and messages.

use std::time::Duration;

/// Bounds on connections and messages.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Largest body in bytes.
    pub body: usize,
    /// How long a connection may be idle between messages.
    pub idle: Duration,
    /// How long a message may take to arrive once it has begun.
    pub arrival: Duration,
    /// How long a connection may take to open.
    pub connect: Duration,
    /// How long a stopping server goes on answering on open connections.
    pub linger: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: 8 * 1024 * 1024,
            idle: Duration::from_secs(60),
            arrival: Duration::from_secs(10),
            connect: Duration::from_secs(1),
            linger: Duration::from_millis(500),
        }
    }
}
