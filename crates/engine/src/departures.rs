//! Departures of the local backend server. The traffic threads record them, and the control thread
//! keeps them in the store.

use std::sync::{Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};
use filbertwheel_core::{Epoch, InstanceId};
use filbertwheel_policy::{Departure, DepartureLog, DepartureRow, DepartureWrite};

/// Departures of the local backend server, shared by all threads of a node.
#[derive(Debug)]
pub(crate) struct Departures {
    state: Mutex<State>,
    /// Wakes the control thread after a departure.
    wake: (Sender<()>, Receiver<()>),
}

#[derive(Debug, Default)]
struct State {
    log: DepartureLog,
    /// Dropped, which closes their channels, when the store has changed.
    waiters: Vec<Sender<()>>,
}

impl Departures {
    /// Creates the state of a node that has not read its row yet.
    pub fn open() -> Self {
        Self {
            state: Mutex::default(),
            wake: async_channel::bounded(1),
        }
    }

    /// Records a departure and wakes the control thread, which stores it.
    pub fn record(&self, departure: Departure) {
        self.lock().log.record(departure);
        // A full channel means that a wake-up is already pending.
        let _full = self.wake.0.try_send(());
    }

    /// Returns whether a life of an instance has left, by its start in milliseconds since the Unix
    /// epoch.
    pub fn has_left(&self, instance: &InstanceId, started_ms: u64) -> bool {
        self.lock().log.has_left(instance, started_ms)
    }

    /// Waits until the store holds a departure.
    pub async fn wait_stored(&self, departure: &Departure) {
        loop {
            let changed = {
                let mut state = self.lock();
                if state.log.is_stored(departure) {
                    return;
                }
                let (sender, receiver) = async_channel::bounded::<()>(1);
                state.waiters.push(sender);
                receiver
            };
            let _closed = changed.recv().await;
        }
    }

    /// Waits until a departure is recorded.
    pub async fn wait_recorded(&self) {
        // Both ends are owned here, so the channel never closes.
        let _open = self.wake.1.recv().await;
    }

    /// Records the epoch of the store.
    pub fn observe_epoch(&self, epoch: Epoch) {
        self.lock().log.observe_epoch(epoch);
    }

    /// Returns whether the row has to be read.
    pub fn needs_read(&self) -> bool {
        self.lock().log.needs_read()
    }

    /// Returns whether the row was read since the start of the process, by this node or for it.
    pub fn is_recovered(&self) -> bool {
        self.lock().log.is_recovered()
    }

    /// Applies the row as it was read, unless that was before a restore.
    pub fn apply_row(&self, row: DepartureRow) {
        let mut state = self.lock();
        state.log.apply_row(row);
        state.waiters.clear();
    }

    /// Returns the write that is due, if any.
    pub fn due_write(&self) -> Option<DepartureWrite> {
        self.lock().log.due_write()
    }

    /// Applies the outcome of a write: the revision and the epoch at which it took effect, or `None` if
    /// it has failed or its outcome is unknown.
    pub fn finish_write(
        &self,
        write: &DepartureWrite,
        outcome: Option<(filbertwheel_core::Revision, Epoch)>,
    ) {
        let mut state = self.lock();
        match outcome {
            Some((revision, epoch)) => state.log.finish_write(write, revision, epoch),
            None => state.log.fail_write(),
        }
        state.waiters.clear();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
