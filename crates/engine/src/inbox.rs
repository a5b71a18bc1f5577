//! What traffic tells control. Waking another thread costs more than most messages are worth, so
//! only urgent ones do; the others wait until control looks.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use async_channel::{Receiver, Sender};

use crate::control::Message;

/// Messages that may wait; more are dropped.
const MAX_MESSAGES: usize = 16_384;

/// Messages on their way to control.
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

    /// Leaves a message for control's next look.
    pub fn push(&self, message: Message) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.len() < MAX_MESSAGES {
            waiting.push_back(message);
        } else {
            tracing::warn!("engine: Control is behind; a message was dropped.");
        }
    }

    /// Leaves a message and wakes control.
    pub fn push_urgent(&self, message: Message) {
        self.push(message);
        // A full channel means that control is awake already.
        let _full = self.wake_sender.try_send(());
    }

    /// Waits for an urgent message.
    pub async fn wait_urgent(&self) {
        // The inbox holds both ends, so the channel never closes.
        let _open = self.wake_receiver.recv().await;
    }

    /// Takes all messages.
    pub fn drain(&self) -> VecDeque<Message> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut waiting)
    }
}
