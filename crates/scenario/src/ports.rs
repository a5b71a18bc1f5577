//! Blocks of ports that no other scenario uses.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use crate::StepError;
use crate::script::VmNumber;

/// Lowest port of any block.
const FIRST_PORT: u16 = 10_000;
/// Blocks from the lowest port up to where the system takes its own from.
const BLOCK_COUNT: u16 = 100;
/// Ports of a block.
const PORTS_PER_BLOCK: u16 = 200;
/// Ports of a VM.
const PORTS_PER_VM: u16 = 10;
/// Highest number of a VM.
const MAX_VM: VmNumber = PORTS_PER_BLOCK / PORTS_PER_VM - 1;

/// A block of ports. It's held by its first one, and free again once dropped.
#[derive(Debug)]
pub(crate) struct Ports {
    _guard: TcpListener,
    base: u16,
}

/// What a port of a VM is for.
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
    /// Takes a free block.
    pub fn open() -> Result<Self, StepError> {
        let first = rand::random_range(0..BLOCK_COUNT);
        (0..BLOCK_COUNT)
            .map(|index| FIRST_PORT + (first + index) % BLOCK_COUNT * PORTS_PER_BLOCK)
            .find_map(take_block)
            .ok_or(StepError::NoPorts)
    }

    /// Address of the platform's stand-in.
    pub fn platform(&self) -> SocketAddr {
        loopback(self.base + 1)
    }

    /// Address of a door of a VM.
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
