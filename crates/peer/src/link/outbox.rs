//! Frames that wait to be written to a link.

use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};
use bytes::BytesMut;
use filbertwheel_runtime::TcpStream;
use futures_lite::AsyncWriteExt as _;

use super::frame::Frame;

/// Bytes that may wait for a link that doesn't take them.
const MAX_QUEUED_BYTES: usize = 32 * 1024 * 1024;

/// Frames that wait to be written. Many threads append, one task writes.
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
    /// Bytes that were appended and handed to the system since the link was opened.
    appended: u64,
    written: u64,
}

/// Where a frame begins among all bytes of a link.
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

    /// Takes frames for a new link.
    pub fn reset(&self) {
        *self.lock() = State {
            open: true,
            ..State::default()
        };
    }

    /// Drops what waits, and takes no more frames.
    pub fn close(&self) {
        let mut state = self.lock();
        state.open = false;
        state.queued.clear();
    }

    /// Appends a frame. Returns where it begins, or `None` where the link is down or stuck.
    pub fn push(&self, frame: &Frame) -> Option<Offset> {
        let mut state = self.lock();
        if !state.open || state.queued.len() > MAX_QUEUED_BYTES {
            return None;
        }
        let offset = state.appended;
        let before = state.queued.len();
        frame.append(&mut state.queued);
        state.appended += (state.queued.len() - before) as u64;
        drop(state);
        // A full channel means that the writer is awake already.
        let _full = self.wake_sender.try_send(());
        Some(offset)
    }

    /// Whether any byte from a position on may have left this VM.
    pub fn may_have_been_sent(&self, offset: Offset) -> bool {
        offset < self.lock().written
    }

    /// Writes what is appended until the stream fails.
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
