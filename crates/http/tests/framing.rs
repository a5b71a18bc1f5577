//! Message framing: where one message ends and the next one begins, tested with raw bytes.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use filbertwheel_core::{Clock, SystemClock, Text};
use filbertwheel_http::{
    Handler, Limits, Listener, LocalFuture, Pool, Request, Response, SendError, SendOptions,
    ShutdownTrigger,
};
use proptest::prelude::*;
use smol::LocalExecutor;

const TIMEOUT: Duration = Duration::from_secs(5);

fn limits() -> Limits {
    Limits {
        head_timeout: Duration::from_millis(300),
        drain_time: Duration::ZERO,
        ..Limits::default()
    }
}

/// Responds with the request's body, and records its path and body.
#[derive(Debug, Default)]
struct Echo(Mutex<Vec<(String, Vec<u8>)>>);

impl Handler for Echo {
    fn handle(&self, request: Request) -> LocalFuture<'_, Response> {
        Box::pin(async move {
            let seen = (request.path.to_string(), request.body.to_vec());
            self.0.lock().expect("not poisoned").push(seen);
            Response::new(200, request.body)
        })
    }
}

/// Sends raw bytes to a listener. Returns its responses and the requests that it handled.
fn served(parts: &[&[u8]]) -> (String, Vec<(String, Vec<u8>)>) {
    let (ports, port) = std::sync::mpsc::channel();
    let (trigger, shutdown) = ShutdownTrigger::open();
    let echo = Arc::new(Echo::default());
    let handler = Arc::clone(&echo) as Arc<dyn Handler>;
    let serving = std::thread::spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        filbertwheel_runtime::block_on(executor.run(async {
            let listener = Listener::bind(address, limits(), clock, shutdown).await;
            let listener = listener.expect("a port is free");
            ports.send(listener.address()).expect("the test waits");
            listener.run(Rc::clone(&executor), handler).await;
        }));
    });
    let address = port.recv().expect("the server starts");
    let mut stream = TcpStream::connect(address).expect("the server listens");
    stream.set_nodelay(true).expect("the option can be set");
    for part in parts {
        if stream.write_all(part).is_err() {
            break;
        }
    }
    let _closed = stream.shutdown(std::net::Shutdown::Write);
    let mut answer = Vec::new();
    let _end = stream.read_to_end(&mut answer);
    trigger.trigger();
    serving.join().expect("the server ends");
    let seen = echo.0.lock().expect("not poisoned").clone();
    (String::from_utf8_lossy(&answer).into_owned(), seen)
}

/// Returns the outcomes of exchanges with a server that sends the next of `answers` for each
/// request. The server closes the connection after a response without a `Content-Length`, and
/// after the last one.
fn exchanged(
    answers: Vec<&'static [u8]>,
    options: &SendOptions,
) -> Vec<Result<Response, SendError>> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let count = answers.len();
    std::thread::spawn(move || {
        let mut answers = answers.into_iter();
        while let Ok((mut stream, _)) = listener.accept() {
            let mut bytes = [0; 4_096];
            for answer in answers.by_ref() {
                if !matches!(stream.read(&mut bytes), Ok(1..)) || stream.write_all(answer).is_err()
                {
                    break;
                }
                if !answer.windows(14).any(|part| part == b"Content-Length") {
                    break;
                }
            }
        }
    });
    let pool = Pool::open(address, limits(), Arc::new(SystemClock));
    (0..count)
        .map(|_| filbertwheel_runtime::block_on(pool.send(&Request::get("/"), options)))
        .collect()
}

fn until() -> SendOptions {
    SendOptions::until(Instant::now() + TIMEOUT)
}

#[test]
fn a_request_after_a_chunked_body_is_served_on_the_same_connection() {
    let (answer, seen) = served(&[
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n\
        3;name=value\r\none\r\n2\r\ntw\r\n0\r\nTrailer: x\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
    ]);
    let expected = [
        ("/a".to_owned(), b"onetw".to_vec()),
        ("/b".to_owned(), vec![]),
    ];
    assert_eq!(seen, expected, "{answer}");
    assert_eq!(answer.matches("HTTP/1.1 200").count(), 2, "{answer}");
}

#[test]
fn bare_line_feeds_end_lines() {
    let (answer, seen) = served(&[b"GET /a HTTP/1.1\nHost: h\n\n"]);
    assert_eq!(seen.len(), 1, "{answer}");
}

#[test]
fn smuggled_requests_are_rejected() {
    let requests: [&[u8]; 5] = [
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\nHost: h\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\nx\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\none",
        b"GET / HTTP/1.1\r\nHost : h\r\n\r\n",
    ];
    for request in requests {
        let text = String::from_utf8_lossy(request);
        let (answer, seen) = served(&[request]);
        assert!(answer.starts_with("HTTP/1.1 400 "), "{text} got {answer}");
        assert!(seen.is_empty(), "{text} was handled");
    }
}

#[test]
fn a_response_without_a_length_ends_at_close() {
    let outcomes = exchanged(vec![b"HTTP/1.1 200 OK\r\n\r\none"], &until());
    let body = outcomes[0].as_ref().map(|response| &response.body[..]);
    assert_eq!(body, Ok(&b"one"[..]));
}

#[test]
fn a_connection_reset_does_not_end_a_response() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client connects");
        stream
            .write_all(b"HTTP/1.1 200 OK\r\n\r\non")
            .expect("the client reads");
        std::thread::sleep(Duration::from_millis(50));
        // Closing with unread bytes resets the connection.
        drop(stream);
    });
    let pool = Pool::open(address, limits(), Arc::new(SystemClock));
    let outcome = filbertwheel_runtime::block_on(pool.send(&Request::get("/"), &until()));
    assert_eq!(outcome, Err(SendError::Broken));
}

// Guards against a chunked body whose framing isn't valid HTTP, and that passes for complete.
#[test]
fn a_chunked_response_with_a_broken_line_is_broken() {
    let bodies = [
        "3\r\none\r\n0\r\nX Odd: 1\r\n\r\n",
        "3\r\none\r\n0\r\nX-Odd : 1\r\n\r\n",
        "3\r\none\r\n0\r\nX: 1\r\n X: 1\r\n\r\n",
        "3\r\none\r\n0\r\nX\u{1}: 1\r\n\r\n",
        "3\r\none\r\n0\r\nit's broken glass\r\n\r\n",
        "3\r\r\none\r\n0\r\n\r\n",
        "3\u{b}\r\none\r\n0\r\n\r\n",
        "3\u{a0}\r\none\r\n0\r\n\r\n",
        "3;\0\r\none\r\n0\r\n\r\n",
        "3\r\none\r\r\n0\r\n\r\n",
    ];
    for body in bodies {
        let answer = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{body}");
        let outcomes = exchanged(vec![answer.leak().as_bytes()], &until());
        assert_eq!(outcomes, [Err(SendError::Broken)], "{body:?}");
    }
}

#[test]
fn a_length_with_other_blanks_than_space_and_tab_is_broken() {
    for length in ["3\u{a0}", "\u{2003}3", "3\u{85}", "3, \u{a0}3"] {
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\none");
        let outcomes = exchanged(vec![answer.leak().as_bytes()], &until());
        assert_eq!(outcomes, [Err(SendError::Broken)], "{length:?}");
    }
}

#[test]
fn extensions_and_trailers_of_a_chunked_response_are_ignored() {
    let body = "3 ; name=\"a\tvalue\"\r\none\r\n0\r\nX-Odd: 1\r\nEmpty:\r\n\r\n";
    let answer = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{body}");
    let outcomes = exchanged(vec![answer.leak().as_bytes()], &until());
    let response = outcomes[0].as_ref().expect("the response is complete");
    assert_eq!(
        (&response.body[..], &response.headers[..]),
        (&b"one"[..], &[][..])
    );
}

#[test]
fn a_response_to_another_request_is_discarded() {
    let both: &[u8] = b"HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nodd\
        HTTP/1.1 200 OK\r\nId: new\r\nContent-Length: 3\r\n\r\none";
    let options = SendOptions {
        echo: Some(("id", Text::from_static("new"))),
        ..until()
    };
    let outcomes = exchanged(vec![both], &options);
    let body = outcomes[0].as_ref().map(|response| &response.body[..]);
    assert_eq!(body, Ok(&b"one"[..]));
}

#[test]
fn statuses_without_a_body_have_none() {
    let empty: &[u8] = b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n";
    let cached: &[u8] = b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n";
    let outcomes = exchanged(vec![empty, cached], &until());
    for outcome in outcomes {
        assert!(outcome.expect("the response is complete").body.is_empty());
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Each request gets its own body, regardless of how bodies are split into chunks and the bytes
    /// into writes.
    #[test]
    fn bodies_survive_any_chunking(
        bodies in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..200), 1..4),
        chunk_size in 1usize..60,
        write_size in 1usize..90,
    ) {
        let mut bytes = Vec::new();
        for (index, body) in bodies.iter().enumerate() {
            let head = format!("POST /{index} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
            bytes.extend_from_slice(head.as_bytes());
            for chunk in body.chunks(chunk_size) {
                bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                bytes.extend_from_slice(chunk);
                bytes.extend_from_slice(b"\r\n");
            }
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
        let parts: Vec<&[u8]> = bytes.chunks(write_size).collect();
        let (_, seen) = served(&parts);
        let seen: Vec<Vec<u8>> = seen.into_iter().map(|(_, body)| body).collect();
        prop_assert_eq!(seen, bodies);
    }

    /// No bytes make the server panic or handle anything other than a complete request.
    #[test]
    fn invalid_bytes_are_never_handled(bytes in proptest::collection::vec(any::<u8>(), 1..300)) {
        prop_assume!(!bytes.starts_with(b"GET "));
        let (_, seen) = served(&[&bytes, b"\r\n\r\n"]);
        prop_assert!(seen.is_empty());
    }
}
