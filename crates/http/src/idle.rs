//! Idle connections of a pool.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use filbertwheel_core::Clock;

use crate::connection::Connection;

/// Maximum number of idle connections to one address.
const MAX_IDLE_CONNECTIONS: usize = 256;

/// Time for which no connection to a server is reused after one had bytes that belong to no response.
const STRAY_PAUSE: Duration = Duration::from_secs(5);

/// Connections to one server that carry no exchange.
#[derive(Debug)]
pub(crate) struct IdleConnections {
    /// Idle timeout of the server, if it announces none.
    timeout: Duration,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    connections: Vec<IdleConnection>,
    /// Until when no connection is reused, because the server sends bytes that belong to no response.
    unused_until: Option<Instant>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
    /// Maximum idle time, derived from the server's `Keep-Alive` header.
    limit: Duration,
}

impl IdleConnections {
    /// Creates an empty set of connections to a server with an idle timeout.
    pub fn open(timeout: Duration, clock: Arc<dyn Clock>) -> Self {
        Self {
            timeout,
            clock,
            state: Mutex::default(),
        }
    }

    /// Takes the connection that was used last, if it has been idle for at most `max_idle`.
    pub fn take(&self, max_idle: Duration) -> Option<Connection> {
        let now = self.clock.now();
        let idle = &mut self.lock().connections;
        // Half of the server's idle timeout, so that a connection is never reused while the server
        // closes it.
        let bound = self.timeout / 2;
        let age = |entry: &IdleConnection| now.saturating_duration_since(entry.since);
        idle.retain(|entry| age(entry) < bound.min(entry.limit));
        let fresh = idle.last().is_some_and(|entry| age(entry) <= max_idle);
        if !fresh {
            return None;
        }
        idle.pop().map(|entry| entry.connection)
    }

    /// Keeps a connection that may be idle for the time `limit`, unless there are many or reuse is
    /// paused.
    pub fn put(&self, connection: Connection, limit: Duration) {
        let since = self.clock.now();
        let mut state = self.lock();
        let is_paused = state.unused_until.is_some_and(|until| since < until);
        if is_paused || state.connections.len() >= MAX_IDLE_CONNECTIONS {
            return;
        }
        state.connections.push(IdleConnection {
            connection,
            since,
            limit,
        });
    }

    /// Closes all of them.
    pub fn discard(&self) {
        let closed = std::mem::take(&mut self.lock().connections);
        drop(closed);
    }

    /// Closes all of them and keeps none for a while: bytes that belong to no response may arrive on any
    /// of them after the next request was sent.
    pub fn pause(&self, server: SocketAddr) {
        let now = self.clock.now();
        let before = self.lock().unused_until.replace(now + STRAY_PAUSE);
        if before.is_none_or(|until| until <= now) {
            tracing::warn!(
                server = %server,
                "http: The server sends bytes that belong to no response, so its connections are not reused."
            );
        }
        self.discard();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
