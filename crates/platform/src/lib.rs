//! The platform's services: a transactional table and an object store.
//!
//! The traits are implemented by the client in `platform/` at the root of the repository, and by
//! in-memory services for tests.

mod config_store;
mod memory;
mod store;
mod table;

pub use config_store::{
    COMMAND_LIFETIME, CommitError, CommitOutcome, ConfigStore, SNAPSHOT_INTERVAL,
};
pub use memory::{MemoryObjects, MemoryTable};
pub use store::{RowChanges, Store, StoreError, StoreResponse, StoreRow, StoreWrite};
pub use table::{ObjectStore, Platform, PlatformError, Table, TableRow, TableWrite};
