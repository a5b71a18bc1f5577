//! The border towards the platform's services.

use std::fmt::Debug;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::{Display, Error};
use filbertwheel_core::{Text, message, value};

/// A row of the table.
#[message]
pub struct TableRow {
    /// Its key.
    pub key: Text,
    /// Number of times that it was written.
    pub version: u64,
    /// What it holds.
    pub value: Text,
}

/// One write of a transaction.
#[message]
pub struct TableWrite {
    /// Key of the row.
    pub key: Text,
    /// Version that the row must have; `None` where it mustn't exist.
    pub expect: Option<u64>,
    /// The new value; `None` removes the row.
    pub value: Option<Text>,
}

/// Why the platform didn't do what was asked.
#[value]
#[derive(Display, Error)]
pub enum PlatformError {
    /// A row has another version than the transaction expects. Nothing was written.
    #[display("row {key} is at version {version:?}")]
    Conflict {
        /// Key of the row.
        key: Text,
        /// Its version, or `None` where it doesn't exist.
        version: Option<u64>,
    },
    /// The service wasn't reached. Nothing was written.
    #[display("the platform can't be reached")]
    Unreachable,
    /// The answer was lost. A write may have taken effect.
    #[display("the platform's answer was lost")]
    Unknown,
    /// The service answered something that can't be understood.
    #[display("the platform's answer is malformed")]
    Malformed,
}

/// The transactional table service.
#[async_trait]
pub trait Table: Debug + Send + Sync {
    /// Reads one row.
    async fn read(&self, key: &Text) -> Result<Option<TableRow>, PlatformError>;

    /// Reads the rows whose keys start with `prefix` and come after `after`, in order of keys.
    async fn scan(&self, prefix: &Text, after: &Text) -> Result<Vec<TableRow>, PlatformError>;

    /// Makes all the writes or none.
    async fn commit(&self, writes: Vec<TableWrite>) -> Result<(), PlatformError>;
}

/// The object store.
#[async_trait]
pub trait ObjectStore: Debug + Send + Sync {
    /// Reads an object.
    async fn get(&self, key: &Text) -> Result<Option<Bytes>, PlatformError>;

    /// Writes an object whole, replacing an earlier one.
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
