//! The epoch of the store, as its responses state it.

use std::sync::atomic::{AtomicU64, Ordering};

use filbertwheel_core::{Epoch, Revision};
use filbertwheel_platform::StoreResponse;

/// Value before the first response of the store.
const NO_EPOCH: u64 = u64::MAX;

/// Follows the epoch of the store by its responses.
#[derive(Debug)]
pub(crate) struct StoreEpoch {
    latest: AtomicU64,
}

impl StoreEpoch {
    /// Creates the state of a node that has not heard from the store yet.
    pub fn open() -> Self {
        Self {
            latest: AtomicU64::new(NO_EPOCH),
        }
    }

    /// Returns the latest epoch in a response of the store, if there was one.
    pub fn latest(&self) -> Option<Epoch> {
        let latest = self.latest.load(Ordering::Relaxed);
        (latest != NO_EPOCH).then_some(latest)
    }

    /// Records the epoch of a response.
    pub fn record<T>(&self, response: &StoreResponse<T>) {
        let (epoch, before) = (response.epoch, self.latest());
        if before != Some(epoch) {
            self.latest.store(epoch, Ordering::Relaxed);
            report(before, epoch, response.revision);
        }
    }
}

fn report(before: Option<Epoch>, epoch: Epoch, revision: Revision) {
    match before {
        None => tracing::info!(epoch, revision, "store: First response of the store."),
        Some(before) if epoch < before => tracing::warn!(
            epoch,
            before,
            revision,
            "store: A response comes from before a restore."
        ),
        Some(before) => tracing::warn!(
            epoch,
            before,
            revision,
            "store: The store was restored from an older copy."
        ),
    }
}
