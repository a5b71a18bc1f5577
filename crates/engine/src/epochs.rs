//! The epoch of the store, as its responses and other nodes state it.

use std::sync::atomic::{AtomicU64, Ordering};

use filbertwheel_core::Epoch;
use filbertwheel_platform::{StoreError, StoreResponse};

/// Value before the first response of the store.
const NO_EPOCH: u64 = u64::MAX;

/// Follows the epoch of the store.
#[derive(Debug)]
pub(crate) struct StoreEpoch {
    /// Epoch of the store's latest response.
    latest: AtomicU64,
    /// Highest epoch of which another node has told.
    heard: AtomicU64,
}

impl StoreEpoch {
    /// Creates the state of a node that has not heard from the store yet.
    pub fn open() -> Self {
        Self {
            latest: AtomicU64::new(NO_EPOCH),
            heard: AtomicU64::new(0),
        }
    }

    /// Returns the epoch of the store's latest response, if there was one.
    pub fn latest(&self) -> Option<Epoch> {
        let latest = self.latest.load(Ordering::Relaxed);
        (latest != NO_EPOCH).then_some(latest)
    }

    /// Returns the highest epoch that the store or another node has stated.
    pub fn highest(&self) -> Epoch {
        let heard = self.heard.load(Ordering::Relaxed);
        heard.max(self.latest().unwrap_or_default())
    }

    /// Records the epoch that another node has stated.
    pub fn hear(&self, epoch: Epoch) {
        self.heard.fetch_max(epoch, Ordering::Relaxed);
    }

    /// Records the epoch of a response to a request that was sent when `known` was the latest one.
    /// Fails if the store was restored since it has responded.
    pub fn check<T>(
        &self,
        known: Option<Epoch>,
        response: StoreResponse<T>,
    ) -> Result<StoreResponse<T>, StoreError> {
        let (epoch, latest) = (response.epoch, self.latest());
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
        self.latest.store(epoch, Ordering::Relaxed);
        let revision = response.revision;
        match latest {
            None => tracing::info!(epoch, revision, "store: First response of the store."),
            Some(before) => tracing::warn!(
                epoch,
                before,
                revision,
                "store: The store was restored from an older copy."
            ),
        }
        Ok(response)
    }
}
