//! A backend server: runs requests and sends status reports to the node on its machine.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

use crate::http::{Message, call, serve};
use crate::record::Record;

/// Time within which a report has to be acknowledged.
const ACK_TIME: Duration = Duration::from_secs(1);

/// Settings of a backend server.
#[derive(Debug, Clone)]
pub struct BackendOptions {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub address: SocketAddr,
    /// Address at which the node on its machine takes reports.
    pub control: SocketAddr,
    pub beat: Duration,
    /// Size of the answers to requests whose path ends in `bundle`.
    pub bundle_bytes: usize,
    /// Bytes per second at which it reads a body.
    pub read_rate: f64,
}

/// A request that began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub path: String,
    pub tenant: String,
    /// Seconds since the start of the record.
    pub at: f64,
}

pub struct Backend {
    pub options: BackendOptions,
    pub id: String,
    record: Arc<Record>,
    born_ms: u128,
    sequence: AtomicU64,
    reports: AtomicBool,
    ended: AtomicBool,
    runs: Mutex<Vec<Run>>,
}

impl Backend {
    /// Starts a backend server. `work` returns the time that a request takes, by its path.
    pub fn start(
        options: BackendOptions,
        record: Arc<Record>,
        work: impl Fn(&str) -> Duration + Send + Sync + 'static,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(options.address).expect("the address is free");
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let born_ms = born.expect("the clock is past 1970").as_millis();
        let backend = Arc::new(Self {
            id: format!("i-{}-{born_ms:x}", options.name),
            options,
            record,
            born_ms,
            sequence: AtomicU64::new(0),
            reports: AtomicBool::new(true),
            ended: AtomicBool::new(false),
            runs: Mutex::default(),
        });
        let serving = Arc::clone(&backend);
        let rate = backend.options.read_rate;
        serve(listener, rate, move |request| {
            serving.answer(&request, &work)
        });
        let reporting = Arc::clone(&backend);
        std::thread::spawn(move || {
            loop {
                if reporting.reports.load(Ordering::SeqCst) {
                    // Without an acknowledgement the next report follows at its time.
                    let _unacknowledged = reporting.send_report(&reporting.next_report());
                }
                std::thread::sleep(reporting.options.beat);
            }
        });
        backend
    }

    /// Returns the next status report, with the state `ready`.
    pub fn next_report(&self) -> Message {
        let options = &self.options;
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"ready","warmup_left_ms":0,"sequence":{sequence},"born":{}}}"#,
            options.service, options.address, options.zone, options.slots, self.born_ms
        );
        let start = format!(
            "POST /filbertwheel/Instances.Heartbeat/{} HTTP/1.1",
            self.id
        );
        Message::new(start, body)
            .with("Host", options.control.to_string())
            .with("Content-Type", "application/json")
    }

    /// Sends a report. Returns whether it was acknowledged.
    pub fn send_report(&self, report: &Message) -> bool {
        call(self.options.control, report, ACK_TIME)
            .is_ok_and(|response| (200..300).contains(&response.status()))
    }

    /// Ends the regular reports.
    pub fn end_reports(&self) {
        self.reports.store(false, Ordering::SeqCst);
    }

    /// Deregisters. Returns whether that was acknowledged.
    pub fn deregister(&self) -> bool {
        let start = format!(
            "POST /filbertwheel/Instances.Deregister/{} HTTP/1.1",
            self.id
        );
        let request = Message::new(start, format!(r#"{{"born":{}}}"#, self.born_ms))
            .with("Host", self.options.control.to_string())
            .with("Content-Type", "application/json");
        self.send_report(&request)
    }

    /// Ends the server: requests are no longer answered.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
    }

    /// Returns all requests that began to run.
    pub fn runs(&self) -> Vec<Run> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn answer(&self, request: &Message, work: &dyn Fn(&str) -> Duration) -> Option<Message> {
        if self.ended.load(Ordering::SeqCst) {
            return None;
        }
        let (_, path) = request.target();
        if path == "/health" {
            return Some(Message::new("HTTP/1.1 200 OK", "").with("Instance-Id", self.id.as_str()));
        }
        let Some(id) = request.header("attempt-id").map(str::to_owned) else {
            return Some(Message::new("HTTP/1.1 400 Bad Request", "").with("Not-Executed", "1"));
        };
        if request
            .header("expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            let response = Message::new("HTTP/1.1 421 Misdirected Request", "");
            return Some(response.with("Attempt-Id", id).with("Not-Executed", "1"));
        }
        let name = &self.options.name;
        let at = self
            .record
            .line(&format!("{name} runs request {id} ({path})"));
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(Run {
                id: id.clone(),
                path: path.to_owned(),
                tenant: request.header("tenant").unwrap_or("").to_owned(),
                at,
            });
        std::thread::sleep(work(path));
        if self.ended.load(Ordering::SeqCst) {
            return None;
        }
        let body = if path.ends_with("bundle") {
            vec![b'b'; self.options.bundle_bytes]
        } else {
            format!("answer to {id}").into_bytes()
        };
        let response = Message::new("HTTP/1.1 200 OK", body);
        Some(
            response
                .with("Attempt-Id", id.as_str())
                .with("Server-Seal", format!("seal.{id}")),
        )
    }
}
