//! The platform's services: a transactional table and an object store.
//!
//! The traits are the border; behind them stand the HTTP clients, and an in-memory table for
//! tests and the stand-in.

mod client;
mod memory;
mod table;
mod wire;

pub use client::{ObjectClient, TableClient};
pub use memory::{MemoryObjects, MemoryTable};
pub use table::{Objects, PlatformError, Row, Table, Write};
pub use wire::{CommitReply, CommitRequest, ReadRequest, RowsReply, ScanRequest};
