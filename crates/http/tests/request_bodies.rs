//! Memory that the bodies of requests take together at a listener.

mod common;

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use filbertwheel_http::{Handler, Limits, LocalFuture, Request, Response};

use crate::common::TestListener;

const TOTAL_BYTES: usize = 1024 * 1024;
const LARGE: usize = 800 * 1024;
const TIMEOUT: Duration = Duration::from_secs(10);

/// Responds with the size of the body. Requests to `/held` wait until the gate is opened.
#[derive(Debug)]
struct Sizes {
    gate: Receiver<()>,
    handled: AtomicUsize,
}

impl Handler for Sizes {
    fn handle(&self, request: Request) -> LocalFuture<'_, Response> {
        Box::pin(async move {
            self.handled.fetch_add(1, Ordering::SeqCst);
            if request.path.as_bytes() == b"/held" {
                let _open = self.gate.recv().await;
            }
            Response::new(200, request.body.len().to_string())
        })
    }
}

fn listen() -> (TestListener, Arc<Sizes>, Sender<()>) {
    let (gate, opened) = async_channel::bounded(1);
    let handler = Arc::new(Sizes {
        gate: opened,
        handled: AtomicUsize::new(0),
    });
    let limits = Limits {
        total_bytes: TOTAL_BYTES,
        drain_time: Duration::ZERO,
        ..Limits::default()
    };
    let listener = TestListener::spawn(limits, Arc::clone(&handler) as Arc<dyn Handler>);
    (listener, handler, gate)
}

/// Sends the head of a request with a body of `length` bytes, and the first `sent` bytes of it.
fn upload(address: SocketAddr, path: &str, length: usize, sent: usize) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("the listener accepts");
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("a timeout can be set");
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    );
    stream
        .write_all(&[head.as_bytes(), &vec![b'x'; sent]].concat())
        .expect("the listener reads");
    stream
}

/// Reads until the listener closes the connection.
fn response(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    stream
        .read_to_end(&mut bytes)
        .expect("the listener responds");
    String::from_utf8_lossy(&bytes).into_owned()
}

fn wait_for_handled(handler: &Sizes, count: usize) {
    let until = Instant::now() + TIMEOUT;
    while handler.handled.load(Ordering::SeqCst) < count {
        assert!(Instant::now() < until, "the request was not handled");
        std::thread::sleep(Duration::from_millis(5));
    }
}

// Guards against large bodies that fill the memory of a node while their requests wait for a slow
// backend server.
#[test]
fn a_body_beyond_the_total_is_refused_before_it_is_read() {
    let (listener, handler, gate) = listen();
    let held = upload(listener.address, "/held", LARGE, LARGE);
    wait_for_handled(&handler, 1);
    let refused = response(upload(listener.address, "/", LARGE, 0));
    assert!(refused.starts_with("HTTP/1.1 503 "), "{refused}");
    assert!(refused.contains("retry-after: "), "{refused}");
    let small = response(upload(listener.address, "/", 1_000, 1_000));
    assert!(small.ends_with("1000"), "{small}");
    gate.close();
    assert!(response(held).ends_with(&LARGE.to_string()));
    let next = response(upload(listener.address, "/", LARGE, LARGE));
    assert!(next.ends_with(&LARGE.to_string()), "{next}");
    assert_eq!(handler.handled.load(Ordering::SeqCst), 3);
    listener.close();
}

// Guards against a refusal that the client loses with a reset, because it sends its body to the end
// before it reads.
#[test]
fn a_client_that_sends_on_gets_the_refusal() {
    let (listener, _, _gate) = listen();
    let length = Limits::default().body_bytes;
    let refused = response(upload(listener.address, "/", length, length));
    assert!(refused.starts_with("HTTP/1.1 503 "), "{refused}");
    listener.close();
}

// Guards against slow uploads that reserve the memory before their bytes arrive and so lock others out.
#[test]
fn announced_bodies_take_no_memory_before_they_arrive() {
    const UPLOADS: usize = 8;
    let (listener, _, _gate) = listen();
    let mut slow: Vec<_> = (0..UPLOADS)
        .map(|_| upload(listener.address, "/", LARGE, 10))
        .collect();
    for stream in &mut slow {
        stream
            .write_all(&vec![b'x'; LARGE - 10])
            .expect("the listener reads");
        let mut status = [0; 12];
        stream
            .read_exact(&mut status)
            .expect("the listener responds");
        assert_eq!(&status, b"HTTP/1.1 200");
    }
    drop(slow);
    listener.close();
}

// Guards against a cut upload that is passed on, or that is answered as one that has not run.
#[test]
fn a_cut_body_is_an_error_and_is_not_handled() {
    let (listener, handler, _gate) = listen();
    let stream = upload(listener.address, "/", LARGE, LARGE / 2);
    stream
        .shutdown(Shutdown::Write)
        .expect("the connection is open");
    let cut = response(stream);
    assert!(cut.starts_with("HTTP/1.1 400 "), "{cut}");
    assert_eq!(handler.handled.load(Ordering::SeqCst), 0);
    listener.close();
}
