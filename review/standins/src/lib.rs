//! Stand-ins for the platform's store, backend servers and clients, and the processes of nodes. They
//! do what the users' pages say, on loopback addresses and the real clock.

pub mod backend;
pub mod caller;
pub mod case;
pub mod http;
pub mod json;
pub mod node;
pub mod record;
pub mod store;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// First port of the addresses that are given out, below those that the system uses for outgoing
/// connections.
const FIRST_PORT: u32 = 21_000;
/// Number of addresses that are given out.
const PORTS: u32 = 5_000;

/// Returns a loopback address with a port that is free at present. The IP address is that of this
/// process alone, so that no outgoing connection takes the port before it is bound.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    let ip = Ipv4Addr::new(127, 90, high, low);
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        assert!(number < PORTS, "no loopback port is free");
        let address = SocketAddr::from((ip, (FIRST_PORT + number) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
