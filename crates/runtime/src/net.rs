//! TCP sockets registered with the reactor of a thread.

use std::future::poll_fn;
use std::io::{self, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr};
use std::os::fd::{AsFd, BorrowedFd};
use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll, ready};

use futures_lite::{AsyncRead, AsyncWrite};

use crate::reactor::{Direction, Reactor, Readiness};

/// A TCP connection. Clones share the socket, which stays registered with the reactor of the
/// thread that opened it.
///
/// A read returns 0 only once the peer has closed its direction. After an error in either direction,
/// reads that would return 0 fail with the same kind of error.
#[derive(Debug, Clone)]
pub struct TcpStream(Arc<Connected>);

/// A listening TCP socket. Clones share the socket, which stays registered with the reactor of the
/// thread that opened it.
#[derive(Debug, Clone)]
pub struct TcpListener(Arc<Registered<mio::net::TcpListener>>);

/// A connected socket, and how its connection failed.
#[derive(Debug)]
struct Connected {
    stream: Registered<mio::net::TcpStream>,
    /// Kind of the first error of a read or write.
    failure: OnceLock<io::ErrorKind>,
}

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

impl Connected {
    fn open(socket: mio::net::TcpStream) -> io::Result<Self> {
        Ok(Self {
            stream: Registered::open(socket)?,
            failure: OnceLock::new(),
        })
    }

    fn socket(&self) -> &mio::net::TcpStream {
        &self.stream.socket
    }

    /// Performs an operation once the socket is ready, and keeps its error.
    fn poll<T>(
        &self,
        dir: Direction,
        cx: &mut Context<'_>,
        op: impl FnMut() -> io::Result<T>,
    ) -> Poll<io::Result<T>> {
        let done = ready!(self.stream.readiness.poll(dir, cx, op));
        if let Err(error) = &done {
            self.keep_failure(error.kind());
        }
        Poll::Ready(done)
    }

    /// Keeps the kind of the first error. The system reports an error only once, to the read or the write
    /// that asks first; reads after it return 0, as at the end of the stream.
    fn keep_failure(&self, kind: io::ErrorKind) {
        // The peer had closed its direction before it reset the connection, so the stream is complete.
        if kind != io::ErrorKind::BrokenPipe {
            self.failure.get_or_init(|| kind);
        }
    }

    /// Returns an error in place of an end of stream that is none.
    fn check_end(&self, count: usize) -> io::Result<usize> {
        match self.failure.get() {
            Some(kind) if count == 0 => Err((*kind).into()),
            _ => Ok(count),
        }
    }
}

impl TcpStream {
    /// Opens a connection. Fails with the system's error.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        let connected = Connected::open(mio::net::TcpStream::connect(address)?)?;
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
        let opened = connected.stream.wait(Direction::Write, check_connected);
        opened.await?;
        Ok(Self(Arc::new(connected)))
    }

    /// Returns the address of the peer. Fails with the system's error.
    pub fn peer_addr(&self) -> io::Result<SocketAddr> {
        self.0.socket().peer_addr()
    }

    /// Returns the value of the `TCP_NODELAY` option. Fails with the system's error.
    pub fn nodelay(&self) -> io::Result<bool> {
        self.0.socket().nodelay()
    }

    /// Sets the `TCP_NODELAY` option, which sends small messages without delay. Fails with the
    /// system's error.
    pub fn set_nodelay(&self, nodelay: bool) -> io::Result<()> {
        self.0.socket().set_nodelay(nodelay)
    }

    /// Shuts down one direction or both. Fails with the system's error.
    pub fn shutdown(&self, how: Shutdown) -> io::Result<()> {
        self.0.socket().shutdown(how)
    }

    /// Whether there is nothing to read: no bytes, no end of stream and no error.
    pub fn is_idle(&self) -> bool {
        match self.0.socket().peek(&mut [0]) {
            Ok(_) => false,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => true,
            Err(error) => {
                self.0.keep_failure(error.kind());
                false
            }
        }
    }
}

impl AsFd for TcpStream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.socket().as_fd()
    }
}

impl AsyncRead for TcpStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let inner = &self.0;
        let read = inner.poll(Direction::Read, cx, || inner.socket().read(buf));
        Poll::Ready(ready!(read).and_then(|count| inner.check_end(count)))
    }
}

impl AsyncWrite for TcpStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let inner = &self.0;
        inner.poll(Direction::Write, cx, || inner.socket().write(buf))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.0.socket().shutdown(Shutdown::Write))
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
        let connected = accepted.and_then(|(socket, _)| Connected::open(socket));
        connected.ok().map(|stream| TcpStream(Arc::new(stream)))
    }

    /// Waits for a connection and accepts it. Fails with the system's error.
    pub async fn accept(&self) -> io::Result<(TcpStream, SocketAddr)> {
        let accepted = self.0.wait(Direction::Read, mio::net::TcpListener::accept);
        let (socket, address) = accepted.await?;
        Ok((TcpStream(Arc::new(Connected::open(socket)?)), address))
    }
}
