//! The epoch of the store, as its responses and other nodes state it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use filbertwheel_core::{Clock, Epoch};
use filbertwheel_platform::{StoreError, StoreResponse};

/// Epoch of a store that was never restored. A store that states no epoch has a lower one.
const FIRST_EPOCH: Epoch = 1;

/// Follows the epoch of the store.
#[derive(Debug)]
pub(crate) struct StoreEpoch {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Epoch of the store's latest response.
    latest: Option<Epoch>,
    /// Highest epoch of which another node has told.
    heard: Epoch,
    /// When this node first had a response of the latest epoch, if that followed a restore.
    restored: Option<Instant>,
}

impl StoreEpoch {
    /// Creates the state of a node that has not heard from the store yet.
    pub fn open(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            state: Mutex::default(),
        }
    }

    /// Returns the epoch of the store's latest response, if there was one.
    pub fn latest(&self) -> Option<Epoch> {
        self.lock().latest
    }

    /// Returns the highest epoch that the store or another node has stated.
    pub fn highest(&self) -> Epoch {
        let state = self.lock();
        state.heard.max(state.latest.unwrap_or_default())
    }

    /// Returns whether the store was restored at some time.
    pub fn was_restored(&self) -> bool {
        self.highest() > FIRST_EPOCH
    }

    /// Returns when this node found that the store was restored, if it was: no earlier than the last
    /// restore.
    pub fn restored(&self) -> Option<Instant> {
        self.lock().restored
    }

    /// Records the epoch that another node has stated.
    pub fn hear(&self, epoch: Epoch) {
        let mut state = self.lock();
        state.heard = state.heard.max(epoch);
    }

    /// Records the epoch of a response to a request that was sent when `known` was the latest one.
    /// Fails if the store was restored since it has responded.
    pub fn check<T>(
        &self,
        known: Option<Epoch>,
        response: StoreResponse<T>,
    ) -> Result<StoreResponse<T>, StoreError> {
        let (epoch, revision) = (response.epoch, response.revision);
        let mut state = self.lock();
        let latest = state.latest;
        if latest == Some(epoch) {
            return Ok(response);
        }
        if latest != known && latest.is_some_and(|latest| epoch < latest) {
            tracing::warn!(
                epoch,
                ?latest,
                "store: Ignored a response from before a restore."
            );
            return Err(StoreError::Superseded);
        }
        state.latest = Some(epoch);
        match latest {
            None => tracing::info!(epoch, revision, "store: First response of the store."),
            Some(before) => tracing::warn!(
                epoch,
                before,
                revision,
                "store: The store was restored from an older copy."
            ),
        }
        if latest.is_some() || epoch > FIRST_EPOCH {
            state.restored = Some(self.clock.now());
        }
        Ok(response)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
