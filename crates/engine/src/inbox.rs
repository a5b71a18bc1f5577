//! Messages from the traffic threads to the control thread.
//!
//! Waking another thread is expensive, so only urgent messages do it. The others wait until the
//! control thread next reads the inbox.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use async_channel::{Receiver, Sender};

use crate::control::Message;

/// Maximum number of waiting messages; further ones are dropped.
const MAX_MESSAGES: usize = 16_384;

/// Queue of messages to the control thread.
#[derive(Debug)]
pub(crate) struct Inbox {
    waiting: Mutex<VecDeque<Message>>,
    wake_sender: Sender<()>,
    wake_receiver: Receiver<()>,
}

impl Inbox {
    pub fn open() -> Self {
        let (wake_sender, wake_receiver) = async_channel::bounded(1);
        Self {
            waiting: Mutex::default(),
            wake_sender,
            wake_receiver,
        }
    }

    /// Adds a message without waking the control thread.
    pub fn push(&self, message: Message) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.len() < MAX_MESSAGES {
            waiting.push_back(message);
        } else {
            tracing::warn!(
                "engine: The inbox of the control thread is full; a message was dropped."
            );
        }
    }

    /// Adds a message and wakes the control thread.
    pub fn push_urgent(&self, message: Message) {
        self.push(message);
        // A full channel means that a wake-up is already pending.
        let _full = self.wake_sender.try_send(());
    }

    /// Waits for an urgent message.
    pub async fn wait_urgent(&self) {
        // The inbox owns both ends, so the channel never closes.
        let _open = self.wake_receiver.recv().await;
    }

    /// Removes and returns all messages.
    pub fn drain(&self) -> VecDeque<Message> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut waiting)
    }
}
