//! The border towards a store of rows that can be watched.

use std::fmt::Debug;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::{Display, Error};
use filbertwheel_core::{Text, copy_value, value};

/// Position in the store's history.
pub type Revision = u64;

/// A row as it's stored.
#[value]
pub struct StoreRow {
    /// Its key.
    pub key: Text,
    /// What it holds.
    pub value: Bytes,
    /// Revision of its last change.
    pub revision: Revision,
}

/// One write of a transaction.
#[value]
pub struct StoreWrite {
    /// Table of the row.
    pub table: &'static str,
    /// Key of the row.
    pub key: Text,
    /// Revision that the row must have, 0 where it mustn't exist; `None` for any.
    pub expected_revision: Option<Revision>,
    /// The new value; `None` removes the row.
    pub value: Option<Bytes>,
}

/// An answer of the store, with its steady clock.
#[value]
pub struct StoreResponse<T> {
    /// The answer.
    pub value: T,
    /// Newest revision at that moment.
    pub revision: Revision,
    /// The store's steady clock.
    pub store_time: Duration,
}

/// What changed in a table, in order. `None` stands for a row that was removed.
pub type RowChanges = Vec<(Text, Option<StoreRow>)>;

/// Why the store didn't do what was asked.
#[copy_value]
#[derive(Display, Error)]
pub enum StoreError {
    /// A row has another revision than the transaction expects. Nothing was written.
    #[display("a row was changed by somebody else")]
    Conflict,
    /// The store turned the call away. Nothing was written.
    #[display("the store turns calls away")]
    Refused,
    /// The store wasn't reached. Nothing was written.
    #[display("the store can't be reached")]
    Unreachable,
    /// The answer was lost. A write may have taken effect, or may still do.
    #[display("the store's answer was lost")]
    Unknown,
    /// The store has dropped the history that was asked for.
    #[display("the store has dropped its history")]
    Compacted,
    /// The store answered something that can't be understood.
    #[display("the store's answer is malformed")]
    Malformed,
}

/// A store of rows in tables.
#[async_trait]
pub trait Store: Debug + Send + Sync {
    /// Reads all rows of a table.
    async fn list(&self, table: &'static str) -> Result<StoreResponse<Vec<StoreRow>>, StoreError>;

    /// Waits up to `wait` for changes of a table after a revision.
    async fn watch(
        &self,
        table: &'static str,
        after: Revision,
        wait: Duration,
    ) -> Result<StoreResponse<RowChanges>, StoreError>;

    /// Makes all the writes or none. The value is the revision of the rows written.
    async fn commit(&self, writes: &[StoreWrite]) -> Result<StoreResponse<()>, StoreError>;
}
