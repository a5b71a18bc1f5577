//! Tests of sockets and timers on the reactor of a thread.

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream as StdStream};
use std::time::{Duration, Instant};

use filbertwheel_runtime::{TcpListener, TcpStream, block_on, sleep};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, FutureExt as _};
use socket2::SockRef;

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[test]
fn threads_with_a_reactor_each_exchange_bytes() {
    let (address, received) = std::sync::mpsc::channel();
    let server = std::thread::spawn(move || {
        block_on(async {
            let listener = TcpListener::bind(any_port()).expect("a port is free");
            address
                .send(listener.local_addr().expect("the listener is bound"))
                .expect("the test is receiving");
            let (mut stream, _) = listener.accept().await.expect("a client connects");
            let mut bytes = [0; 3];
            stream.read_exact(&mut bytes).await.expect("bytes arrive");
            stream.write_all(&bytes).await.expect("the client reads");
        });
    });
    let address = received.recv().expect("the server starts");
    block_on(async {
        let mut stream = TcpStream::connect(address)
            .await
            .expect("the server listens");
        stream.write_all(b"one").await.expect("the server reads");
        let mut bytes = [0; 3];
        stream.read_exact(&mut bytes).await.expect("bytes arrive");
        assert_eq!(&bytes, b"one");
    });
    server.join().expect("the server exits");
}

#[test]
fn try_accept_finds_a_pending_connection_before_its_event() {
    block_on(async {
        let listener = TcpListener::bind(any_port()).expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        // Makes the reactor note that no connection is pending. It only checks again on its next
        // poll.
        let accepted_early = async {
            listener.accept().await.expect("a client connects");
            true
        };
        let timed_out = async {
            sleep(Duration::from_millis(20)).await;
            false
        };
        assert!(!accepted_early.or(timed_out).await);
        let mut client = StdStream::connect(address).expect("the listener is bound");
        let mut accepted = listener.try_accept().expect("a connection is pending");
        client.write_all(b"one").expect("the server reads");
        let mut bytes = [0; 3];
        accepted.read_exact(&mut bytes).await.expect("bytes arrive");
        drop(accepted);
        assert_eq!(client.read(&mut bytes).expect("the stream ends"), 0);
    });
}

/// Returns both ends of a connection, of which the second one resets it when it is closed.
async fn connected() -> (TcpStream, StdStream) {
    let listener = std::net::TcpListener::bind(any_port()).expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let stream = TcpStream::connect(address).await;
    let (peer, _) = listener.accept().expect("a client connects");
    let resets = SockRef::from(&peer).set_linger(Some(Duration::ZERO));
    resets.expect("the option can be set");
    (stream.expect("the listener is bound"), peer)
}

// Guards against a reset that one user of a connection notices and another one takes for the end of
// the stream, because the system reports it only once.
#[test]
fn a_reset_that_a_write_has_seen_is_no_end_of_stream() {
    block_on(async {
        let (mut stream, mut peer) = connected().await;
        peer.write_all(b"one").expect("the stream is open");
        drop(peer);
        let mut writer = stream.clone();
        assert!(writer.write(b"two").await.is_err());
        let mut bytes = [0; 8];
        assert_eq!(stream.read(&mut bytes).await.ok(), Some(3));
        for mut reader in [writer, stream.clone(), stream] {
            let end = reader.read(&mut bytes).await;
            let kind = end.map_err(|error| error.kind());
            assert_eq!(kind, Err(std::io::ErrorKind::ConnectionReset));
        }
    });
}

#[test]
fn a_reset_that_an_idle_check_has_seen_is_no_end_of_stream() {
    block_on(async {
        let (mut stream, peer) = connected().await;
        assert!(stream.is_idle());
        drop(peer);
        assert!(!stream.is_idle());
        assert!(stream.read(&mut [0]).await.is_err());
    });
}

#[test]
fn a_stream_that_has_ended_is_not_cut_by_a_later_reset() {
    block_on(async {
        let (mut stream, mut peer) = connected().await;
        peer.write_all(b"one").expect("the stream is open");
        peer.shutdown(Shutdown::Write).expect("the stream is open");
        drop(peer);
        let mut writer = stream.clone();
        assert!(writer.write(b"two").await.is_err());
        let mut bytes = [0; 8];
        for count in [3, 0, 0] {
            assert_eq!(stream.read(&mut bytes).await.ok(), Some(count));
        }
    });
}

#[test]
fn sleeps_never_end_early_and_wake_across_threads() {
    let (sender, receiver) = async_channel::bounded::<()>(1);
    let waiting = std::thread::spawn(move || {
        block_on(async move {
            let timed_out = async {
                sleep(Duration::from_secs(30)).await;
                false
            };
            let received = async { receiver.recv().await.is_ok() };
            received.or(timed_out).await
        })
    });
    let started_at = Instant::now();
    let duration = Duration::from_millis(15);
    block_on(sleep(duration));
    assert!(started_at.elapsed() >= duration);
    sender.try_send(()).expect("the channel has capacity");
    assert!(waiting.join().expect("the thread exits"));
}
