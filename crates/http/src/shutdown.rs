//! A signal to stop, seen by every task that waits for it.

use async_channel::{Receiver, Sender};

/// Gives the signal.
#[derive(Debug)]
pub struct ShutdownTrigger(Sender<()>);

/// Sees the signal. Cheap to clone.
#[derive(Debug, Clone)]
pub struct ShutdownSignal(Receiver<()>);

impl ShutdownTrigger {
    /// A signal that hasn't been given, and one view of it.
    pub fn open() -> (Self, ShutdownSignal) {
        let (sender, receiver) = async_channel::bounded(1);
        (Self(sender), ShutdownSignal(receiver))
    }

    /// Gives the signal.
    pub fn trigger(self) {
        self.0.close();
    }
}

impl ShutdownSignal {
    /// Whether the signal was given.
    pub fn is_triggered(&self) -> bool {
        self.0.is_closed()
    }

    /// Completes once the signal is given.
    pub async fn wait(&self) {
        let _closed = self.0.recv().await;
    }
}
