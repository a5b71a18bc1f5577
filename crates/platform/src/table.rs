//! Interfaces to the platform's table service and object store.

use std::fmt::Debug;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::{Display, Error};
use filbertwheel_core::{Text, message, value};

/// A row of the table.
#[message]
pub struct TableRow {
    /// Key of the row.
    pub key: Text,
    /// Number of times that the row was written.
    pub version: u64,
    /// Value of the row.
    pub value: Text,
}

/// One write of a transaction.
#[message]
pub struct TableWrite {
    /// Key of the row.
    pub key: Text,
    /// Version that the row must have; `None` if it must not exist.
    pub expect: Option<u64>,
    /// The new value; `None` removes the row.
    pub value: Option<Text>,
}

/// Why an operation on the platform failed.
#[value]
#[derive(Display, Error)]
pub enum PlatformError {
    /// A row's version differs from the one that the transaction expects. Nothing was written.
    #[display("row {key} is at version {version:?}")]
    Conflict {
        /// Key of the row.
        key: Text,
        /// Version of the row, or `None` if it does not exist.
        version: Option<u64>,
    },
    /// The service is unreachable. Nothing was written.
    #[display("the platform is unreachable")]
    Unreachable,
    /// The response was lost. A write may have taken effect.
    #[display("the platform's response was lost")]
    Unknown,
    /// The service's response can't be decoded.
    #[display("the platform's response is malformed")]
    Malformed,
}

/// The transactional table service.
#[async_trait]
pub trait Table: Debug + Send + Sync {
    /// Reads one row.
    async fn read(&self, key: &Text) -> Result<Option<TableRow>, PlatformError>;

    /// Reads the rows whose keys start with `prefix` and are greater than `after`, in key order.
    async fn scan(&self, prefix: &Text, after: &Text) -> Result<Vec<TableRow>, PlatformError>;

    /// Applies all the writes or none.
    async fn commit(&self, writes: Vec<TableWrite>) -> Result<(), PlatformError>;
}

/// The object store.
#[async_trait]
pub trait ObjectStore: Debug + Send + Sync {
    /// Reads an object.
    async fn get(&self, key: &Text) -> Result<Option<Bytes>, PlatformError>;

    /// Writes an object, replacing an earlier one under the same key.
    async fn put(&self, key: &Text, object: Bytes) -> Result<(), PlatformError>;

    /// Removes an object, if it exists.
    async fn remove(&self, key: &Text) -> Result<(), PlatformError>;
}

/// The platform's services together.
#[derive(Debug, Clone)]
pub struct Platform {
    /// The table service.
    pub table: Arc<dyn Table>,
    /// The object store.
    pub objects: Arc<dyn ObjectStore>,
}
