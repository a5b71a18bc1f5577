//! Queue of outgoing frames of a link.

use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};
use bytes::BytesMut;
use filbertwheel_core::InstanceNotice;
use filbertwheel_runtime::TcpStream;
use futures_lite::AsyncWriteExt as _;

use super::frame::Frame;

/// Queue size in bytes above which no more frames are accepted, because the peer reads too slowly.
const MAX_QUEUED_BYTES: usize = 32 * 1024 * 1024;

/// Queue of encoded frames. Many threads append to it, one task writes it to the stream.
#[derive(Debug)]
pub(crate) struct Outbox {
    state: Mutex<State>,
    wake_sender: Sender<()>,
    wake_receiver: Receiver<()>,
}

#[derive(Debug, Default)]
struct State {
    open: bool,
    queued: BytesMut,
    /// Bytes that were appended since the link was opened.
    appended: u64,
    /// Bytes that were taken from the queue for writing since the link was opened.
    written: u64,
}

/// Offset of a frame's first byte in the byte stream of a link.
pub(crate) type Offset = u64;

impl Outbox {
    pub fn open() -> Self {
        let (wake_sender, wake_receiver) = async_channel::bounded(1);
        Self {
            state: Mutex::default(),
            wake_sender,
            wake_receiver,
        }
    }

    /// Clears the queue and accepts frames for a new connection.
    pub fn reset(&self) {
        *self.lock() = State {
            open: true,
            ..State::default()
        };
    }

    /// Drops the queued bytes and accepts no more frames.
    pub fn close(&self) {
        let mut state = self.lock();
        state.open = false;
        state.queued.clear();
    }

    /// Appends a frame. Returns its offset, or `None` if the link is down or the queue is full.
    pub fn push(&self, frame: &Frame) -> Option<Offset> {
        self.push_with(frame, None)
    }

    /// Appends a frame with a notice. Returns its offset, or `None` if the link is down or the queue
    /// is full.
    pub fn push_with(&self, frame: &Frame, notice: Option<InstanceNotice>) -> Option<Offset> {
        let mut state = self.lock();
        if !state.open || state.queued.len() > MAX_QUEUED_BYTES {
            return None;
        }
        let offset = state.appended;
        let before = state.queued.len();
        frame.append(notice.as_ref(), &mut state.queued);
        state.appended += (state.queued.len() - before) as u64;
        drop(state);
        // If the channel is full, the writer has been woken already.
        let _full = self.wake_sender.try_send(());
        Some(offset)
    }

    /// Whether any byte of the frame at `offset` may have left this VM.
    pub fn may_have_been_sent(&self, offset: Offset) -> bool {
        offset < self.lock().written
    }

    /// Writes queued bytes to the stream until it fails.
    pub async fn write_to(&self, mut stream: TcpStream) -> io::Result<()> {
        loop {
            let bytes = {
                let mut state = self.lock();
                let bytes = state.queued.split();
                state.written += bytes.len() as u64;
                bytes
            };
            if bytes.is_empty() {
                if self.wake_receiver.recv().await.is_err() {
                    return Ok(());
                }
                continue;
            }
            stream.write_all(&bytes).await?;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
