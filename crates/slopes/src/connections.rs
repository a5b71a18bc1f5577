//! Idle connections, to see what they cost at the other end.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use filbertwheel_runtime::{TcpStream, sleep};

/// Opens connections and holds them without sending anything.
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
