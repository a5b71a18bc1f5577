//! The listener for links against raw bytes.

mod common;

use std::io::Write as _;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{Calls, Node, attempt, clock, open_link, secret, serve_links};
use filbertwheel_core::{Answer, Attempt, Failure, Header, RefusalKind, UnknownReason, Verdict};
use filbertwheel_http::{LocalFuture, ShutdownTrigger};
use filbertwheel_peer::{CallState, LinkEndpoint};
use smol::LocalExecutor;

/// Time in which a link is cut off that sends no hello.
const GIVE_UP_TIME: Duration = Duration::from_secs(10);
/// What the sockets of a loopback connection may hold.
const SOCKET_BYTES: usize = 16 * 1024 * 1024;

/// Node that answers each call with its headers and the status that its path names, and other calls never.
#[derive(Debug, Default)]
struct Odd {
    /// Number of calls that have begun and are never answered.
    held: AtomicUsize,
}

impl Calls for Odd {
    fn run(&self, attempt: Attempt, _state: CallState) -> LocalFuture<'_, Verdict> {
        let status = attempt.path.as_str().and_then(|path| path.parse().ok());
        let Some(status) = status else {
            self.held.fetch_add(1, Ordering::Relaxed);
            return Box::pin(std::future::pending());
        };
        let answer = Answer {
            status,
            headers: attempt.headers,
            body: Bytes::new(),
            retries: 0,
        };
        Box::pin(async { Ok(answer) })
    }
}

/// Sends `begin` and then `block` until the other end closes. Returns the number of bytes.
fn send_endlessly(mut stream: TcpStream, begin: &[u8], block: &[u8], pause: Duration) -> usize {
    let mut sent = 0;
    let mut next = begin;
    while sent < 256 * 1024 * 1024 {
        if stream.write_all(next).is_err() {
            break;
        }
        sent += next.len();
        next = block;
        std::thread::sleep(pause);
    }
    sent
}

// Guards against a stranger that fills the memory of a node, or keeps a connection for ever, before
// it has shown that it belongs to the fleet.
#[test]
fn bytes_without_end_before_the_hello_are_cut_off() {
    let (stopper, stop) = ShutdownTrigger::open();
    let (sender, receiver) = std::sync::mpsc::channel();
    let served = std::thread::spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        filbertwheel_runtime::block_on(executor.run(async {
            let address = "127.0.0.1:0".parse().expect("an address");
            let links = LinkEndpoint::bind(
                address,
                Arc::new(Node::<Odd>::default()),
                secret(),
                clock(),
                stop,
            )
            .await;
            let links = links.expect("a port is free");
            sender.send(links.address()).expect("the test waits");
            links.run(Rc::clone(&executor)).await;
        }));
    });
    let address = receiver.recv().expect("the endpoint runs");
    let address = address.expect("the endpoint is bound");
    let zeros = [0; 64 * 1024];
    let ones = [0xff; 64 * 1024];
    // 64 MiB, which a node of the fleet may send.
    let large = [0x04, 0, 0, 0];
    for (begin, block) in [
        (&large[..], &zeros),
        (&ones[..4], &ones),
        (&[0, 0, 0, 9], &ones),
    ] {
        let stream = TcpStream::connect(address).expect("the endpoint accepts");
        let sent = send_endlessly(stream, begin, block, Duration::ZERO);
        assert!(
            sent <= SOCKET_BYTES,
            "{sent} bytes were taken after {begin:?}"
        );
    }
    let began = Instant::now();
    let stream = TcpStream::connect(address).expect("the endpoint accepts");
    send_endlessly(
        stream,
        &[0, 0, 0x3f, 0xff],
        &[0],
        Duration::from_millis(100),
    );
    assert!(began.elapsed() < GIVE_UP_TIME, "{:?}", began.elapsed());
    stopper.trigger();
    served.join().expect("the endpoint ends");
}

// Guards against a verdict with a status that no response can have, which the caller would get as its
// answer.
#[test]
fn verdicts_with_odd_statuses_are_broken() {
    let executor = Rc::new(LocalExecutor::new());
    filbertwheel_runtime::block_on(executor.run(async {
        let node: Arc<Node<Odd>> = Arc::default();
        let address = serve_links(&executor, node).await;
        let (link, _driver) = open_link(&executor, address).await;
        for status in [0, 20, 99, 101, 199, 600, 999, 2_000] {
            let verdict = link
                .call(&attempt(&status.to_string(), 0), Duration::ZERO)
                .await;
            let broken = Err(Failure::Unknown(UnknownReason::Broken));
            assert_eq!(verdict.expect("the link is up"), broken, "status {status}");
        }
        for status in [200, 204, 404, 500, 599] {
            let verdict = link
                .call(&attempt(&status.to_string(), 0), Duration::ZERO)
                .await;
            let verdict = verdict.expect("the link is up");
            assert_eq!(verdict.map(|answer| answer.status), Ok(status));
        }
    }));
}

// Guards against a verdict with a header that no response can have, which the caller would get.
#[test]
fn verdicts_with_broken_headers_are_broken() {
    let headers = [
        ("x odd", "1"),
        ("x-odd ", "1"),
        (" x-odd", "1"),
        ("x\todd", "1"),
        ("x\u{1}odd", "1"),
        ("x\u{7f}odd", "1"),
        ("x\r\nodd", "1"),
        ("x:odd", "1"),
        ("x\u{e9}", "1"),
        ("", "1"),
        ("x-odd", "1\r\nx: 2"),
        ("x-odd", "1\u{1}"),
    ];
    let executor = Rc::new(LocalExecutor::new());
    filbertwheel_runtime::block_on(executor.run(async {
        let node: Arc<Node<Odd>> = Arc::default();
        let address = serve_links(&executor, node).await;
        let (link, _driver) = open_link(&executor, address).await;
        let call = async |name: &str, value: &str| {
            let mut attempt = attempt("200", 0);
            attempt.headers.push(Header {
                name: name.into(),
                value: value.into(),
            });
            let verdict = link.call(&attempt, Duration::ZERO).await;
            verdict.expect("the link is up")
        };
        for (name, value) in headers {
            let broken = Err(Failure::Unknown(UnknownReason::Broken));
            assert_eq!(call(name, value).await, broken, "{name:?}: {value:?}");
        }
        for (name, value) in [("x-odd_1.!", "1\t2 \u{e9}"), ("x", "")] {
            let answer = call(name, value).await.expect("the header is valid");
            assert_eq!(answer.headers.len(), 1, "{name:?}: {value:?}");
        }
    }));
}

// Guards against large calls of several nodes that fill the memory of one while they run.
#[test]
fn a_call_beyond_the_memory_is_refused_and_its_link_goes_on() {
    /// Calls that run at once, and the size of each; one more doesn't fit.
    const HELD: usize = 8;
    const LARGE: usize = 8 * 1024 * 1024;
    let executor = Rc::new(LocalExecutor::new());
    filbertwheel_runtime::block_on(executor.run(async {
        let node: Arc<Node<Odd>> = Arc::default();
        // A link queues half of them at most.
        let address = serve_links(&executor, node.clone()).await;
        let (first, _driver) = open_link(&executor, address).await;
        let (second, _driver) = open_link(&executor, address).await;
        let (last, _driver) = open_link(&executor, address).await;
        let hold = |number| {
            let link = if number % 2 == 0 { &first } else { &second }.clone();
            executor.spawn(async move { link.call(&attempt("never", LARGE), Duration::ZERO).await })
        };
        let held: Vec<_> = (0..HELD).map(hold).collect();
        let refused = Err(Failure::Refused(RefusalKind::Overloaded.into()));
        let status = async |size| {
            let verdict = last.call(&attempt("200", size), Duration::ZERO).await;
            match verdict.expect("the link is up") {
                Ok(answer) => Some(answer.status),
                verdict => {
                    assert_eq!(verdict, refused);
                    None
                }
            }
        };
        while node.0.held.load(Ordering::Relaxed) < HELD {
            clock().sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(status(LARGE).await, None);
        for size in [0, 1_000, 60_000] {
            assert_eq!(status(size).await, Some(200));
        }
        // Dropping the calls cancels them.
        drop(held);
        while status(LARGE).await.is_none() {
            clock().sleep(Duration::from_millis(5)).await;
        }
    }));
}
