//! Checks the raw bytes that a backend server receives.

use std::io::{Read as _, Write as _};
use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertwheel_backend::{BackendConnector as _, HttpConnector};
use filbertwheel_core::{Call, Clock, Criticality, Header, SystemClock, sha256_hex};
use filbertwheel_http::Limits;

const KEY: &str = "k-3f9a-77";

fn call() -> Call {
    Call {
        id: 7,
        organisation: Some("wardoffice".into()),
        key: Some(sha256_hex(KEY.as_bytes())),
        request: Some("complaint-1".into()),
        service: "desk".into(),
        criticality: Criticality::Normal,
        idempotent: true,
        once: None,
        rank: 0,
        deadline: Instant::now() + Duration::from_secs(5),
        retries: 3,
        depth: 0,
        method: "GET".into(),
        path: "/today".into(),
        headers: vec![Header {
            name: "accept".into(),
            value: "text/plain".into(),
        }],
        body: Default::default(),
    }
}

#[test]
fn a_backend_server_sees_neither_key_nor_hash() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the node connects");
        let mut bytes = [0; 4_096];
        let count = stream.read(&mut bytes).expect("a request arrives");
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(answer).expect("the node reads");
        String::from_utf8_lossy(&bytes[..count]).to_lowercase()
    });
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let backend = HttpConnector::open(Limits::default(), clock).connect(address);
    let reply = filbertwheel_runtime::block_on(backend.run(&call(), "a-token".into()));
    assert_eq!(reply.map(|reply| reply.answer.status), Ok(200));
    let request = server.join().expect("the server exits");
    assert!(!request.contains(KEY), "{request}");
    assert!(!request.contains(sha256_hex(KEY.as_bytes()).as_str().unwrap_or_default()));
    assert!(!request.contains("filbertwheel-key"), "{request}");
    assert!(request.contains("filbertwheel-token: a-token"), "{request}");
    assert!(request.contains("accept: text/plain"), "{request}");
}

// Guards against a node that gives up at the moment at which the backend server ends its work, while the
// answer is under way.
#[test]
fn the_answer_of_a_server_that_ends_at_its_deadline_is_received() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the node connects");
        let mut bytes = [0; 4_096];
        let count = stream.read(&mut bytes).expect("a request arrives");
        let head = String::from_utf8_lossy(&bytes[..count]).to_lowercase();
        let mut lines = head.lines();
        let left = lines.find_map(|line| line.strip_prefix("filbertwheel-deadline-ms: "));
        let left: u64 = left.and_then(|left| left.parse().ok()).expect("a deadline");
        std::thread::sleep(Duration::from_millis(left + 20));
        let answer = b"HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(answer).expect("the node reads");
    });
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let backend = HttpConnector::open(Limits::default(), clock).connect(address);
    let call = Call {
        deadline: Instant::now() + Duration::from_millis(200),
        ..call()
    };
    let reply = filbertwheel_runtime::block_on(backend.run(&call, "a-token".into()));
    assert_eq!(reply.map(|reply| reply.answer.status), Ok(504));
    server.join().expect("the server exits");
}
