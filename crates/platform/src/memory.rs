//! In-memory implementation of the platform's services, for tests.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use async_trait::async_trait;
use bytes::Bytes;
use filbertwheel_core::Text;

use crate::{ObjectStore, PlatformError, Table, TableRow, TableWrite};

/// Maximum number of rows that one scan returns.
const SCAN_ROWS: usize = 10_000;

/// In-memory table.
#[derive(Debug, Default)]
pub struct MemoryTable {
    rows: Mutex<BTreeMap<Text, TableRow>>,
}

/// In-memory object store.
#[derive(Debug, Default)]
pub struct MemoryObjects {
    objects: Mutex<BTreeMap<Text, Bytes>>,
}

impl MemoryTable {
    /// Returns a copy of all rows at this moment.
    pub fn copy(&self) -> Self {
        Self {
            rows: Mutex::new(lock(&self.rows).clone()),
        }
    }

    /// Goes back to an earlier copy. What was written since is gone.
    pub fn restore(&self, copy: &Self) {
        let rows = lock(&copy.rows).clone();
        *lock(&self.rows) = rows;
    }
}

#[async_trait]
impl Table for MemoryTable {
    async fn read(&self, key: &Text) -> Result<Option<TableRow>, PlatformError> {
        Ok(lock(&self.rows).get(key).cloned())
    }

    async fn scan(&self, prefix: &Text, after: &Text) -> Result<Vec<TableRow>, PlatformError> {
        let rows = lock(&self.rows);
        let found = rows
            .range(prefix.clone()..)
            .take_while(|(key, _)| key.as_bytes().starts_with(prefix.as_bytes()))
            .filter(|(key, _)| *key > after)
            .take(SCAN_ROWS)
            .map(|(_, row)| row.clone())
            .collect();
        Ok(found)
    }

    async fn commit(&self, writes: Vec<TableWrite>) -> Result<(), PlatformError> {
        let mut rows = lock(&self.rows);
        for write in &writes {
            let version = rows.get(&write.key).map(|row| row.version);
            if version != write.expect {
                return Err(PlatformError::Conflict {
                    key: write.key.clone(),
                    version,
                });
            }
        }
        for TableWrite { key, expect, value } in writes {
            match value {
                Some(value) => {
                    let version = expect.unwrap_or_default() + 1;
                    rows.insert(
                        key.clone(),
                        TableRow {
                            key,
                            version,
                            value,
                        },
                    );
                }
                None => {
                    rows.remove(&key);
                }
            }
        }
        Ok(())
    }
}

#[async_trait]
impl ObjectStore for MemoryObjects {
    async fn get(&self, key: &Text) -> Result<Option<Bytes>, PlatformError> {
        Ok(lock(&self.objects).get(key).cloned())
    }

    async fn put(&self, key: &Text, object: Bytes) -> Result<(), PlatformError> {
        lock(&self.objects).insert(key.clone(), object);
        Ok(())
    }

    async fn remove(&self, key: &Text) -> Result<(), PlatformError> {
        lock(&self.objects).remove(key);
        Ok(())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
