//! Responses without a length that arrive while the request is still being sent.

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use filbertwheel_core::SystemClock;
use filbertwheel_http::{Limits, Pool, Request, Response, SendError};
use socket2::SockRef;

const TIMEOUT: Duration = Duration::from_secs(5);
/// Size of the request, which exceeds what the sockets of a connection hold.
const UPLOAD_BYTES: usize = 24 * 1024 * 1024;
/// Number of responses of each kind, since it's left to chance whether the client's read or
/// its write meets a reset first.
const ROUNDS: usize = 30;
/// Time in which the client reads the response and its socket fills up.
const PAUSE: Duration = Duration::from_millis(20);
/// Number of reads from a client that goes on sending.
const READS_BEFORE_RESET: usize = 10;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\n\r\na part of the body";
const BODY: &[u8] = b"a part of the body";

/// What a server does after its response, with the rest of the request unread.
#[derive(Debug, Clone, Copy)]
enum Ending {
    /// Resets the connection while the client waits for room in its socket.
    ResetWhileBlocked,
    /// Resets the connection while the client sends.
    ResetWhileSending,
    /// Closes its direction of the connection.
    HalfClose,
    /// Closes its direction of the connection, and resets it later.
    HalfCloseThenReset,
}

/// Starts a server that answers the beginning of each request and ends the connection.
fn server(ending: Ending) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let thread = std::thread::spawn(move || {
        for _ in 0..ROUNDS {
            let (stream, _) = listener.accept().expect("a client connects");
            respond(stream, ending);
        }
    });
    (address, thread)
}

fn respond(mut stream: TcpStream, ending: Ending) {
    let mut bytes = vec![0; 64 * 1024];
    let mut read = || stream.read(&mut bytes).expect("the client sends");
    assert!(read() > 0);
    stream.write_all(RESPONSE).expect("the client reads");
    match ending {
        Ending::ResetWhileBlocked => {
            std::thread::sleep(PAUSE);
            reset(stream);
        }
        Ending::ResetWhileSending => {
            for _ in 0..READS_BEFORE_RESET {
                let _count = stream.read(&mut bytes).expect("the client sends");
            }
            reset(stream);
        }
        Ending::HalfClose => {
            stream.shutdown(Shutdown::Write).expect("the client reads");
            while stream.read(&mut bytes).is_ok_and(|count| count > 0) {}
        }
        Ending::HalfCloseThenReset => {
            stream.shutdown(Shutdown::Write).expect("the client reads");
            for _ in 0..READS_BEFORE_RESET {
                // The client may have left with its response.
                let _count = stream.read(&mut bytes);
            }
            reset(stream);
        }
    }
}

fn reset(stream: TcpStream) {
    let closing = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    closing.expect("the option can be set");
}

/// Uploads to a server of this kind, each time on a new connection, and returns the outcomes.
fn upload(ending: Ending) -> Vec<Result<Response, SendError>> {
    let (address, thread) = server(ending);
    let request = Request::post("/", vec![b'x'; UPLOAD_BYTES]);
    let pool = Pool::open(address, Limits::default(), Arc::new(SystemClock));
    let send = || pool.exchange(request.clone(), Instant::now() + TIMEOUT);
    let rounds = 0..ROUNDS;
    let outcomes = rounds
        .map(|_| filbertwheel_runtime::block_on(send()))
        .collect();
    thread.join().expect("the server ends");
    outcomes
}

// Guards against a response that ends with its connection, is reset on the way, and passes for
// complete because the reset was noticed by the sending half of the client.
#[test]
fn a_reset_while_the_request_is_sent_does_not_end_a_response() {
    for ending in [Ending::ResetWhileBlocked, Ending::ResetWhileSending] {
        let outcomes = upload(ending);
        let taken = outcomes.iter().filter(|outcome| outcome.is_ok()).count();
        assert_eq!(taken, 0, "{ending:?}: of {ROUNDS} cut responses");
    }
}

// Guards against complete responses that are given up because the rest of the request could not be
// sent.
#[test]
fn a_half_closed_connection_ends_a_response_while_the_request_is_sent() {
    for ending in [Ending::HalfClose, Ending::HalfCloseThenReset] {
        for outcome in upload(ending) {
            let body = outcome.map(|response| response.body);
            assert_eq!(body.as_deref(), Ok(BODY), "{ending:?}");
        }
    }
}
