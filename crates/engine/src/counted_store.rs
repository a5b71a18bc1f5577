//! Counts the calls to the store by operation and table.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use filbertwheel_platform::{
    Revision, RowChanges, Store, StoreError, StoreResponse, StoreRow, StoreWrite,
};

use crate::metrics::Metrics;

/// A store whose calls are counted.
#[derive(Debug)]
pub(crate) struct CountedStore {
    store: Arc<dyn Store>,
    metrics: Arc<Metrics>,
}

impl CountedStore {
    pub fn open(store: Arc<dyn Store>, metrics: Arc<Metrics>) -> Self {
        Self { store, metrics }
    }
}

#[async_trait]
impl Store for CountedStore {
    async fn list(&self, table: &'static str) -> Result<StoreResponse<Vec<StoreRow>>, StoreError> {
        self.metrics.record_store_call("list", table);
        self.store.list(table).await
    }

    async fn watch(
        &self,
        table: &'static str,
        after: Revision,
        wait: Duration,
    ) -> Result<StoreResponse<RowChanges>, StoreError> {
        self.metrics.record_store_call("watch", table);
        self.store.watch(table, after, wait).await
    }

    async fn commit(&self, writes: &[StoreWrite]) -> Result<StoreResponse<()>, StoreError> {
        let table = writes.first().map_or("none", |write| write.table);
        self.metrics.record_store_call("commit", table);
        self.store.commit(writes).await
    }
}
