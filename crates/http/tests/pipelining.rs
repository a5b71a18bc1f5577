//! Pipelined requests on raw connections: what runs side by side, and the order of the responses.

mod common;

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use filbertwheel_http::{Handler, Limits, LocalFuture, Request, Response, ShutdownTrigger};

use crate::common::TestListener;

const TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time in which requests that may not begin would have begun.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// Largest number of requests of a connection that run side by side.
const MOST_RUNNING: usize = 16;

/// Responds with the path. Paths that start with `/held` wait until the gate is opened, `/big/N` has a
/// body of `N` bytes, `/refused` is refused. Only `GET` and `HEAD` requests may overlap.
#[derive(Debug)]
struct Gated {
    gate: Receiver<()>,
    begun: Mutex<Vec<String>>,
    running: AtomicUsize,
    most_running: AtomicUsize,
    cancelled: AtomicUsize,
}

/// Counts a request whose future is dropped before its response.
struct RunGuard<'a>(&'a Gated, bool);

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
        if !self.1 {
            self.0.cancelled.fetch_add(1, Ordering::SeqCst);
        }
    }
}

impl Gated {
    async fn respond(&self, request: Request) -> Response {
        let path = request.path.to_string();
        self.begun.lock().expect("not poisoned").push(path.clone());
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.most_running.fetch_max(running, Ordering::SeqCst);
        let mut guard = RunGuard(self, false);
        if path.starts_with("/held") {
            let _open = self.gate.recv().await;
        } else {
            smol::future::yield_now().await;
        }
        guard.1 = true;
        match path.strip_prefix("/big/") {
            Some(size) => Response::new(200, vec![b'x'; size.parse().expect("a size")]),
            None if path == "/refused" => Response::new(503, path),
            None => Response::new(200, path),
        }
    }
}

impl Handler for Gated {
    fn handle(&self, request: Request) -> LocalFuture<'_, Response> {
        Box::pin(self.respond(request))
    }

    fn may_overlap(&self, request: &Request) -> bool {
        matches!(request.method.as_bytes(), b"GET" | b"HEAD")
    }
}

/// A listener on its own thread, and one connection to it.
struct Served {
    handler: Arc<Gated>,
    gate: Sender<()>,
    listener: TestListener,
    stream: TcpStream,
    received: Vec<u8>,
}

impl Served {
    fn open() -> Self {
        let (gate, opened) = async_channel::bounded(1);
        let handler = Arc::new(Gated {
            gate: opened,
            begun: Mutex::default(),
            running: AtomicUsize::new(0),
            most_running: AtomicUsize::new(0),
            cancelled: AtomicUsize::new(0),
        });
        let limits = Limits {
            drain_time: Duration::ZERO,
            ..Limits::default()
        };
        let listener = TestListener::spawn(limits, Arc::clone(&handler) as Arc<dyn Handler>);
        let stream = TcpStream::connect(listener.address).expect("the listener accepts");
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("a timeout can be set");
        Self {
            handler,
            gate,
            listener,
            stream,
            received: Vec::new(),
        }
    }

    fn write(&mut self, bytes: &str) {
        let written = self.stream.write_all(bytes.as_bytes());
        written.expect("the listener reads");
    }

    fn open_gate(&self) {
        self.gate.close();
    }

    fn begun(&self) -> Vec<String> {
        self.handler.begun.lock().expect("not poisoned").clone()
    }

    fn wait_for_begun(&self, count: usize) {
        eventually("requests to begin", || self.begun().len() >= count);
    }

    /// Reads the next response, or `None` at the end of the connection. A response to `HEAD` has no
    /// body.
    fn next_response(&mut self, has_body: bool) -> Option<(String, Vec<u8>)> {
        loop {
            let end = self
                .received
                .windows(4)
                .position(|part| part == b"\r\n\r\n");
            if let Some(end) = end {
                let head = String::from_utf8_lossy(&self.received[..end]).into_owned();
                let length = head.split("content-length: ").nth(1);
                let length = length.and_then(|rest| rest.split("\r\n").next()?.parse().ok());
                let length = length.filter(|_| has_body).unwrap_or(0);
                if self.received.len() >= end + 4 + length {
                    let rest = self.received.split_off(end + 4 + length);
                    let body = std::mem::replace(&mut self.received, rest).split_off(end + 4);
                    return Some((head, body));
                }
            }
            let mut bytes = [0; 64 * 1024];
            match self.stream.read(&mut bytes).expect("the listener responds") {
                0 => {
                    assert!(self.received.is_empty(), "a response is truncated");
                    return None;
                }
                count => self.received.extend_from_slice(&bytes[..count]),
            }
        }
    }

    /// Reads one response and returns its body.
    fn next_body(&mut self) -> String {
        let (_, body) = self.next_response(true).expect("a response");
        String::from_utf8(body).expect("a text")
    }

    fn close(self) {
        drop(self.stream);
        self.gate.close();
        self.listener.close();
    }
}

fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < until, "waited in vain for {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n")
}

// Guards against a slow first request that delays those behind it, and against responses that overtake
// it.
#[test]
fn requests_behind_a_slow_one_run_at_once_and_are_answered_in_order() {
    let mut served = Served::open();
    served.write(&(get("/held") + &get("/a") + &get("/refused") + &get("/b")));
    served.wait_for_begun(4);
    eventually("the others to complete", || {
        served.handler.running.load(Ordering::SeqCst) == 1
    });
    served.open_gate();
    for expected in ["/held", "/a", "/refused", "/b"] {
        assert_eq!(served.next_body(), expected);
    }
    served.close();
}

// Guards against responses of different sizes that are mixed or cut.
#[test]
fn responses_of_all_sizes_keep_their_order() {
    let mut served = Served::open();
    let sizes = [0, 100_000, 1, 300_000, 7, 65_536, 0, 3];
    let requests = sizes.iter().map(|size| get(&format!("/big/{size}")));
    served.write(&(get("/held") + &requests.collect::<String>()));
    served.wait_for_begun(2);
    served.open_gate();
    assert_eq!(served.next_body(), "/held");
    for size in sizes {
        assert_eq!(served.next_body().len(), size);
    }
    served.close();
}

// Guards against requests that are passed on behind a response that closes the connection: their
// callers send them again, whatever their kind.
#[test]
fn nothing_begins_behind_a_request_that_closes() {
    let mut served = Served::open();
    let closing = "GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    served.write(&(get("/held") + closing + &get("/never")));
    served.wait_for_begun(2);
    std::thread::sleep(SETTLE_TIME);
    served.open_gate();
    assert_eq!(served.next_body(), "/held");
    let (head, body) = served.next_response(true).expect("a response");
    assert!(head.contains("connection: close"), "{head}");
    assert_eq!(body, b"/last");
    assert_eq!(served.next_response(true), None);
    assert_eq!(served.begun(), ["/held", "/last"]);
    served.close();
}

// Guards against a malformed message that discards the responses before it, or whose response is
// lost because the client is still sending.
#[test]
fn a_malformed_message_is_rejected_in_its_turn() {
    let mut served = Served::open();
    let malformed = "GET /b HTTP/1.1\r\nHost : a\r\n\r\n";
    served.write(&(get("/held") + &get("/a") + malformed + &get("/never").repeat(100)));
    served.wait_for_begun(2);
    served.open_gate();
    assert_eq!(served.next_body(), "/held");
    assert_eq!(served.next_body(), "/a");
    let (head, _) = served.next_response(true).expect("a response");
    assert!(head.starts_with("HTTP/1.1 400 "), "{head}");
    assert_eq!(served.next_response(true), None);
    assert_eq!(served.begun().len(), 2);
    served.close();
}

// Guards against a connection that starts all it is sent.
#[test]
fn a_thousand_requests_in_one_write_are_answered_in_order() {
    let mut served = Served::open();
    let paths: Vec<_> = (0..1_000).map(|number| format!("/{number}")).collect();
    served.write(&(get("/held") + &paths.iter().map(|path| get(path)).collect::<String>()));
    served.wait_for_begun(MOST_RUNNING);
    std::thread::sleep(SETTLE_TIME);
    assert_eq!(served.begun().len(), MOST_RUNNING);
    served.open_gate();
    assert_eq!(served.next_body(), "/held");
    for path in paths {
        assert_eq!(served.next_body(), path);
    }
    let most = served.handler.most_running.load(Ordering::SeqCst);
    assert!(most <= MOST_RUNNING, "{most} requests ran side by side");
    served.close();
}

// Guards against bytes of a body that are taken for a request, and against responses without a body
// that shift the ones behind them.
#[test]
fn bodies_where_none_may_be_shift_nothing() {
    let mut served = Served::open();
    let inner = get("/smuggled");
    let with_body = format!(
        "GET /a HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{inner}",
        inner.len()
    );
    let head = "HEAD /big/100 HTTP/1.1\r\nHost: a\r\n\r\n";
    served.write(&(get("/held") + &with_body + head + &get("/b") + "stray bytes\r\n\r\n"));
    served.wait_for_begun(4);
    served.open_gate();
    assert_eq!(served.next_body(), "/held");
    assert_eq!(served.next_body(), "/a");
    let (head, _) = served.next_response(false).expect("a response");
    assert!(head.contains("content-length: 100"), "{head}");
    assert_eq!(served.next_body(), "/b");
    let (head, _) = served.next_response(true).expect("a response");
    assert!(head.starts_with("HTTP/1.1 400 "), "{head}");
    assert_eq!(served.next_response(true), None);
    assert_eq!(served.begun(), ["/held", "/a", "/big/100", "/b"]);
    served.close();
}

// Guards against a request that runs at most once beside others: if one before it closed the
// connection, it would have run and would be sent again.
#[test]
fn a_request_that_may_not_overlap_runs_alone() {
    let mut served = Served::open();
    let order = "POST /held/order HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\none";
    served.write(&(get("/held/a") + order + &get("/b")));
    served.wait_for_begun(1);
    std::thread::sleep(SETTLE_TIME);
    assert_eq!(served.begun(), ["/held/a"]);
    served.gate.send_blocking(()).expect("the gate is open");
    assert_eq!(served.next_body(), "/held/a");
    served.wait_for_begun(2);
    std::thread::sleep(SETTLE_TIME);
    assert_eq!(served.begun(), ["/held/a", "/held/order"]);
    served.gate.send_blocking(()).expect("the gate is open");
    assert_eq!(served.next_body(), "/held/order");
    assert_eq!(served.next_body(), "/b");
    served.close();
}

// Guards against work that goes on for a client that has left.
#[test]
fn all_requests_are_cancelled_when_the_client_leaves() {
    let mut served = Served::open();
    served.write(&(get("/held/a") + &get("/held/b") + &get("/held/c")));
    served.wait_for_begun(3);
    let left = served.stream.shutdown(std::net::Shutdown::Both);
    left.expect("the connection is open");
    eventually("all to be cancelled", || {
        served.handler.cancelled.load(Ordering::SeqCst) == 3
    });
    served.close();
}

// Guards against responses that a stop discards, and against requests that it takes and loses.
#[test]
fn what_has_begun_is_answered_when_the_listener_stops() {
    let mut served = Served::open();
    served.write(&(get("/held/a") + &get("/held/b")));
    served.wait_for_begun(2);
    let (unused, _) = ShutdownTrigger::open();
    std::mem::replace(&mut served.listener.trigger, unused).trigger();
    served.write(&get("/never"));
    std::thread::sleep(SETTLE_TIME);
    served.open_gate();
    let (head, body) = served.next_response(true).expect("a response");
    assert!(!head.contains("connection: close"), "{head}");
    assert_eq!(body, b"/held/a");
    let (head, body) = served.next_response(true).expect("a response");
    assert!(head.contains("connection: close"), "{head}");
    assert_eq!(body, b"/held/b");
    assert_eq!(served.next_response(true), None);
    assert_eq!(served.begun(), ["/held/a", "/held/b"]);
    served.close();
}

// Guards against a client that sends without reading, for which the responses would pile up.
#[test]
fn requests_of_a_client_that_does_not_read_wait() {
    const REQUESTS: usize = 200;
    const SIZE: usize = 256 * 1024;
    const MOST_BEGUN: usize = REQUESTS / 2;
    let mut served = Served::open();
    served.write(&get(&format!("/big/{SIZE}")).repeat(REQUESTS));
    served.wait_for_begun(2);
    std::thread::sleep(SETTLE_TIME);
    let begun = served.begun().len();
    assert!(begun < MOST_BEGUN, "{begun} of {REQUESTS} have begun");
    for _ in 0..REQUESTS {
        assert_eq!(served.next_body().len(), SIZE);
    }
    served.close();
}

// Guards against large responses that wait behind a slow request and fill the memory.
#[test]
fn a_response_too_large_to_wait_closes_the_connection() {
    const SIZE: usize = 3 * 1024 * 1024;
    let mut served = Served::open();
    served.write(&(get("/held") + &get(&format!("/big/{SIZE}")).repeat(3)));
    served.wait_for_begun(3);
    eventually("the others to complete", || {
        served.handler.running.load(Ordering::SeqCst) == 1
    });
    served.open_gate();
    assert_eq!(served.next_body(), "/held");
    assert_eq!(served.next_body().len(), SIZE);
    assert_eq!(served.next_response(true), None);
    served.close();
}
