//! Follows a table of the store: lists its rows once, then watches for changes.

use std::sync::Arc;
use std::time::Duration;

use filbertwheel_core::{Clock, Revision};
use filbertwheel_platform::{RowChanges, Store, StoreError, StoreRow};

/// Timeout of one watch request. A watcher that is cut off from the store without an error finds out
/// when it ends.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum and maximum backoff after a failed request to the store.
const MIN_BACKOFF: Duration = Duration::from_millis(300);
const MAX_BACKOFF: Duration = Duration::from_millis(1_200);
/// Jitter of the backoff as a fraction of it, so that the nodes don't retry together.
const BACKOFF_JITTER: f64 = 0.5;

/// Follows one table.
#[derive(Debug)]
pub(super) struct Feed {
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    table: &'static str,
    /// Revision up to which the table was read; `None` before it is listed.
    revision: Option<Revision>,
    backoff: Duration,
}

/// Rows returned by one request to the store.
#[derive(Debug)]
pub(super) enum Update {
    /// All rows of the table.
    Listed(Vec<StoreRow>),
    /// Rows that have changed since the last request.
    Changed(RowChanges),
}

impl Feed {
    /// Creates a feed that starts by listing the table.
    pub fn open(store: Arc<dyn Store>, clock: Arc<dyn Clock>, table: &'static str) -> Self {
        Self {
            store,
            clock,
            table,
            revision: None,
            backoff: MIN_BACKOFF,
        }
    }

    /// Lists the table if it was not read yet, else waits for changes.
    pub async fn next(&mut self) -> Result<Update, StoreError> {
        let update = match self.revision {
            None => self.store.list(self.table).await.map(|listed| {
                let revision = listed.revision;
                (Update::Listed(listed.value), revision)
            }),
            Some(after) => {
                let changed = self.store.watch(self.table, after, WATCH_TIMEOUT).await;
                changed.map(|changed| (Update::Changed(changed.value), changed.revision))
            }
        };
        match update {
            Ok((update, revision)) => {
                self.revision = Some(revision);
                self.backoff = MIN_BACKOFF;
                Ok(update)
            }
            Err(error) => {
                // After the store has compacted the revision, only a new list shows all changes.
                if error == StoreError::Compacted {
                    self.restart();
                }
                Err(error)
            }
        }
    }

    /// Makes the next request list the table again.
    pub fn restart(&mut self) {
        self.revision = None;
    }

    /// Waits after a failed request, with exponential backoff.
    pub async fn back_off(&mut self) {
        let random: f64 = rand::random();
        let backoff = self.backoff.mul_f64(1.0 + (random - 0.5) * BACKOFF_JITTER);
        self.clock.sleep(backoff).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}
