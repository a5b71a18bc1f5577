//! Blocks of ports that no other scenario uses.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use crate::RunError;
use crate::script::VmNumber;

/// Lowest port of any block.
const FIRST_PORT: u16 = 10_000;
/// Blocks from the lowest port up to where the system takes its own from.
const BLOCKS: u16 = 100;
/// Ports of a block.
const BLOCK_PORTS: u16 = 200;
/// Ports of a VM.
const VM_PORTS: u16 = 10;
/// Highest number of a VM.
const LAST_VM: VmNumber = BLOCK_PORTS / VM_PORTS - 1;

/// A block of ports. It's held by its first one, and free again once dropped.
#[derive(Debug)]
pub(crate) struct Ports {
    _guard: TcpListener,
    base: u16,
}

/// What a port of a VM is for.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Door {
    Front,
    Local,
    Peer,
    Operator,
    Backend,
    PeerRelay,
    BackendRelay,
}

impl Ports {
    /// Takes a free block.
    pub fn open() -> Result<Self, RunError> {
        let first = rand::random_range(0..BLOCKS);
        (0..BLOCKS)
            .map(|index| FIRST_PORT + (first + index) % BLOCKS * BLOCK_PORTS)
            .find_map(take_block)
            .ok_or(RunError::NoPorts)
    }

    /// Address of the platform's stand-in.
    pub fn platform(&self) -> SocketAddr {
        address(self.base + 1)
    }

    /// Address of a door of a VM.
    pub fn door(&self, vm: VmNumber, door: Door) -> Result<SocketAddr, RunError> {
        if vm == 0 || vm > LAST_VM {
            return Err(RunError::NoVm(vm));
        }
        Ok(address(self.base + vm * VM_PORTS + door as u16))
    }
}

fn take_block(base: u16) -> Option<Ports> {
    let guard = TcpListener::bind(address(base)).ok()?;
    let free = |port| TcpListener::bind(address(port)).is_ok();
    (base + 1..base + BLOCK_PORTS).all(free).then_some(Ports {
        _guard: guard,
        base,
    })
}

fn address(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}
