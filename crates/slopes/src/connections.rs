//! Idle connections, for measuring their cost at the server.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use filbertwheel_runtime::{TcpStream, sleep};

/// Opens `count` connections to `target` and holds them idle for `duration`.
pub async fn hold_connections(
    target: SocketAddr,
    count: usize,
    duration: Duration,
) -> io::Result<()> {
    let mut streams = Vec::with_capacity(count);
    for _ in 0..count {
        streams.push(TcpStream::connect(target).await?);
    }
    sleep(duration).await;
    println!(
        "{}",
        serde_json::json!({ "held_connections": streams.len() })
    );
    Ok(())
}
