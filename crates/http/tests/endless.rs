//! Servers and clients that send bytes without end.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use filbertwheel_core::{Clock, SystemClock, Text};
use filbertwheel_http::{
    Handler, Limits, Listener, LocalFuture, Pool, Request, Response, SendError, SendOptions,
    ShutdownTrigger,
};
use smol::LocalExecutor;

/// Deadline of the requests. Bytes without end are given up well before it.
const DEADLINE: Duration = Duration::from_secs(20);
/// Time in which bytes without end are given up.
const GIVE_UP_TIME: Duration = Duration::from_secs(5);
const HEAD_BYTES: usize = 64 * 1024;
const BODY_BYTES: usize = 1024 * 1024;
const TOTAL_BYTES: usize = 16 * 1024 * 1024;
const STALLED_BYTES: usize = 4 * 1024 * 1024;
/// What the sockets of a loopback connection may hold.
const SOCKET_BYTES: usize = 16 * 1024 * 1024;
/// Bytes after which a sender that is never cut off stops.
const SENT_LIMIT: usize = 512 * 1024 * 1024;

const OK_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\n";
const SMALL_RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";

fn limits() -> Limits {
    Limits {
        head_bytes: HEAD_BYTES,
        body_bytes: BODY_BYTES,
        total_bytes: TOTAL_BYTES,
        drain_time: Duration::ZERO,
        ..Limits::default()
    }
}

fn clock() -> Arc<dyn Clock> {
    Arc::new(SystemClock)
}

/// Sends `begin`, then `repeated` until the other end closes. Returns the number of bytes.
fn send_endlessly(mut stream: TcpStream, begin: &[u8], repeated: &[u8]) -> usize {
    let block = repeated.repeat(64 * 1024 / repeated.len() + 1);
    let mut sent = 0;
    let mut next = begin;
    while sent < SENT_LIMIT {
        if stream.write_all(next).is_err() {
            return sent;
        }
        sent += next.len();
        next = &block;
    }
    sent
}

/// Starts a server that answers one connection without end. The thread returns the number of bytes
/// sent.
fn server(begin: &'static [u8], repeated: &'static [u8]) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let thread = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client connects");
        let mut request = [0; 4_096];
        let _received = stream.read(&mut request);
        send_endlessly(stream, begin, repeated)
    });
    (address, thread)
}

fn exchange(pool: &Pool) -> Result<Response, SendError> {
    exchange_until(pool, DEADLINE)
}

fn exchange_until(pool: &Pool, time: Duration) -> Result<Response, SendError> {
    let options = SendOptions {
        echo: Some(("attempt-id", Text::from("one"))),
        ..SendOptions::until(Instant::now() + time)
    };
    filbertwheel_runtime::block_on(pool.send(&Request::get("/"), &options))
}

/// Checks that a response without end is reported as broken, in time, and ends its connection.
fn check_endless(what: &str, begin: &'static [u8], repeated: &'static [u8], most: usize) {
    let (address, thread) = server(begin, repeated);
    let began = Instant::now();
    let outcome = exchange(&Pool::open(address, limits(), clock()));
    assert_eq!(outcome, Err(SendError::Broken), "{what}");
    assert!(
        began.elapsed() < GIVE_UP_TIME,
        "{what}: {:?}",
        began.elapsed()
    );
    let sent = thread.join().expect("the server ends");
    assert!(
        sent <= most + SOCKET_BYTES,
        "{what}: {sent} bytes were taken"
    );
}

// Guards against a server in trouble whose head never ends: a long line, many lines, interim
// responses, or responses to other requests.
#[test]
fn a_head_without_end_is_given_up() {
    check_endless("a start line", b"HTTP/1.1 200 ", b"O", HEAD_BYTES);
    check_endless("a header", b"HTTP/1.1 200 OK\r\nX: ", b"y", HEAD_BYTES);
    check_endless("headers", OK_HEAD, b"X: y\r\n", HEAD_BYTES);
    check_endless("no protocol", b"", b"\0\xff", HEAD_BYTES);
    check_endless("empty lines", b"", b"\r\n", HEAD_BYTES);
    check_endless(
        "interim responses",
        b"",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        HEAD_BYTES,
    );
    let other = b"HTTP/1.1 200 OK\r\nAttempt-Id: two\r\nContent-Length: 1\r\n\r\nx";
    check_endless("responses to others", b"", other, HEAD_BYTES);
}

// Guards against a server in trouble whose body never ends, with each framing.
#[test]
fn a_body_without_end_is_given_up() {
    check_endless("until close", b"HTTP/1.1 200 OK\r\n\r\n", b"x", BODY_BYTES);
    let length = b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999\r\n\r\n";
    check_endless("a length", length, b"x", BODY_BYTES);
    let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    check_endless("small chunks", chunked, b"1\r\nx\r\n", 6 * BODY_BYTES);
    let large = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffff0\r\n";
    check_endless("a large chunk", large, b"x", BODY_BYTES);
    check_endless("a chunk size", chunked, b"0", HEAD_BYTES);
    let trailer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    check_endless("a trailer line", trailer, b"x", HEAD_BYTES);
    check_endless("trailer lines", trailer, b"X: y\r\n", HEAD_BYTES);
}

/// Starts a server that answers the first request of each connection, and sends bytes that are no
/// response once the next one has arrived.
fn stray_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a client connects");
            std::thread::spawn(move || {
                let mut request = [0; 4_096];
                let whole = b"HTTP/1.1 200 OK\r\nAttempt-Id: one\r\nContent-Length: 2\r\n\r\nok";
                let answered = stream.read(&mut request).is_ok() && stream.write_all(whole).is_ok();
                if answered && stream.read(&mut request).is_ok_and(|count| count > 0) {
                    send_endlessly(stream, b"", b"stray");
                }
            });
        }
    });
    address
}

// Guards against requests that fail one after another because connections are reused on which a server
// in trouble sends bytes after a whole response.
#[test]
fn connections_are_not_reused_while_a_server_sends_stray_bytes() {
    let pool = Pool::open(stray_server(), limits(), clock());
    let outcomes: Vec<_> = (0..40).map(|_| exchange(&pool)).collect();
    let broken = outcomes.iter().filter(|outcome| outcome.is_err()).count();
    assert!(broken <= 1, "{broken} of 40 requests failed");
}

/// Starts a server that sends the first `stalled` clients 4 MiB of a body without its end, and the
/// others a small response.
fn stalling_server(stalled: usize, others: usize) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let thread = std::thread::spawn(move || {
        let connections = (0..stalled + others).map(|number| {
            let (mut stream, _) = listener.accept().expect("a client connects");
            std::thread::spawn(move || {
                let mut request = [0; 4_096];
                let _received = stream.read(&mut request);
                if number >= stalled {
                    stream.write_all(SMALL_RESPONSE).expect("the client reads");
                    return;
                }
                let _cut = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
                let _cut = stream.write_all(&vec![b'x'; STALLED_BYTES]);
                let _end = stream.read(&mut request);
            })
        });
        let connections: Vec<JoinHandle<()>> = connections.collect();
        for connection in connections {
            connection.join().expect("the sender ends");
        }
    });
    (address, thread)
}

// Guards against many large bodies that together exceed the memory of a VM, and that harm other
// requests to the same server.
#[test]
fn large_bodies_share_a_bounded_memory() {
    const STALLED: usize = 24;
    const OTHERS: usize = 8;
    const FITTING: usize = TOTAL_BYTES / STALLED_BYTES;
    let (address, thread) = stalling_server(STALLED, OTHERS);
    let limits = Limits {
        body_bytes: TOTAL_BYTES,
        ..limits()
    };
    let pool = Arc::new(Pool::open(address, limits, clock()));
    let clients = (0..STALLED + OTHERS).map(|_| {
        let pool = Arc::clone(&pool);
        std::thread::spawn(move || exchange_until(&pool, Duration::from_secs(3)))
    });
    let clients: Vec<_> = clients.collect();
    let outcomes = clients.into_iter().map(|client| client.join());
    let outcomes: Vec<_> = outcomes
        .map(|outcome| outcome.expect("the client ends"))
        .collect();
    let small = outcomes.iter().flatten();
    assert_eq!(
        small.filter(|response| response.body == "ok").count(),
        OTHERS
    );
    let held = outcomes.iter().filter(|one| **one == Err(SendError::Late));
    assert!(held.count() <= FITTING, "{outcomes:?}");
    thread.join().expect("the server ends");
}

#[derive(Debug)]
struct Echo;

impl Handler for Echo {
    fn handle(&self, request: Request) -> LocalFuture<'_, Response> {
        Box::pin(async move { Response::new(200, request.body) })
    }
}

// Guards against callers and reports without end, which would fill the memory or keep a task.
#[test]
fn requests_without_end_are_rejected() {
    let (stopper, stop) = ShutdownTrigger::open();
    let (sender, receiver) = std::sync::mpsc::channel();
    let served = std::thread::spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        filbertwheel_runtime::block_on(executor.run(async {
            let address = "127.0.0.1:0".parse().expect("an address");
            let listener = Listener::bind(address, limits(), clock(), stop).await;
            let listener = listener.expect("a port is free");
            sender.send(listener.address()).expect("the test waits");
            listener.run(Rc::clone(&executor), Arc::new(Echo)).await;
        }));
    });
    let address = receiver.recv().expect("the listener is bound");
    let chunked = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    let cases: [(&str, &[u8], &[u8]); 6] = [
        ("a start line", b"GET /", b"x"),
        ("headers", b"GET / HTTP/1.1\r\n", b"X: y\r\n"),
        ("no protocol", b"", b"\0\xff"),
        ("chunks", chunked, b"1000\r\n"),
        ("small chunks", chunked, b"1\r\nx\r\n"),
        (
            "a length",
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 999999999\r\n\r\n",
            b"x",
        ),
    ];
    for (what, begin, repeated) in cases {
        let stream = TcpStream::connect(address).expect("the listener accepts");
        let began = Instant::now();
        let sent = send_endlessly(stream, begin, repeated);
        assert!(
            sent <= 6 * BODY_BYTES + SOCKET_BYTES,
            "{what}: {sent} bytes were taken"
        );
        assert!(
            began.elapsed() < GIVE_UP_TIME,
            "{what}: {:?}",
            began.elapsed()
        );
        let pool = Pool::open(address, limits(), clock());
        let deadline = Instant::now() + DEADLINE;
        let other = filbertwheel_runtime::block_on(pool.exchange(Request::get("/"), deadline));
        assert_eq!(
            other.map(|response| response.status),
            Ok(200),
            "after {what}"
        );
    }
    stopper.trigger();
    served.join().expect("the listener ends");
}
