//! Clients that send requests at a steady rate.

use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::http::{Message, read, write};
use crate::record::Record;

/// A request, as its client sees it.
#[derive(Debug, Clone)]
pub struct Sent {
    pub id: String,
    /// Seconds since the start of the record.
    pub at: f64,
    /// Status of its response; `None` if the connection ended without a complete one.
    pub status: Option<u16>,
    pub ended: f64,
    /// How long the response asks the client to wait.
    pub retry_after: Duration,
}

/// Sends requests and keeps what became of them.
pub struct Caller {
    name: String,
    node: SocketAddr,
    host: String,
    key: Option<String>,
    deadline: Duration,
    record: Arc<Record>,
    count: AtomicU64,
    stopped: AtomicBool,
    sent: Mutex<Vec<Sent>>,
}

impl Caller {
    pub fn new(
        name: &str,
        node: SocketAddr,
        host: &str,
        key: Option<&str>,
        deadline: Duration,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        Arc::new(Self {
            name: name.to_owned(),
            node,
            host: host.to_owned(),
            key: key.map(str::to_owned),
            deadline,
            record: Arc::clone(record),
            count: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            sent: Mutex::default(),
        })
    }

    /// Starts clients that each send one request after the other with a pause between, until
    /// `stop`. A kept connection serves many requests. The clients begin one after the other within
    /// `spread`.
    pub fn start(self: &Arc<Self>, clients: usize, start: &str, pause: Duration, spread: Duration) {
        for client in 0..clients {
            let begins = spread * client as u32 / clients as u32;
            let (caller, start) = (Arc::clone(self), start.to_owned());
            std::thread::spawn(move || {
                std::thread::sleep(begins);
                let mut connection = None;
                while !caller.stopped.load(Ordering::SeqCst) {
                    let sent = caller.send_on(&mut connection, &start, "");
                    std::thread::sleep(pause.max(sent.retry_after));
                }
            });
        }
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// Sends one request on a new connection.
    pub fn send(&self, start: &str, body: &str) -> Sent {
        self.send_on(&mut None, start, body)
    }

    /// Returns all requests that have ended.
    pub fn sent(&self) -> Vec<Sent> {
        self.sent
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn send_on(
        &self,
        connection: &mut Option<BufReader<TcpStream>>,
        start: &str,
        body: &str,
    ) -> Sent {
        let number = self.count.fetch_add(1, Ordering::SeqCst);
        let id = format!("{}-{number}", self.name);
        let at = self.record.now();
        let response = self.exchange(connection, &id, start, body);
        let status = response.as_ref().map(Message::status);
        let retry_after = response.as_ref().and_then(|response| {
            let seconds: f64 = response.header("retry-after")?.parse().ok()?;
            Duration::try_from_secs_f64(seconds).ok()
        });
        let outcome = match &response {
            Some(response) => format!("is answered {}", response.status()),
            None => "has no complete answer".to_owned(),
        };
        if response.is_none_or(|response| response.closes()) {
            *connection = None;
        }
        let ended = self.record.line(&format!(
            "request {id} ({start}), sent at {at:.3} s, {outcome}"
        ));
        let sent = Sent {
            id,
            at,
            status,
            ended,
            retry_after: retry_after.unwrap_or_default(),
        };
        self.sent
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(sent.clone());
        sent
    }

    fn exchange(
        &self,
        connection: &mut Option<BufReader<TcpStream>>,
        id: &str,
        start: &str,
        body: &str,
    ) -> Option<Message> {
        if connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.node, Duration::from_secs(1)).ok()?;
            stream.set_nodelay(true).ok()?;
            *connection = Some(BufReader::new(stream));
        }
        let reader = connection.as_mut()?;
        let limit = self.deadline + Duration::from_millis(500);
        reader.get_ref().set_read_timeout(Some(limit)).ok()?;
        let mut request = Message::new(start, body)
            .with("Host", self.host.as_str())
            .with("Attempt-Id", id)
            .with("Deadline-Ms", self.deadline.as_millis().to_string());
        if let Some(key) = &self.key {
            request = request.with("Authorization", format!("Bearer {key}"));
        }
        write(reader.get_mut(), &request).ok()?;
        read(reader).ok()?
    }
}
