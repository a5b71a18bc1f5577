//! Follows a table of the store: lists it once, then waits for what changes.

use std::sync::Arc;
use std::time::Duration;

use filbertwheel_core::Clock;
use filbertwheel_platform::{Revision, RowChanges, Store, StoreError, StoreRow};

/// Longest time that one look for changes waits.
const WATCH_TIME: Duration = Duration::from_secs(20);
/// Pause after a look that failed, at first and at most.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
const LONGEST_PAUSE: Duration = Duration::from_millis(1_200);
/// Spread of a pause, so that the nodes don't come back to the store together.
const PAUSE_SPREAD: f64 = 0.5;

/// A table that's followed.
#[derive(Debug)]
pub(super) struct Feed {
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    table: &'static str,
    /// Up to where it was read.
    at: Option<Revision>,
    pause: Duration,
}

/// What one look brought.
#[derive(Debug)]
pub(super) enum Look {
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
            at: None,
            pause: FIRST_PAUSE,
        }
    }

    /// Lists the table, or waits for changes.
    pub async fn next(&mut self) -> Result<Look, StoreError> {
        let look = match self.at {
            None => self.store.list(self.table).await.map(|listed| {
                let revision = listed.revision;
                (Look::Listed(listed.value), revision)
            }),
            Some(after) => {
                let changed = self.store.watch(self.table, after, WATCH_TIME).await;
                changed.map(|changed| (Look::Changed(changed.value), changed.revision))
            }
        };
        match look {
            Ok((look, revision)) => {
                self.at = Some(revision);
                self.pause = FIRST_PAUSE;
                Ok(look)
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
        self.at = None;
    }

    /// Waits after a look that failed, longer each time.
    pub async fn back_off(&mut self) {
        let spread: f64 = rand::random();
        let pause = self.pause.mul_f64(1.0 + (spread - 0.5) * PAUSE_SPREAD);
        self.clock.sleep(pause).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }
}
