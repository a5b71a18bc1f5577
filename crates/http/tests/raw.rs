//! Client and server against raw bytes on loopback connections.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use filbertwheel_core::{Clock, SystemClock};
use filbertwheel_http::{
    Connection, Handler, Limits, Listener, LocalFuture, Pool, Request, Response, SendError,
    ShutdownTrigger,
};
use smol::LocalExecutor;

const BODY_LIMIT: usize = 1_000;
const TIMEOUT: Duration = Duration::from_secs(5);

fn limits() -> Limits {
    Limits {
        body_bytes: BODY_LIMIT,
        head_timeout: Duration::from_millis(300),
        body_timeout: Duration::from_millis(300),
        drain_time: Duration::ZERO,
        ..Limits::default()
    }
}

fn clock() -> Arc<dyn Clock> {
    Arc::new(SystemClock)
}

/// Starts a server that accepts one connection per script. On each connection it responds to every
/// request with the next bytes of the script, then closes. The thread returns the number of
/// requests.
fn server(scripts: Vec<Vec<&'static [u8]>>) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let thread = std::thread::spawn(move || {
        let mut requests = 0;
        for script in scripts {
            let (mut stream, _) = listener.accept().expect("a client connects");
            let mut bytes = [0; 4_096];
            for answer in script {
                if !matches!(stream.read(&mut bytes), Ok(1..)) {
                    break;
                }
                requests += 1;
                stream.write_all(answer).expect("the client reads");
            }
        }
        requests
    });
    (address, thread)
}

fn get(pool: &Pool) -> Result<Response, SendError> {
    filbertwheel_runtime::block_on(pool.exchange(Request::get("/"), Instant::now() + TIMEOUT))
}

/// Returns the outcome of one exchange with a server that sends these bytes and closes.
fn outcome(answer: &'static [u8]) -> Result<Response, SendError> {
    let (address, thread) = server(vec![vec![answer]]);
    let outcome = get(&Pool::open(address, limits(), clock()));
    thread.join().expect("the server ends");
    outcome
}

const WRONG_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nodd";
const COMPLETE_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none";

#[test]
fn a_complete_response_is_returned() {
    let response = outcome(COMPLETE_RESPONSE).expect("the response is complete");
    assert_eq!((response.status, &response.body[..]), (200, &b"one"[..]));
    assert_eq!(response.headers, vec![]);
    let chunked =
        outcome(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n");
    assert_eq!(chunked.map(|response| response.body), Ok("one".into()));
}

#[test]
fn incomplete_or_malformed_responses_are_broken() {
    let answers: [&[u8]; 10] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\none",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 1\r\n\r\none",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3, 1\r\n\r\none",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\none",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\none",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\non",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"it's broken glass\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n",
    ];
    for answer in answers {
        let text = String::from_utf8_lossy(answer);
        assert_eq!(outcome(answer), Err(SendError::Broken), "{text}");
    }
}

// Guards against a response with a status that no response can have, which the caller would get as its
// answer.
#[test]
fn responses_with_odd_statuses_are_broken() {
    let statuses = [
        "000", "099", "101", "199", "600", "999", "20", "2000", "+20", "-20", "2x0", "abc", "",
    ];
    for status in statuses {
        let answer = format!("HTTP/1.1 {status} OK\r\nContent-Length: 3\r\n\r\none");
        let outcome = outcome(answer.leak().as_bytes());
        assert_eq!(outcome, Err(SendError::Broken), "status {status:?}");
    }
    let bare = outcome(b"HTTP/1.1\r\nContent-Length: 3\r\n\r\none");
    assert_eq!(bare, Err(SendError::Broken));
}

#[test]
fn a_close_without_a_response_is_lost() {
    assert_eq!(outcome(b""), Err(SendError::Lost));
}

#[test]
fn a_refused_connection_is_reported_as_not_sent() {
    let (address, thread) = server(vec![]);
    thread.join().expect("the server ends");
    let outcome = get(&Pool::open(address, limits(), clock()));
    assert_eq!(outcome, Err(SendError::NotSent));
}

#[test]
fn extra_bytes_after_a_response_are_discarded() {
    let twice: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none\
        HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nodd";
    let (address, thread) = server(vec![vec![twice, WRONG_RESPONSE], vec![COMPLETE_RESPONSE]]);
    let pool = Pool::open(address, limits(), clock());
    for _ in 0..2 {
        assert_eq!(get(&pool).map(|response| response.body), Ok("one".into()));
    }
    assert_eq!(thread.join().expect("the server ends"), 2);
}

#[test]
fn a_late_response_is_discarded() {
    let (address, thread) = server(vec![vec![b"", COMPLETE_RESPONSE], vec![COMPLETE_RESPONSE]]);
    let pool = Pool::open(address, limits(), clock());
    let soon = Instant::now() + Duration::from_millis(50);
    let late = filbertwheel_runtime::block_on(pool.exchange(Request::get("/"), soon));
    assert_eq!(late, Err(SendError::Late));
    assert_eq!(get(&pool).map(|response| response.body), Ok("one".into()));
    assert_eq!(thread.join().expect("the server ends"), 2);
}

#[test]
fn a_connection_that_was_closed_while_idle_is_replaced() {
    let (address, thread) = server(vec![vec![COMPLETE_RESPONSE], vec![COMPLETE_RESPONSE]]);
    let pool = Pool::open(address, limits(), clock());
    assert!(get(&pool).is_ok());
    // The server closes the first connection, then accepts the second.
    std::thread::sleep(Duration::from_millis(50));
    assert!(get(&pool).is_ok());
    assert_eq!(thread.join().expect("the server ends"), 2);
}

#[test]
fn a_connection_is_reused_after_a_complete_response() {
    let (address, thread) = server(vec![vec![
        COMPLETE_RESPONSE,
        COMPLETE_RESPONSE,
        COMPLETE_RESPONSE,
    ]]);
    let pool = Pool::open(address, limits(), clock());
    for _ in 0..3 {
        assert!(get(&pool).is_ok());
    }
    assert_eq!(thread.join().expect("the server ends"), 3);
}

/// Responds with the request's body, and records its path.
#[derive(Debug, Default)]
struct Echo {
    paths: Mutex<Vec<String>>,
}

impl Handler for Echo {
    fn handle(&self, request: Request) -> LocalFuture<'_, Response> {
        Box::pin(async move {
            let path = request.path.to_string();
            self.paths.lock().expect("not poisoned").push(path);
            Response::new(200, request.body)
        })
    }
}

/// Sends raw bytes to a listener. Returns the bytes received until the listener closed the
/// connection or the read timed out, and the paths of the handled requests.
fn sent(bytes: &[u8]) -> (String, Vec<String>) {
    let (ports, port) = std::sync::mpsc::channel();
    let (trigger, shutdown) = ShutdownTrigger::open();
    let echo = Arc::new(Echo::default());
    let handler = Arc::clone(&echo) as Arc<dyn Handler>;
    let serving = std::thread::spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        filbertwheel_runtime::block_on(executor.run(async {
            let listener = Listener::bind(address, limits(), clock(), shutdown).await;
            let listener = listener.expect("a port is free");
            ports.send(listener.address()).expect("the test waits");
            listener.run(Rc::clone(&executor), handler).await;
        }));
    });
    let address = port.recv().expect("the server starts");
    let mut stream = TcpStream::connect(address).expect("the server listens");
    stream.write_all(bytes).expect("the server reads");
    stream
        .set_read_timeout(Some(Duration::from_secs(1)))
        .expect("a timeout can be set");
    let mut answer = Vec::new();
    // If the connection stays open for the next request, reading ends with the timeout.
    let _timeout = stream.read_to_end(&mut answer);
    drop(stream);
    trigger.trigger();
    serving.join().expect("the server ends");
    let paths = echo.paths.lock().expect("not poisoned").clone();
    (String::from_utf8_lossy(&answer).into_owned(), paths)
}

#[test]
fn incomplete_or_malformed_requests_are_rejected() {
    let long = format!("GET /{} HTTP/1.1\r\nHost: a\r\n\r\n", "x".repeat(9_000));
    let requests: [(&[u8], &str); 12] = [
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\none", "408"),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 1\r\n\r\none", "400"),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\none", "400"),
        (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\none", "400"),
        (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400"),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -3\r\n\r\none", "400"),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n", "413"),
        (b"it's broken glass\r\n\r\n", "400"),
        (b"GET /\xc3\xa9 HTTP/1.1\r\nHost: a\r\n\r\n", "400"),
        (b"GET / HTTP/1.0\r\nHost: a\r\n\r\n", "400"),
        (b"GET / HTTP/1.1\r\n\r\n", "400"),
        (long.as_bytes(), "431"),
    ];
    for (request, status) in requests {
        let text = String::from_utf8_lossy(request);
        let (answer, paths) = sent(request);
        let expected = format!("HTTP/1.1 {status} ");
        assert!(answer.starts_with(&expected), "{text} got {answer}");
        assert_eq!(
            answer.matches("HTTP/1.1 4").count(),
            1,
            "{text} got {answer}"
        );
        assert!(paths.is_empty(), "{text} was handled");
    }
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let (answer, paths) = sent(
        b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\none\
        POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\ntwo",
    );
    assert_eq!(paths, ["/a", "/b"]);
    let one = answer
        .find("one")
        .expect("the first request has a response");
    let two = answer
        .find("two")
        .expect("the second request has a response");
    assert!(one < two, "{answer}");
}

#[test]
fn expect_continue_is_answered_without_a_global_executor() {
    let (answer, paths) = sent(
        b"POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\none",
    );
    assert!(
        answer.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK"),
        "{answer}"
    );
    assert_eq!(paths, ["/a"]);
    assert_eq!(global_threads(), 0);
}

/// Returns the number of threads of a global async executor, which an HTTP codec could start.
fn global_threads() -> usize {
    let tasks = std::fs::read_dir("/proc/self/task").expect("threads can be listed");
    let names =
        tasks.filter_map(|task| std::fs::read_to_string(task.ok()?.path().join("comm")).ok());
    names
        .filter(|name| name.starts_with("async-global"))
        .count()
}

#[test]
fn both_ends_disable_nagles_algorithm() {
    filbertwheel_runtime::block_on(async {
        let listener = filbertwheel_runtime::TcpListener::bind(([127, 0, 0, 1], 0).into());
        let listener = listener.expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let opened = filbertwheel_runtime::TcpStream::connect(address).await;
        let (accepted, _) = listener.accept().await.expect("a client connects");
        for stream in [opened.expect("the server listens"), accepted] {
            assert!(!stream.nodelay().expect("the option can be read"));
            let connection = Connection::open(stream).expect("the option can be set");
            assert!(
                connection
                    .stream()
                    .nodelay()
                    .expect("the option can be read")
            );
        }
    });
}

/// Whether a byte may be part of a header's name (RFC 9110, section 5.6.2).
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

// Guards against a head whose broken lines are passed on to the caller, or change where its body ends.
#[test]
fn responses_with_a_broken_header_name_are_broken() {
    let name = "a-name-that-fills-more-than-a-vector-register";
    for byte in (0..=u8::MAX).filter(|byte| !is_token(*byte) && !b":\n".contains(byte)) {
        for at in [0, 1, 7, 15, 16, 31, 32, name.len()] {
            let mut answer = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n".to_vec();
            answer.extend_from_slice(&name.as_bytes()[..at]);
            answer.push(byte);
            answer.extend_from_slice(&name.as_bytes()[at..]);
            answer.extend_from_slice(b": 1\r\n\r\none");
            let outcome = outcome(answer.leak());
            assert_eq!(outcome, Err(SendError::Broken), "{byte:#x} at {at}");
        }
    }
}
