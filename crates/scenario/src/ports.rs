//! Blocks of ports, each used by one scenario at a time.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use crate::StepError;
use crate::script::VmNumber;

/// First port of the first block.
const FIRST_PORT: u16 = 10_000;
/// Number of blocks; they end below the range of the system's ephemeral ports.
const BLOCK_COUNT: u16 = 100;
/// Number of ports in a block.
const PORTS_PER_BLOCK: u16 = 200;
/// Number of ports for each VM.
const PORTS_PER_VM: u16 = 10;
/// Highest VM number for which a block has ports.
const MAX_VM: VmNumber = PORTS_PER_BLOCK / PORTS_PER_VM - 1;

/// A block of ports, reserved until dropped by a listener on its first port.
#[derive(Debug)]
pub(crate) struct Ports {
    _guard: TcpListener,
    base: u16,
}

/// The purpose of a VM's port; its discriminant is the offset within the VM's ports.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Port {
    Front,
    Local,
    Peer,
    Operator,
    Backend,
    PeerRelay,
    BackendRelay,
}

impl Ports {
    /// Reserves a free block, searching from a random one.
    pub fn open() -> Result<Self, StepError> {
        let first = rand::random_range(0..BLOCK_COUNT);
        (0..BLOCK_COUNT)
            .map(|index| FIRST_PORT + (first + index) % BLOCK_COUNT * PORTS_PER_BLOCK)
            .find_map(take_block)
            .ok_or(StepError::NoPorts)
    }

    /// Returns the address of the platform's stand-in.
    pub fn platform(&self) -> SocketAddr {
        loopback(self.base + 1)
    }

    /// Returns the address of one of a VM's ports.
    pub fn address(&self, vm: VmNumber, port: Port) -> Result<SocketAddr, StepError> {
        if vm == 0 || vm > MAX_VM {
            return Err(StepError::UnknownVm(vm));
        }
        Ok(loopback(self.base + vm * PORTS_PER_VM + port as u16))
    }
}

fn take_block(base: u16) -> Option<Ports> {
    let guard = TcpListener::bind(loopback(base)).ok()?;
    let free = |port| TcpListener::bind(loopback(port)).is_ok();
    (base + 1..base + PORTS_PER_BLOCK)
        .all(free)
        .then_some(Ports {
            _guard: guard,
            base,
        })
}

fn loopback(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}
