//! Interface to a transactional store of rows that can be watched for changes.

use std::fmt::Debug;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::{Display, Error};
use filbertwheel_core::{Epoch, Revision, StorePosition, Text, copy_value, value};

/// A stored row.
#[value]
pub struct StoreRow {
    /// Key of the row within its table.
    pub key: Text,
    /// Value of the row.
    pub value: Bytes,
    /// Revision of the row's last change.
    pub revision: Revision,
}

/// One write of a transaction.
#[value]
pub struct StoreWrite {
    /// Table of the row.
    pub table: &'static str,
    /// Key of the row.
    pub key: Text,
    /// Revision that the row must have; 0 if it must not exist, `None` for no condition.
    pub expected_revision: Option<Revision>,
    /// The new value; `None` removes the row.
    pub value: Option<Bytes>,
}

/// A response of the store, with the store's monotonic time.
#[value]
pub struct StoreResponse<T> {
    /// Result of the operation.
    pub value: T,
    /// Latest revision of the store at the time of the response.
    pub revision: Revision,
    /// Epoch of the store at the time of the response; 0 if the store doesn't state one.
    pub epoch: Epoch,
    /// Reading of the store's monotonic clock.
    pub store_time: Duration,
}

impl<T> StoreResponse<T> {
    /// Returns the newest position in the store's history at the time of the response.
    pub fn position(&self) -> StorePosition {
        StorePosition {
            epoch: self.epoch,
            revision: self.revision,
        }
    }
}

/// Changes of a table in order, by key. `None` means that the row was removed.
pub type RowChanges = Vec<(Text, Option<StoreRow>)>;

/// Why an operation on the store failed.
#[copy_value]
#[derive(Display, Error)]
pub enum StoreError {
    /// A row's revision differs from the one that the transaction expects. Nothing was written.
    #[display("a row was changed by another writer")]
    Conflict,
    /// The store refused the operation. Nothing was written.
    #[display("the store refused the operation")]
    Refused,
    /// The store is unreachable. Nothing was written.
    #[display("the store is unreachable")]
    Unreachable,
    /// The response was lost. A write may have taken effect, or may still take effect.
    #[display("the store's response was lost")]
    Unknown,
    /// The requested part of the history has been compacted.
    #[display("the requested history has been compacted")]
    Compacted,
    /// The store's response can't be decoded.
    #[display("the store's response is malformed")]
    Malformed,
    /// The response comes from before a restore of the store, so what it says may be undone.
    #[display("the store was restored meanwhile")]
    Superseded,
}

/// A transactional store of rows in tables.
#[async_trait]
pub trait Store: Debug + Send + Sync {
    /// Reads all rows of a table.
    async fn list(&self, table: &'static str) -> Result<StoreResponse<Vec<StoreRow>>, StoreError>;

    /// Reads one row; `None` if it doesn't exist.
    async fn read(
        &self,
        table: &'static str,
        key: &Text,
    ) -> Result<StoreResponse<Option<StoreRow>>, StoreError>;

    /// Returns the changes of a table after a revision, waiting up to `wait` for the first one.
    async fn watch(
        &self,
        table: &'static str,
        after: Revision,
        wait: Duration,
    ) -> Result<StoreResponse<RowChanges>, StoreError>;

    /// Applies all the writes or none. The response's revision is that of the written rows.
    async fn commit(&self, writes: &[StoreWrite]) -> Result<StoreResponse<()>, StoreError>;
}
