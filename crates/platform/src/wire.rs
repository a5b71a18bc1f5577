//! Messages of the platform's HTTP protocol.

use filbertwheel_core::{Text, message};

use crate::{Row, Write};

/// Body of `POST /table/read`.
#[message]
pub struct ReadRequest {
    /// Key of the row.
    pub key: Text,
}

/// Body of `POST /table/scan`.
#[message]
pub struct ScanRequest {
    /// Start of the keys.
    pub prefix: Text,
    /// Key that the rows come after.
    pub after: Text,
}

/// Rows that were found.
#[message]
pub struct RowsReply {
    /// In order of their keys.
    pub rows: Vec<Row>,
}

/// Body of `POST /table/commit`.
#[message]
pub struct CommitRequest {
    /// All are made, or none.
    pub writes: Vec<Write>,
}

/// What became of a commit.
#[message]
#[serde(tag = "outcome", rename_all = "lowercase")]
pub enum CommitReply {
    /// All writes were made.
    Committed,
    /// No write was made.
    Conflict {
        /// Key of the row at another version.
        key: Text,
        /// Its version.
        version: Option<u64>,
    },
}
