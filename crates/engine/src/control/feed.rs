//! Follows a table of the store: lists it once, then waits for what changes.

use std::sync::Arc;
use std::time::Duration;

use filbertwheel_core::Clock;
use filbertwheel_platform::{Revision, RowChanges, Store, StoreError, StoreRow};

/// Longest time that one look for changes waits.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause after a look that failed, at first and at most.
const MIN_BACKOFF: Duration = Duration::from_millis(300);
const MAX_BACKOFF: Duration = Duration::from_millis(1_200);
/// Spread of a pause, so that the nodes don't come back to the store together.
const BACKOFF_JITTER: f64 = 0.5;

/// A table that's followed.
#[derive(Debug)]
pub(super) struct Feed {
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    table: &'static str,
    /// Up to where it was read.
    revision: Option<Revision>,
    backoff: Duration,
}

/// What one look brought.
#[derive(Debug)]
pub(super) enum Update {
    /// All rows.
    Listed(Vec<StoreRow>),
    /// What has changed since the last look.
    Changed(RowChanges),
}

impl Feed {
    /// A feed of a table that begins with all of its rows.
    pub fn open(store: Arc<dyn Store>, clock: Arc<dyn Clock>, table: &'static str) -> Self {
        Self {
            store,
            clock,
            table,
            revision: None,
            backoff: MIN_BACKOFF,
        }
    }

    /// Lists the table, or waits for changes.
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
                // History that is gone can only be made up for by a new list.
                if error == StoreError::Compacted {
                    self.restart();
                }
                Err(error)
            }
        }
    }

    /// Begins with all rows again.
    pub fn restart(&mut self) {
        self.revision = None;
    }

    /// Waits after a look that failed, longer each time.
    pub async fn back_off(&mut self) {
        let random: f64 = rand::random();
        let backoff = self.backoff.mul_f64(1.0 + (random - 0.5) * BACKOFF_JITTER);
        self.clock.sleep(backoff).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}
