//! Follows a table of the store: lists its rows once, then watches for changes.

use std::sync::Arc;
use std::time::Duration;

use filbertwheel_core::{Clock, Epoch, StorePosition};
use filbertwheel_platform::{RowChanges, Store, StoreError, StoreRow};
use futures_lite::FutureExt as _;

use super::ControlParts;
use crate::epochs::StoreEpoch;

/// Timeout of one watch request. A watcher that is cut off from the store without an error finds out
/// when it ends.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum and maximum backoff after a failed request to the store.
const MIN_BACKOFF: Duration = Duration::from_millis(300);
const MAX_BACKOFF: Duration = Duration::from_millis(1_200);
/// Jitter of the backoff as a fraction of it, so that the nodes don't retry together.
const BACKOFF_JITTER: f64 = 0.5;
/// Interval at which an open watch checks whether the store was restored meanwhile.
const EPOCH_INTERVAL: Duration = Duration::from_millis(100);

/// Follows one table.
#[derive(Debug)]
pub(super) struct Feed {
    store: Arc<dyn Store>,
    epoch: Arc<StoreEpoch>,
    clock: Arc<dyn Clock>,
    table: &'static str,
    /// Up to where the table was read; `None` before it is listed.
    position: Option<StorePosition>,
    /// Highest known epoch when the table was last listed.
    listed_epoch: Epoch,
    backoff: Duration,
}

/// Rows returned by one request to the store.
#[derive(Debug)]
pub(super) struct Update {
    /// Position up to which the table is known now.
    pub position: StorePosition,
    pub rows: Rows,
}

/// Rows of a table.
#[derive(Debug)]
pub(super) enum Rows {
    /// All rows of the table.
    Listed(Vec<StoreRow>),
    /// Rows that have changed since the last request.
    Changed(RowChanges),
}

impl Feed {
    /// Creates a feed that starts by listing the table.
    pub fn open(parts: &ControlParts, table: &'static str) -> Self {
        Self {
            store: Arc::clone(&parts.dependencies.store),
            epoch: Arc::clone(&parts.epoch),
            clock: Arc::clone(&parts.clock),
            table,
            position: None,
            listed_epoch: 0,
            backoff: MIN_BACKOFF,
        }
    }

    /// Lists the table if it was not read yet in the store's present epoch, else waits for changes.
    pub async fn next(&mut self) -> Result<Update, StoreError> {
        if let Some(position) = self.position {
            match self.watch(position).await {
                Ok(update) => return Ok(update),
                // Only a new list shows all changes.
                Err(StoreError::Compacted | StoreError::Superseded) => {
                    tracing::info!(
                        table = self.table,
                        epoch = position.epoch,
                        revision = position.revision,
                        "control: A table is listed anew."
                    );
                    self.restart();
                }
                Err(error) => return Err(error),
            }
        }
        self.list().await
    }

    async fn list(&mut self) -> Result<Update, StoreError> {
        let known = self.epoch.highest();
        let listed = self.store.list(self.table).await?;
        self.listed_epoch = known;
        Ok(self.proceed(listed.position(), Rows::Listed(listed.value)))
    }

    /// Waits for changes after a position. Fails if the store was restored since.
    async fn watch(&mut self, position: StorePosition) -> Result<Update, StoreError> {
        let watch = self
            .store
            .watch(self.table, position.revision, WATCH_TIMEOUT);
        let restored = async {
            let known = self.listed_epoch.max(position.epoch);
            while self.epoch.highest() <= known {
                self.clock.sleep(EPOCH_INTERVAL).await;
            }
            Err(StoreError::Superseded)
        };
        let changed = watch.or(restored).await?;
        // Within an epoch the revision never falls.
        if changed.epoch != position.epoch || changed.revision < position.revision {
            return Err(StoreError::Superseded);
        }
        Ok(self.proceed(changed.position(), Rows::Changed(changed.value)))
    }

    fn proceed(&mut self, position: StorePosition, rows: Rows) -> Update {
        self.position = Some(position);
        self.backoff = MIN_BACKOFF;
        Update { position, rows }
    }

    /// Makes the next request list the table again.
    pub fn restart(&mut self) {
        self.position = None;
    }

    /// Waits after a failed request, with exponential backoff.
    pub async fn back_off(&mut self) {
        let random: f64 = rand::random();
        let backoff = self.backoff.mul_f64(1.0 + (random - 0.5) * BACKOFF_JITTER);
        self.clock.sleep(backoff).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}
