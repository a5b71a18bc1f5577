//! Clients that read slowly.

mod common;

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use filbertwheel_http::{Handler, Limits, LocalFuture, Request, Response};

use crate::common::TestListener;

const HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// More than the sockets of a loopback connection hold.
const BODY_BYTES: usize = 48 * 1024 * 1024;
/// Pauses of the client. All of them together take several times the head timeout.
const PAUSE: Duration = Duration::from_millis(60);
const BYTES_PER_PAUSE: usize = 1024 * 1024;

/// Responds with a large body.
#[derive(Debug)]
struct Large;

impl Handler for Large {
    fn handle(&self, _request: Request) -> LocalFuture<'_, Response> {
        Box::pin(async { Response::new(200, vec![b'x'; BODY_BYTES]) })
    }
}

fn head_len(bytes: &[u8]) -> usize {
    let end = bytes.windows(4).position(|part| part == b"\r\n\r\n");
    end.expect("the head is sent first") + 4
}

/// Requests the large body and returns the number of body bytes received, with a pause before every
/// `BYTES_PER_PAUSE` bytes, and one before the first.
fn received(first_pause: Duration, pause: Duration) -> usize {
    let limits = Limits {
        head_timeout: HEAD_TIMEOUT,
        ..Limits::default()
    };
    let listener = TestListener::spawn(limits, Arc::new(Large));
    let mut stream = TcpStream::connect(listener.address).expect("the listener accepts");
    let request = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    stream.write_all(request).expect("the listener reads");
    std::thread::sleep(first_pause);
    let mut bytes = vec![0; BYTES_PER_PAUSE];
    // The head is sent in one write, the large body behind it in others.
    let count = stream.read(&mut bytes).expect("the listener responds");
    let (mut received, mut next_pause) = (count - head_len(&bytes[..count]), BYTES_PER_PAUSE);
    while let Ok(count @ 1..) = stream.read(&mut bytes) {
        received += count;
        if received >= next_pause {
            std::thread::sleep(pause);
            next_pause += BYTES_PER_PAUSE;
        }
    }
    listener.close();
    received
}

// Guards against a response that is cut while its client reads it, only because it takes long.
#[test]
fn a_response_that_is_read_slowly_is_complete() {
    assert_eq!(received(PAUSE, PAUSE), BODY_BYTES);
}

// Guards against a client that reads nothing, for which the response would be kept for ever.
#[test]
fn a_response_that_is_not_read_is_given_up() {
    assert!(received(HEAD_TIMEOUT * 3, Duration::ZERO) < BODY_BYTES);
}
