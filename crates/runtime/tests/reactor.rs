//! Sockets and timers of one thread's reactor.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream as StdStream};
use std::time::{Duration, Instant};

use filbertwheel_runtime::{TcpListener, TcpStream, block_on, sleep};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, FutureExt as _};

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[test]
fn bytes_cross_between_threads_with_a_reactor_each() {
    let (address, told) = std::sync::mpsc::channel();
    let server = std::thread::spawn(move || {
        block_on(async {
            let listener = TcpListener::bind(any()).expect("a port is free");
            address
                .send(listener.local_addr().expect("it's bound"))
                .expect("the test waits");
            let (mut stream, _) = listener.accept().await.expect("a client connects");
            let mut bytes = [0; 3];
            stream.read_exact(&mut bytes).await.expect("bytes come");
            stream.write_all(&bytes).await.expect("the client reads");
        });
    });
    let address = told.recv().expect("the server starts");
    block_on(async {
        let mut stream = TcpStream::connect(address).await.expect("it listens");
        stream.write_all(b"one").await.expect("the server reads");
        let mut bytes = [0; 3];
        stream.read_exact(&mut bytes).await.expect("bytes come");
        assert_eq!(&bytes, b"one");
    });
    server.join().expect("the server ends");
}

#[test]
fn a_waiting_connection_is_accepted_before_its_event_is_seen() {
    block_on(async {
        let listener = TcpListener::bind(any()).expect("a port is free");
        let address = listener.local_addr().expect("it's bound");
        // The reactor has seen that nobody waits, and doesn't look again before the next turn.
        let nobody = async {
            listener.accept().await.expect("a client connects");
            true
        };
        let soon = async {
            sleep(Duration::from_millis(20)).await;
            false
        };
        assert!(!nobody.or(soon).await);
        let mut client = StdStream::connect(address).expect("it listens");
        let mut accepted = listener.try_accept().expect("a client waits");
        client.write_all(b"one").expect("the server reads");
        let mut bytes = [0; 3];
        accepted.read_exact(&mut bytes).await.expect("bytes come");
        drop(accepted);
        assert_eq!(client.read(&mut bytes).expect("it's closed"), 0);
    });
}

#[test]
fn sleeps_never_end_early_and_wake_across_threads() {
    let (sender, receiver) = async_channel::bounded::<()>(1);
    let waiting = std::thread::spawn(move || {
        block_on(async move {
            let late = async {
                sleep(Duration::from_secs(30)).await;
                false
            };
            let told = async { receiver.recv().await.is_ok() };
            told.or(late).await
        })
    });
    let began = Instant::now();
    let pause = Duration::from_millis(15);
    block_on(sleep(pause));
    assert!(began.elapsed() >= pause);
    sender.try_send(()).expect("there's room");
    assert!(waiting.join().expect("the thread ends"));
}
