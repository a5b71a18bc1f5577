//! Shutdown signal that any number of tasks can wait for.

use async_channel::{Receiver, Sender};

/// Triggers the shutdown signal. Dropping it triggers the signal as well.
#[derive(Debug)]
pub struct ShutdownTrigger(Sender<()>);

/// Receiver of the shutdown signal. Cheap to clone.
#[derive(Debug, Clone)]
pub struct ShutdownSignal(Receiver<()>);

impl ShutdownTrigger {
    /// Creates a trigger and its signal.
    pub fn open() -> (Self, ShutdownSignal) {
        let (sender, receiver) = async_channel::bounded(1);
        (Self(sender), ShutdownSignal(receiver))
    }

    /// Triggers the signal.
    pub fn trigger(self) {
        self.0.close();
    }
}

impl ShutdownSignal {
    /// Whether the signal has been triggered.
    pub fn is_triggered(&self) -> bool {
        self.0.is_closed()
    }

    /// Completes once the signal is triggered.
    pub async fn wait(&self) {
        let _closed = self.0.recv().await;
    }
}
