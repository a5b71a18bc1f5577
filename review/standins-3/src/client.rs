//! A client on a kept connection.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::http::{Wire, connect_with_buffer};

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Receive buffer of a client on a slow line.
const SLOW_BUFFER: i32 = 64 * 1024;

/// What became of a request.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub id: String,
    pub sent: Instant,
    pub ended: Instant,
    /// Status of the answer, if its head arrived.
    pub status: Option<u16>,
    /// Bytes of the body that arrived, and how many its head states.
    pub got: usize,
    pub stated: usize,
    /// Whether it has the backend's seal.
    pub sealed: bool,
    /// Whether its head says that the connection closes after it.
    pub closes: bool,
}

impl Outcome {
    /// A request that has no answer yet.
    fn sent(id: String, sent: Instant) -> Self {
        Self {
            id,
            sent,
            ended: sent,
            status: None,
            got: 0,
            stated: 0,
            sealed: false,
            closes: false,
        }
    }

    pub fn is_whole(&self) -> bool {
        self.status.is_some() && self.got == self.stated
    }

    pub fn text(&self) -> String {
        let took = self.ended.saturating_duration_since(self.sent).as_millis();
        match self.status {
            None => format!(
                "{}: connection closed without an answer after {took} ms",
                self.id
            ),
            Some(status) if self.is_whole() => {
                format!(
                    "{}: {status}, {} bytes, whole, after {took} ms",
                    self.id, self.got
                )
            }
            Some(status) => format!(
                "{}: {status}, connection closed after {} of {} bytes, after {took} ms",
                self.id, self.got, self.stated
            ),
        }
    }
}

pub fn next_id() -> String {
    format!(
        "{:016x}",
        0x5eed_0000_0000 + NEXT.fetch_add(1, Ordering::Relaxed)
    )
}

/// Encodes a request without a body.
pub fn request(id: &str, path: &str, budget: Duration) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: lido.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\n\r\n",
        budget.as_millis()
    )
}

pub struct Client {
    pub wire: Wire,
    budget: Duration,
    /// Key of the client's tenant, if there are tenants.
    key: Option<&'static str>,
}

impl Client {
    /// Opens a connection that the client keeps. `budget` is the time budget of its requests.
    pub fn open(to: SocketAddr, budget: Duration) -> io::Result<Self> {
        let stream = connect_with_buffer(to, SLOW_BUFFER)?;
        stream.set_read_timeout(Some(budget + Duration::from_millis(500)))?;
        Ok(Self {
            wire: Wire::open(stream),
            budget,
            key: None,
        })
    }

    /// Sends its requests with the key of a tenant.
    pub fn with_key(mut self, key: &'static str) -> Self {
        self.key = Some(key);
        self
    }

    /// Sends a request and reads its answer, at `bytes_per_s` if that is set.
    pub fn get(&mut self, path: &str, bytes_per_s: Option<usize>) -> Outcome {
        let id = next_id();
        let sent = Instant::now();
        let message = request(&id, path, self.budget);
        let mut outcome = Outcome::sent(id, sent);
        if self.wire.write(message.as_bytes()).is_ok() {
            self.read(&mut outcome, bytes_per_s);
        }
        outcome.ended = Instant::now();
        outcome
    }

    /// Sends a request with a body and reads its answer.
    pub fn post(&mut self, path: &str, bytes: usize) -> Outcome {
        let id = next_id();
        let sent = Instant::now();
        let key = self
            .key
            .map(|key| format!("Authorization: Bearer {key}\r\n"));
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: lido.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\n\
             {}Content-Length: {bytes}\r\n\r\n",
            self.budget.as_millis(),
            key.unwrap_or_default()
        );
        let mut outcome = Outcome::sent(id, sent);
        // A node may refuse a body before it has read it, so its answer is read in any case.
        let part = [b'u'; 64 * 1024];
        let mut left = bytes;
        let mut open = self.wire.write(head.as_bytes()).is_ok();
        while open && left > 0 {
            let count = left.min(part.len());
            open = self.wire.write(&part[..count]).is_ok();
            left -= count;
        }
        self.read(&mut outcome, None);
        outcome
    }

    /// Reads the next answer.
    pub fn read(&mut self, outcome: &mut Outcome, bytes_per_s: Option<usize>) {
        if let Ok(Some(head)) = self.wire.head() {
            outcome.status = Some(head.status());
            outcome.stated = head.length();
            outcome.sealed = head.get("server-seal").is_some();
            outcome.closes = head
                .get("connection")
                .is_some_and(|value| value.contains("close"));
            outcome.got = self.wire.body(outcome.stated, bytes_per_s);
        }
        outcome.ended = Instant::now();
    }
}
