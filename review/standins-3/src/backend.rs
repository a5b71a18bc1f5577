//! A backend that follows the users' pages: it reports each half second, runs a request for the time
//! that its case sets, and answers with its seal and whole body.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::fleet::{beat, post};
use crate::http::{Head, Wire};

/// Time from the end of a backend's time budget until its answer is sent.
const ANSWER_TIME: Duration = Duration::from_millis(8);

/// How a request is run.
pub struct Work {
    pub time: Duration,
    pub bytes: usize,
}

/// A run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    /// The time budget at which it stopped work, if it was too short for the work.
    pub stopped: Option<Duration>,
    /// When the last byte of the answer was handed over, if it was.
    pub answered: Option<Instant>,
}

pub struct Backend {
    pub id: String,
    service: String,
    address: SocketAddr,
    reports: SocketAddr,
    slots: u32,
    work: Box<dyn Fn(&str) -> Work + Send + Sync>,
    pub runs: Mutex<Vec<Run>>,
    sequence: AtomicU64,
    born: u128,
    /// Whether it sends no more reports.
    is_silent: AtomicBool,
    /// Whether it has exited.
    has_exited: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Backend {
    /// Starts a backend and its status reports.
    pub fn start(
        name: &str,
        service: &str,
        reports: SocketAddr,
        slots: u32,
        work: impl Fn(&str) -> Work + Send + Sync + 'static,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let backend = Arc::new(Self {
            id: format!("i-{name}"),
            service: service.to_owned(),
            address: listener.local_addr()?,
            reports,
            slots,
            work: Box::new(work),
            runs: Mutex::default(),
            sequence: AtomicU64::new(0),
            born: born.unwrap_or_default().as_millis(),
            is_silent: AtomicBool::new(false),
            has_exited: AtomicBool::new(false),
            open: Mutex::default(),
        });
        let reporter = Arc::clone(&backend);
        thread::spawn(move || {
            loop {
                if !reporter.is_silent.load(Ordering::SeqCst) {
                    let (path, body) = reporter.next_report();
                    // Without an answer the next report follows.
                    let _status = post(reporter.reports, &path, &body);
                }
                thread::sleep(beat());
            }
        });
        let server = Arc::clone(&backend);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.has_exited.load(Ordering::SeqCst) {
                    continue;
                }
                server.open.lock().unwrap().extend(stream.try_clone());
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(Wire::open(stream)));
            }
        });
        Ok(backend)
    }

    fn next_report(&self) -> (String, String) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-0\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.slots, self.born
        );
        (
            format!("/filbertwheel/Instances.Heartbeat/{}", self.id),
            body,
        )
    }

    /// Sends no more reports. Returns the path and the body of one that is under way.
    pub fn hold_reports(&self) -> (String, String) {
        self.is_silent.store(true, Ordering::SeqCst);
        self.next_report()
    }

    /// The body of its deregistration.
    pub fn departure(&self) -> String {
        format!("{{\"born\":{}}}", self.born)
    }

    /// Ends all connections and takes no more.
    pub fn exit(&self) {
        self.has_exited.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _closed = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(Some(head)) = wire.head() {
            let length = head.length();
            if wire.body(length, None) < length {
                return;
            }
            if self.answer(&mut wire, &head).is_err() {
                return;
            }
        }
    }

    fn answer(&self, wire: &mut Wire, head: &Head) -> std::io::Result<()> {
        let id = head.get("attempt-id").unwrap_or_default().to_owned();
        if head
            .get("expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            let refusal = format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            return wire.write(refusal.as_bytes());
        }
        let index = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                id: id.clone(),
                stopped: None,
                answered: None,
            });
            runs.len() - 1
        };
        let work = (self.work)(head.path());
        let budget = head.get("deadline-ms").and_then(|text| text.parse().ok());
        let budget = budget.map_or(Duration::MAX, Duration::from_millis);
        if work.time > budget {
            // It stops work at the value that it receives, and says so.
            thread::sleep(budget + ANSWER_TIME);
            self.runs.lock().unwrap()[index].stopped = Some(budget);
            let answer = format!(
                "HTTP/1.1 504 Gateway Timeout\r\nAttempt-Id: {id}\r\nServer-Seal: {}.{id}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return wire.write(answer.as_bytes());
        }
        thread::sleep(work.time);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: {}.{id}\r\nContent-Length: {}\r\n\r\n",
            self.id, work.bytes
        );
        wire.write(answer.as_bytes())?;
        let part = [b'x'; 64 * 1024];
        let mut left = work.bytes;
        while left > 0 {
            let count = left.min(part.len());
            wire.write(&part[..count])?;
            left -= count;
        }
        self.runs.lock().unwrap()[index].answered = Some(Instant::now());
        Ok(())
    }

    /// The run of a request here, if there was one.
    pub fn run_of(&self, id: &str) -> Option<Run> {
        self.runs
            .lock()
            .unwrap()
            .iter()
            .find(|run| run.id == id)
            .cloned()
    }
}
