//! A connection, with the bytes that have arrived and belong to no message yet.
//!
//! The codec reads ahead and drops what it doesn't need. So it only ever sees the head of a
//! message, and bodies of a known length are read here.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use filbertwheel_core::Clock;
use futures_lite::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _, FutureExt as _};
use smol::net::TcpStream;

use crate::Fault;

/// Largest head in bytes.
const HEAD_LIMIT: usize = 8 * 1024;
/// Bytes that are read at once.
const READ_SIZE: usize = 8 * 1024;
/// End of a head.
const BLANK_LINE: &[u8] = b"\r\n\r\n";

/// One end of a connection.
#[derive(Debug)]
pub struct Wire {
    stream: TcpStream,
    unused: Vec<u8>,
    progress: Option<Progress>,
    silent: bool,
}

/// How long a read or write may take without a byte.
#[derive(Debug)]
struct Progress {
    limit: Duration,
    clock: Arc<dyn Clock>,
}

impl Wire {
    /// Takes over a stream. Nagle's algorithm together with delayed acknowledgements would cost
    /// tens of milliseconds, so it's turned off.
    pub fn open(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            unused: Vec::new(),
            progress: None,
            silent: false,
        })
    }

    /// Lets reads and writes fail that make no progress for a while.
    pub fn expect_progress(&mut self, limit: Duration, clock: Arc<dyn Clock>) {
        self.progress = Some(Progress { limit, clock });
    }

    /// Whether a read or write has failed for want of progress.
    pub fn is_silent(&self) -> bool {
        self.silent
    }

    /// The stream below.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Whether bytes have arrived that belong to no message yet.
    pub fn has_unused(&self) -> bool {
        !self.unused.is_empty()
    }

    /// Waits for more bytes. Returns whether any came before the other end closed.
    pub async fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; READ_SIZE];
        let mut stream = self.stream.clone();
        let count = self.bounded(stream.read(&mut bytes)).await?;
        self.unused.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    /// Writes a message.
    pub async fn write(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        let mut stream = self.stream.clone();
        while !bytes.is_empty() {
            let count = self.bounded(stream.write(bytes)).await?;
            if count == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            bytes = &bytes[count..];
        }
        Ok(())
    }

    async fn bounded<T>(&mut self, step: impl Future<Output = io::Result<T>>) -> io::Result<T> {
        let Some(progress) = &self.progress else {
            return step.await;
        };
        let silent = async {
            progress.clock.sleep(progress.limit).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let done = step.or(silent).await;
        let timed_out = |error: &io::Error| error.kind() == io::ErrorKind::TimedOut;
        self.silent |= done.as_ref().err().is_some_and(timed_out);
        done
    }

    /// Reads the head of a message, or `None` where the other end closed before its first byte.
    pub async fn head(&mut self) -> Result<Option<Vec<u8>>, Fault> {
        let mut searched = 0;
        loop {
            if let Some(end) = find(&self.unused[searched..], BLANK_LINE) {
                let end = searched + end + BLANK_LINE.len();
                let rest = self.unused.split_off(end);
                return Ok(Some(std::mem::replace(&mut self.unused, rest)));
            }
            if self.unused.len() >= HEAD_LIMIT {
                return Err(Fault::HeadTooLarge);
            }
            searched = self.unused.len().saturating_sub(BLANK_LINE.len() - 1);
            match self.fill().await {
                Ok(true) => {}
                _ if self.unused.is_empty() => return Ok(None),
                _ => return Err(Fault::Cut),
            }
        }
    }

    /// Reads a body of a known length.
    pub async fn body(&mut self, length: usize) -> Result<Bytes, Fault> {
        while self.unused.len() < length {
            if !self.fill().await.map_err(|_| Fault::Cut)? {
                return Err(Fault::Cut);
            }
        }
        let rest = self.unused.split_off(length);
        Ok(std::mem::replace(&mut self.unused, rest).into())
    }

    /// What the codec reads: a head, then, where `more` is wanted for chunks, all that follows.
    /// After chunks nobody knows where the next message begins.
    pub(crate) fn feed(&mut self, head: Vec<u8>, more: bool) -> Feed {
        let mut bytes = head;
        if more {
            bytes.append(&mut self.unused);
        }
        Feed {
            bytes: bytes.into(),
            stream: more.then(|| self.stream.clone()),
        }
    }
}

/// A reader for the codec.
#[derive(Debug, Clone)]
pub(crate) struct Feed {
    bytes: Bytes,
    stream: Option<TcpStream>,
}

impl AsyncRead for Feed {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if !self.bytes.is_empty() {
            let count = buf.len().min(self.bytes.len());
            buf[..count].copy_from_slice(&self.bytes.split_to(count));
            return Poll::Ready(Ok(count));
        }
        match &mut self.stream {
            Some(stream) => Pin::new(stream).poll_read(cx, buf),
            None => Poll::Ready(Ok(0)),
        }
    }
}

/// The codec asks for a writer too, for interim responses, which are sent elsewhere.
impl AsyncWrite for Feed {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, _: &[u8]) -> Poll<io::Result<usize>> {
        Poll::Ready(Err(io::ErrorKind::Unsupported.into()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Whether a head has a line with a name, which is given in lower case with its colon.
pub(crate) fn has_line(head: &[u8], name: &[u8]) -> bool {
    lines(head).any(|line| is_named(line, name))
}

/// Names of the headers that the codec adds where a head doesn't have them.
pub(crate) fn made_up(head: &[u8]) -> Vec<&'static [u8]> {
    let added: [(&[u8], &[u8]); 2] = [(b"date:", b"date"), (b"content-type:", b"content-type")];
    let missing = added.into_iter().filter(|(line, _)| !has_line(head, line));
    missing.map(|(_, name)| name).collect()
}

/// The head without the lines of a name.
pub(crate) fn without_line(head: &[u8], name: &[u8]) -> Vec<u8> {
    lines(head)
        .filter(|line| !is_named(line, name))
        .flatten()
        .copied()
        .collect()
}

fn lines(head: &[u8]) -> impl Iterator<Item = &[u8]> {
    head.split_inclusive(|byte| *byte == b'\n')
}

fn is_named(line: &[u8], name: &[u8]) -> bool {
    line.len() >= name.len() && line[..name.len()].eq_ignore_ascii_case(name)
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack
        .windows(needle.len())
        .position(|window| window == needle)
}
