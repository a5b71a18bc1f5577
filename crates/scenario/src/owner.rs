//! Identifies the process that opened a loopback connection, from the kernel's tables in `/proc`.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;

use crate::script::VmNumber;

/// The kernel's table of TCP connections.
const TCP_TABLE: &str = "/proc/net/tcp";
/// Columns of that table: local address, remote address and inode of the socket.
const LOCAL_COLUMN: usize = 1;
const REMOTE_COLUMN: usize = 2;
const INODE_COLUMN: usize = 9;

/// Returns the VM whose node opened the connection from `peer` to `listen`.
pub(crate) fn node_of_connection(
    peer: SocketAddr,
    listen: SocketAddr,
    node_pids: &BTreeMap<VmNumber, u32>,
) -> Option<VmNumber> {
    let inode = inode_of(peer.port(), listen.port())?;
    let socket = format!("socket:[{inode}]");
    let owner = node_pids
        .iter()
        .find(|(_, id)| has_descriptor(**id, &socket));
    owner.map(|(vm, _)| *vm)
}

fn inode_of(local: u16, remote: u16) -> Option<String> {
    let table = fs::read_to_string(TCP_TABLE).ok()?;
    table.lines().skip(1).find_map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let has_port = |column: usize, port| port_of(columns.get(column)?).map(|p| p == port);
        let found = has_port(LOCAL_COLUMN, local)? && has_port(REMOTE_COLUMN, remote)?;
        let inode = columns.get(INODE_COLUMN)?;
        found.then(|| (*inode).to_owned())
    })
}

fn port_of(endpoint: &str) -> Option<u16> {
    let (_, port) = endpoint.split_once(':')?;
    u16::from_str_radix(port, 16).ok()
}

fn has_descriptor(process: u32, socket: &str) -> bool {
    let Ok(descriptors) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return false;
    };
    descriptors
        .flatten()
        .filter_map(|descriptor| fs::read_link(descriptor.path()).ok())
        .any(|target| target.as_os_str() == socket)
}
