//! Options of sockets.

use std::time::Duration;

use filbertwheel_runtime::TcpStream;
use socket2::{SockRef, TcpKeepalive};

/// Time without a byte after which the system asks whether the other end is there, and between
/// further questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Questions without an answer after which the connection is given up.
const KEEPALIVE_PROBES: u32 = 2;
/// Time after which sent bytes without an acknowledgement end the connection.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Sets a new connection up: small messages leave at once, and a dead other end is noticed.
pub fn configure_socket(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let options = [
        socket.set_tcp_nodelay(true),
        socket.set_tcp_keepalive(&probes),
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT)),
    ];
    for error in options.into_iter().filter_map(Result::err) {
        tracing::debug!("http: A socket option isn't available: {error}.");
    }
}

/// Lets the close of a connection drop what wasn't delivered, so that nothing arrives late.
pub fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        tracing::debug!("http: A socket option isn't available: {error}.");
    }
}
