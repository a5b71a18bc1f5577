//! The platform's services: a transactional table and an object store.
//!
//! The traits are the border; behind them stand the client in `platform/` at the root, and an
//! in-memory table for tests.

mod config_store;
mod memory;
mod store;
mod table;

pub use config_store::{COMMAND_LIFETIME, Commit, CommitError, ConfigStore, SNAPSHOT_INTERVAL};
pub use memory::{MemoryObjects, MemoryTable};
pub use store::{Changes, Clocked, Revision, RowWrite, Store, StoreError, StoredRow};
pub use table::{Objects, Platform, PlatformError, Row, Table, Write};
