//! The time that a server is told it has for a request.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertwheel_core::SystemClock;
use filbertwheel_http::{Limits, Pool, Request, SendOptions, TimeLeft};
use socket2::{Domain, Socket, Type};

const HEADER: &str = "time-left";
/// Time until the deadline of the request.
const TIME_LEFT: Duration = Duration::from_secs(5);
/// Time in which the server accepts no connection.
const BUSY_TIME: Duration = Duration::from_millis(300);
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// Binds a listener whose connections have to wait once one of them isn't accepted.
fn busy_listener() -> (TcpListener, TcpStream) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let address: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&address.into()).expect("a port is free");
    socket.listen(0).expect("the socket is bound");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("the listener is bound");
    let waiting = TcpStream::connect(address).expect("the first connection is opened");
    (listener, waiting)
}

/// Accepts the connections after a while. Returns the head of the first request, and when the connection
/// that it came on was accepted.
fn serve(listener: &TcpListener) -> (String, Instant) {
    std::thread::sleep(BUSY_TIME);
    let (_first, _) = listener.accept().expect("the first connection");
    let (mut stream, _) = listener.accept().expect("the connection of the client");
    let accepted = Instant::now();
    let mut head = vec![0; 4_096];
    let count = stream.read(&mut head).expect("the client sends");
    stream.write_all(RESPONSE).expect("the client reads");
    let head = String::from_utf8(head[..count].to_vec());
    (head.expect("the head is text"), accepted)
}

// Guards against a server that is told how much time was left before its connection was opened: it goes on
// working when the caller has given up.
#[test]
fn a_server_is_told_the_time_that_is_left_when_its_connection_is_open() {
    let (listener, _waiting) = busy_listener();
    let address = listener.local_addr().expect("the listener is bound");
    let server = std::thread::spawn(move || serve(&listener));
    let limits = Limits {
        connect_timeout: TIME_LEFT,
        ..Limits::default()
    };
    let pool = Pool::open(address, limits, Arc::new(SystemClock));
    let until = Instant::now() + TIME_LEFT;
    let options = SendOptions {
        time_left: Some(TimeLeft {
            header: HEADER,
            until,
        }),
        ..SendOptions::until(until)
    };
    let request = Request::get("/");
    let sent = filbertwheel_runtime::block_on(pool.send(&request, &options));
    assert_eq!(sent.expect("the server answers").status, 200);
    let (head, accepted) = server.join().expect("the server ends");
    let stated = head
        .lines()
        .find_map(|line| line.strip_prefix("time-left: "));
    let stated: u64 = stated
        .expect("the time left is stated")
        .parse()
        .expect("a number");
    let opened = until.saturating_duration_since(accepted);
    let before = TIME_LEFT - BUSY_TIME;
    assert!(Duration::from_millis(stated) < before, "{stated} ms stated");
    assert!(
        opened < before,
        "the connection had to wait: {opened:?} left"
    );
}
