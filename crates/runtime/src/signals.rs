//! Operating system signals.

use std::io::{self, Read as _};
use std::os::unix::net::UnixStream;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

use crate::net::Registered;
use crate::reactor::Direction;

/// A signal that a process acts on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Shut down gracefully.
    Stop,
    /// Reload the settings.
    Reload,
}

/// Stream of received signals.
#[derive(Debug)]
pub struct Signals {
    stop: Registered<mio::net::UnixStream>,
    reload: Registered<mio::net::UnixStream>,
}

impl Signals {
    /// Installs the signal handlers. Fails with the system's error.
    pub fn open() -> io::Result<Self> {
        Ok(Self {
            stop: subscribe(&[SIGTERM, SIGINT])?,
            reload: subscribe(&[SIGHUP])?,
        })
    }

    /// Waits for the next signal. Fails with the system's error.
    pub async fn next(&self) -> io::Result<Signal> {
        let stop = async {
            self.stop.wait(Direction::Read, drain).await?;
            Ok(Signal::Stop)
        };
        let reload = async {
            self.reload.wait(Direction::Read, drain).await?;
            Ok(Signal::Reload)
        };
        futures_lite::future::or(stop, reload).await
    }
}

fn subscribe(signals: &[i32]) -> io::Result<Registered<mio::net::UnixStream>> {
    let (receiver, sender) = UnixStream::pair()?;
    receiver.set_nonblocking(true)?;
    for signal in signals {
        pipe::register(*signal, sender.try_clone()?)?;
    }
    Registered::open(mio::net::UnixStream::from_std(receiver))
}

fn drain(mut socket: &mio::net::UnixStream) -> io::Result<usize> {
    socket.read(&mut [0; 64])
}
