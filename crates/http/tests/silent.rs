//! Detection of stalled connections: the client gets no byte on them, but new connections succeed.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertwheel_core::SystemClock;
use filbertwheel_http::{Limits, Pool, Request, Response, SendError, StallPolicy};

const COMPLETE_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none";
const PROCESSING: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";
const TIMEOUT: Duration = Duration::from_millis(600);
const PROGRESS_INTERVAL: Duration = Duration::from_millis(40);

/// Starts a server whose first `stalled` connections stop responding after `answered` responses.
/// Later connections respond to every request.
fn server(stalled: usize, answered: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        let mut accepted = 0;
        while let Ok((stream, _)) = listener.accept() {
            accepted += 1;
            let answers = if accepted > stalled {
                usize::MAX
            } else {
                answered
            };
            std::thread::spawn(move || answer(stream, answers));
        }
    });
    address
}

fn answer(mut stream: TcpStream, answers: usize) {
    let mut bytes = [0; 4_096];
    for _ in 0..answers {
        if !matches!(stream.read(&mut bytes), Ok(1..))
            || stream.write_all(COMPLETE_RESPONSE).is_err()
        {
            return;
        }
    }
    // Stays open without a response until the client closes the connection.
    while matches!(stream.read(&mut bytes), Ok(1..)) {}
}

fn open(address: SocketAddr, progress_interval: Option<Duration>) -> Pool {
    let limits = Limits {
        progress_interval,
        ..Limits::default()
    };
    Pool::open(address, limits, Arc::new(SystemClock))
}

fn get(pool: &Pool, on_stall: StallPolicy) -> Result<Response, SendError> {
    let deadline = Instant::now() + TIMEOUT;
    filbertwheel_runtime::block_on(pool.exchange_with(Request::get("/"), deadline, on_stall))
}

#[test]
fn a_stalled_connection_is_aborted_before_the_deadline() {
    let pool = open(server(1, 1), None);
    assert!(get(&pool, StallPolicy::Abort).is_ok());
    assert_eq!(get(&pool, StallPolicy::Abort), Err(SendError::Lost));
    assert!(get(&pool, StallPolicy::Abort).is_ok());
}

#[test]
fn a_request_that_must_not_run_twice_waits_for_its_deadline() {
    let pool = open(server(2, 1), None);
    let deadline = Instant::now() + TIMEOUT;
    let exchange = || pool.exchange(Request::get("/"), deadline);
    let both = filbertwheel_runtime::block_on(futures_lite::future::zip(exchange(), exchange()));
    assert!(both.0.is_ok() && both.1.is_ok());
    // The request uses one of the two idle connections. Both are stalled; the other one is
    // discarded, so that the next request opens a new connection.
    assert_eq!(get(&pool, StallPolicy::Wait), Err(SendError::Late));
    assert!(get(&pool, StallPolicy::Wait).is_ok());
}

#[test]
fn a_slow_response_on_a_new_connection_is_no_stall() {
    let pool = open(server(1, 0), None);
    assert_eq!(get(&pool, StallPolicy::Abort), Err(SendError::Late));
}

#[test]
fn a_connection_without_progress_responses_is_lost() {
    let pool = open(server(1, 0), Some(PROGRESS_INTERVAL));
    assert_eq!(get(&pool, StallPolicy::Wait), Err(SendError::Lost));
    assert!(get(&pool, StallPolicy::Wait).is_ok());
}

#[test]
fn progress_responses_keep_a_request_waiting() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut bytes = [0; 4_096];
        assert!(matches!(stream.read(&mut bytes), Ok(1..)));
        for _ in 0..6 {
            std::thread::sleep(PROGRESS_INTERVAL);
            stream.write_all(PROCESSING).expect("the client reads");
        }
        stream
            .write_all(COMPLETE_RESPONSE)
            .expect("the client reads");
    });
    let pool = open(address, Some(PROGRESS_INTERVAL));
    let response = get(&pool, StallPolicy::Wait);
    assert_eq!(response.map(|response| response.body), Ok("one".into()));
    server.join().expect("the server ends");
}

#[test]
fn an_unexpected_progress_response_is_malformed() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut bytes = [0; 4_096];
        assert!(matches!(stream.read(&mut bytes), Ok(1..)));
        let _closed = stream.write_all(PROCESSING);
    });
    let pool = open(address, None);
    assert_eq!(get(&pool, StallPolicy::Wait), Err(SendError::Broken));
}
