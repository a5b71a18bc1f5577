//! Counts the calls to the store by operation and table, and follows the store's epoch.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use filbertwheel_core::Revision;
use filbertwheel_platform::{RowChanges, Store, StoreError, StoreResponse, StoreRow, StoreWrite};

use crate::epochs::StoreEpoch;
use crate::metrics::Metrics;

/// A store whose calls are counted and whose epoch is followed.
#[derive(Debug)]
pub(crate) struct CountedStore {
    store: Arc<dyn Store>,
    metrics: Arc<Metrics>,
    epoch: Arc<StoreEpoch>,
}

impl CountedStore {
    pub fn open(store: Arc<dyn Store>, metrics: Arc<Metrics>, epoch: Arc<StoreEpoch>) -> Self {
        Self {
            store,
            metrics,
            epoch,
        }
    }

    fn record<T>(
        &self,
        response: Result<StoreResponse<T>, StoreError>,
    ) -> Result<StoreResponse<T>, StoreError> {
        let response = response?;
        self.epoch.record(&response);
        self.metrics.store_epoch.set(response.epoch as i64);
        Ok(response)
    }
}

#[async_trait]
impl Store for CountedStore {
    async fn list(&self, table: &'static str) -> Result<StoreResponse<Vec<StoreRow>>, StoreError> {
        self.metrics.record_store_call("list", table);
        self.record(self.store.list(table).await)
    }

    async fn watch(
        &self,
        table: &'static str,
        after: Revision,
        wait: Duration,
    ) -> Result<StoreResponse<RowChanges>, StoreError> {
        self.metrics.record_store_call("watch", table);
        self.record(self.store.watch(table, after, wait).await)
    }

    async fn commit(&self, writes: &[StoreWrite]) -> Result<StoreResponse<()>, StoreError> {
        let table = writes.first().map_or("none", |write| write.table);
        self.metrics.record_store_call("commit", table);
        self.record(self.store.commit(writes).await)
    }
}
