//! TCP sockets registered with the reactor of a thread.

use std::future::poll_fn;
use std::io::{self, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr};
use std::os::fd::{AsFd, BorrowedFd};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};

use crate::reactor::{Direction, Reactor, Readiness};

/// A TCP connection. Clones share the socket, which stays registered with the reactor of the
/// thread that opened it.
#[derive(Debug, Clone)]
pub struct TcpStream(Arc<Registered<mio::net::TcpStream>>);

/// A listening TCP socket. Clones share the socket, which stays registered with the reactor of the
/// thread that opened it.
#[derive(Debug, Clone)]
pub struct TcpListener(Arc<Registered<mio::net::TcpListener>>);

#[derive(Debug)]
pub(crate) struct Registered<S> {
    socket: S,
    key: usize,
    reactor: Arc<Reactor>,
    readiness: Arc<Readiness>,
}

impl<S: mio::event::Source> Registered<S> {
    pub fn open(mut socket: S) -> io::Result<Self> {
        let reactor = Reactor::current();
        let (key, readiness) = reactor.add(&mut socket)?;
        Ok(Self {
            socket,
            key,
            reactor,
            readiness,
        })
    }
}

impl<S> Registered<S> {
    pub async fn wait<T>(&self, dir: Direction, op: impl Fn(&S) -> io::Result<T>) -> io::Result<T> {
        poll_fn(|cx| self.readiness.poll(dir, cx, || op(&self.socket))).await
    }
}

impl<S> Drop for Registered<S> {
    fn drop(&mut self) {
        self.reactor.remove(self.key);
    }
}

impl TcpStream {
    /// Opens a connection. Fails with the system's error.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        let registered = Registered::open(mio::net::TcpStream::connect(address)?)?;
        let check_connected = |socket: &mio::net::TcpStream| {
            if let Some(error) = socket.take_error()? {
                return Err(error);
            }
            match socket.peer_addr() {
                Ok(_) => Ok(()),
                Err(error) if error.kind() == io::ErrorKind::NotConnected => {
                    Err(io::ErrorKind::WouldBlock.into())
                }
                Err(error) => Err(error),
            }
        };
        registered.wait(Direction::Write, check_connected).await?;
        Ok(Self(Arc::new(registered)))
    }

    /// Returns the address of the peer. Fails with the system's error.
    pub fn peer_addr(&self) -> io::Result<SocketAddr> {
        self.0.socket.peer_addr()
    }

    /// Returns the value of the `TCP_NODELAY` option. Fails with the system's error.
    pub fn nodelay(&self) -> io::Result<bool> {
        self.0.socket.nodelay()
    }

    /// Sets the `TCP_NODELAY` option, which sends small messages without delay. Fails with the
    /// system's error.
    pub fn set_nodelay(&self, nodelay: bool) -> io::Result<()> {
        self.0.socket.set_nodelay(nodelay)
    }

    /// Shuts down one direction or both. Fails with the system's error.
    pub fn shutdown(&self, how: Shutdown) -> io::Result<()> {
        self.0.socket.shutdown(how)
    }

    /// Whether there is nothing to read: no bytes, no end of stream and no error.
    pub fn is_idle(&self) -> bool {
        let peeked = self.0.socket.peek(&mut [0]);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }
}

impl AsFd for TcpStream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.socket.as_fd()
    }
}

impl AsyncRead for TcpStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let registered = &self.0;
        registered
            .readiness
            .poll(Direction::Read, cx, || (&registered.socket).read(buf))
    }
}

impl AsyncWrite for TcpStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let registered = &self.0;
        registered
            .readiness
            .poll(Direction::Write, cx, || (&registered.socket).write(buf))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.0.socket.shutdown(Shutdown::Write))
    }
}

impl TcpListener {
    /// Binds an address and starts listening. Fails with the system's error.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = mio::net::TcpListener::bind(address)?;
        Ok(Self(Arc::new(Registered::open(socket)?)))
    }

    /// Registers a duplicate of the socket with the reactor of the calling thread. Fails with the
    /// system's error.
    pub fn register_clone(&self) -> io::Result<Self> {
        let socket = self.0.socket.as_fd().try_clone_to_owned()?;
        let socket = mio::net::TcpListener::from_std(socket.into());
        Ok(Self(Arc::new(Registered::open(socket)?)))
    }

    /// Returns the bound address. Fails with the system's error.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.socket.local_addr()
    }

    /// Accepts a pending connection without waiting, even if the reactor hasn't seen its event.
    pub fn try_accept(&self) -> Option<TcpStream> {
        let accepted = self.0.socket.accept();
        let registered = accepted.and_then(|(socket, _)| Registered::open(socket));
        registered
            .ok()
            .map(|registered| TcpStream(Arc::new(registered)))
    }

    /// Waits for a connection and accepts it. Fails with the system's error.
    pub async fn accept(&self) -> io::Result<(TcpStream, SocketAddr)> {
        let accepted = self.0.wait(Direction::Read, mio::net::TcpListener::accept);
        let (socket, address) = accepted.await?;
        Ok((TcpStream(Arc::new(Registered::open(socket)?)), address))
    }
}
