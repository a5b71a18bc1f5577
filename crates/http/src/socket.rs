//! Socket options.

use std::time::Duration;

use filbertwheel_runtime::TcpStream;
use socket2::{SockRef, TcpKeepalive};

/// Idle time before the first TCP keepalive probe, and interval between further probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Time that sent bytes may stay unacknowledged before the connection is closed.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Configures a new connection: small messages are sent at once, and a dead peer is detected.
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
        tracing::debug!("http: Cannot set a socket option: {error}.");
    }
}

/// Makes closing the connection discard undelivered bytes, so that none of them arrive later.
pub fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        tracing::debug!("http: Cannot set a socket option: {error}.");
    }
}
