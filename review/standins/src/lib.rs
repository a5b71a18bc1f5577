//! Stand-ins for the platform's store, backend servers and clients, and the processes of nodes. They
//! do what the users' pages say, on loopback addresses and the real clock.

pub mod backend;
pub mod caller;
pub mod http;
pub mod json;
pub mod node;
pub mod record;
pub mod store;

use std::net::{SocketAddr, TcpListener};

/// Returns a loopback address with a port that is free at present.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    listener.local_addr().expect("the socket is bound")
}
