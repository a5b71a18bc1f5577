//! Buffered connection that reads heads and bodies of messages.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use filbertwheel_core::Clock;
use filbertwheel_runtime::TcpStream;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, FutureExt as _, future};

use crate::MessageError;
use crate::budget::BodyLimit;
use crate::head::{BLANKS, is_header_line};

/// Maximum number of bytes per read.
const READ_SIZE: usize = 8 * 1024;
/// Bytes that one connection may read before other tasks have a turn.
const TURN_BYTES: usize = 128 * 1024;
/// Maximum length of a line between chunks, in bytes.
const MAX_CHUNK_LINE: usize = 1_024;
/// What each response begins with.
const RESPONSE_START: &[u8] = b"HTTP/";
/// Maximum size of the trailer after the last chunk, in bytes.
const MAX_TRAILER: usize = 8 * 1024;

/// One end of an HTTP connection.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffered: BytesMut,
    progress: Option<Progress>,
    stalled: bool,
    /// Bytes read since other tasks of the thread last had a turn.
    read_in_turn: usize,
}

/// Time limit for a read or write that makes no progress.
#[derive(Debug)]
pub(crate) struct Progress {
    /// The time limit.
    pub limit: Duration,
    /// Measures it.
    pub clock: Arc<dyn Clock>,
}

impl Connection {
    /// Wraps a stream and disables Nagle's algorithm, which adds tens of milliseconds in
    /// combination with delayed acknowledgements.
    pub fn open(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            buffered: BytesMut::new(),
            progress: None,
            stalled: false,
            read_in_turn: 0,
        })
    }

    /// Makes reads and writes fail that make no progress within a time limit.
    pub fn expect_progress(&mut self, limit: Duration, clock: Arc<dyn Clock>) {
        self.progress = Some(Progress { limit, clock });
    }

    /// Whether a read or write has failed because it made no progress.
    pub fn is_stalled(&self) -> bool {
        self.stalled
    }

    /// Returns the underlying stream.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Whether received bytes are buffered that belong to no message yet.
    pub fn has_buffered(&self) -> bool {
        !self.buffered.is_empty()
    }

    /// Whether received bytes are buffered that belong to no message and begin no response.
    pub(crate) fn has_strays(&self) -> bool {
        let length = self.buffered.len().min(RESPONSE_START.len());
        self.buffered[..length] != RESPONSE_START[..length]
    }

    /// Returns the number of buffered bytes that belong to no message yet.
    pub fn buffered_len(&self) -> usize {
        self.buffered.len()
    }

    /// Discards the buffered bytes. Returns their number.
    pub(crate) fn discard_buffered(&mut self) -> usize {
        let count = self.buffered.len();
        self.buffered.clear();
        count
    }

    /// Waits for more bytes. Returns `false` if the peer closed the connection instead.
    pub async fn fill(&mut self) -> io::Result<bool> {
        let mut stream = self.stream.clone();
        let mut buffered = std::mem::take(&mut self.buffered);
        let filled = buffered.len();
        // The space is on the heap, because an array would be copied with each move of the future.
        buffered.resize(filled + READ_SIZE, 0);
        let mut guard = FillGuard {
            connection: self,
            buffered,
            filled,
        };
        let read = match &guard.connection.progress {
            None => stream.read(&mut guard.buffered[filled..]).await,
            Some(progress) => {
                let (limit, clock) = (progress.limit, Arc::clone(&progress.clock));
                let step = stream.read(&mut guard.buffered[filled..]);
                step.or(stall_timeout(limit, clock)).await
            }
        };
        guard.filled += read.as_ref().map_or(0, |count| *count);
        drop(guard);
        self.record_stall(&read);
        let count = read?;
        self.give_turn(count).await;
        Ok(count > 0)
    }

    /// Gives the other tasks of the thread a turn, since a stream whose next bytes are always there
    /// never waits.
    async fn give_turn(&mut self, count: usize) {
        self.read_in_turn += count;
        if self.read_in_turn >= TURN_BYTES {
            self.read_in_turn = 0;
            future::yield_now().await;
        }
    }

    /// Writes a message.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let written = write_all(&self.stream, bytes, self.progress.as_ref()).await;
        self.record_stall(&written);
        written
    }

    fn record_stall<T>(&mut self, step: &io::Result<T>) {
        let timed_out = |error: &io::Error| error.kind() == io::ErrorKind::TimedOut;
        self.stalled |= step.as_ref().err().is_some_and(timed_out);
    }

    /// Reads the head of a message. Returns `None` if the peer closed the connection before its
    /// first byte. Lines may end in a bare line feed.
    pub async fn read_head(&mut self, limit: usize) -> Result<Option<BytesMut>, MessageError> {
        let mut searched = 0;
        loop {
            if let Some(end) = head_end(&self.buffered, searched) {
                if end > limit {
                    return Err(MessageError::HeadTooLarge);
                }
                return Ok(Some(self.buffered.split_to(end)));
            }
            if self.buffered.len() >= limit {
                return Err(MessageError::HeadTooLarge);
            }
            searched = self.buffered.len().saturating_sub(3);
            match self.fill().await {
                Ok(true) => {}
                _ if self.buffered.is_empty() => return Ok(None),
                _ => return Err(MessageError::Truncated),
            }
        }
    }

    /// Reads a body of a known length.
    pub(crate) async fn read_body(
        &mut self,
        length: usize,
        limit: &mut BodyLimit<'_>,
    ) -> Result<Bytes, MessageError> {
        self.read_part(length, 0, limit).await
    }

    /// Reads a part of a body after the `earlier` bytes of it.
    async fn read_part(
        &mut self,
        length: usize,
        earlier: usize,
        limit: &mut BodyLimit<'_>,
    ) -> Result<Bytes, MessageError> {
        while self.buffered.len() < length {
            limit.grow(earlier + self.buffered.len())?;
            if !self.fill().await.map_err(|_| MessageError::Truncated)? {
                return Err(MessageError::Truncated);
            }
        }
        Ok(self.buffered.split_to(length).freeze())
    }

    /// Reads a body that ends when the peer closes the connection. A connection reset is an error.
    pub(crate) async fn read_to_end(
        &mut self,
        limit: &mut BodyLimit<'_>,
    ) -> Result<Bytes, MessageError> {
        limit.grow(self.buffered.len())?;
        while self.fill().await.map_err(|_| MessageError::Truncated)? {
            limit.grow(self.buffered.len())?;
        }
        Ok(self.buffered.split().freeze())
    }

    /// Reads a chunked body with its trailer, and no bytes beyond it.
    pub(crate) async fn read_chunked(
        &mut self,
        limit: &mut BodyLimit<'_>,
    ) -> Result<Bytes, MessageError> {
        let mut body = BytesMut::new();
        loop {
            let size = chunk_size(&self.read_line(MAX_CHUNK_LINE).await?)?;
            if size == 0 {
                break;
            }
            if !limit.allows(body.len().saturating_add(size)) {
                return Err(MessageError::BodyTooLarge);
            }
            let part = self.read_part(size, body.len(), limit).await?;
            limit.grow(body.len() + size)?;
            body.extend_from_slice(&part);
            if !self.read_line(MAX_CHUNK_LINE).await?.is_empty() {
                return Err(MessageError::Malformed);
            }
        }
        let mut left = MAX_TRAILER;
        loop {
            let line = self.read_line(left).await?;
            if line.is_empty() {
                return Ok(body.freeze());
            }
            if !is_header_line(&line) {
                return Err(MessageError::Malformed);
            }
            left = left.saturating_sub(line.len());
        }
    }

    /// Reads a line and strips its line ending.
    async fn read_line(&mut self, limit: usize) -> Result<Bytes, MessageError> {
        loop {
            if let Some(end) = self.buffered.iter().position(|byte| *byte == b'\n') {
                let mut line = self.buffered.split_to(end + 1);
                line.truncate(end);
                if line.last() == Some(&b'\r') {
                    line.truncate(end - 1);
                }
                return Ok(line.freeze());
            }
            if self.buffered.len() >= limit {
                return Err(MessageError::Malformed);
            }
            if !self.fill().await.map_err(|_| MessageError::Truncated)? {
                return Err(MessageError::Truncated);
            }
        }
    }
}

/// Returns the buffer to its connection, also if the read is cancelled.
struct FillGuard<'a> {
    connection: &'a mut Connection,
    buffered: BytesMut,
    filled: usize,
}

impl Drop for FillGuard<'_> {
    fn drop(&mut self) {
        self.buffered.truncate(self.filled);
        self.connection.buffered = std::mem::take(&mut self.buffered);
    }
}

/// Writes all bytes, and fails if no progress is made within a time limit.
pub(crate) async fn write_all(
    stream: &TcpStream,
    mut bytes: &[u8],
    progress: Option<&Progress>,
) -> io::Result<()> {
    let mut stream = stream.clone();
    while !bytes.is_empty() {
        let step = stream.write(bytes);
        let count = match progress {
            None => step.await?,
            Some(progress) => {
                let timeout = stall_timeout(progress.limit, Arc::clone(&progress.clock));
                step.or(timeout).await?
            }
        };
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        bytes = &bytes[count..];
    }
    Ok(())
}

async fn stall_timeout<T>(limit: Duration, clock: Arc<dyn Clock>) -> io::Result<T> {
    clock.sleep(limit).await;
    Err(io::ErrorKind::TimedOut.into())
}

/// Returns the end of a head, which is after its first empty line. The search starts at `from`.
fn head_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut start = from;
    while let Some(feed) = bytes[start..].iter().position(|byte| *byte == b'\n') {
        let next = start + feed + 1;
        match bytes.get(next..) {
            Some([b'\n', ..]) => return Some(next + 1),
            Some([b'\r', b'\n', ..]) => return Some(next + 2),
            _ => start = next,
        }
    }
    None
}

/// Parses the size of a chunk from its first line. Chunk extensions are ignored.
fn chunk_size(line: &[u8]) -> Result<usize, MessageError> {
    let is_control = |byte: &u8| byte.is_ascii_control() && *byte != b'\t';
    if line.iter().any(is_control) {
        return Err(MessageError::Malformed);
    }
    let size = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = std::str::from_utf8(size).map_err(|_| MessageError::Malformed)?;
    let digits = digits.trim_end_matches(BLANKS);
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(MessageError::Malformed);
    }
    usize::from_str_radix(digits, 16).map_err(|_| MessageError::BodyTooLarge)
}
