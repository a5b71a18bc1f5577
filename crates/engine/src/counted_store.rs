//! Counts the calls to the store by operation and table, and follows the store's epoch.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use filbertwheel_core::{Epoch, Revision, Text};
use filbertwheel_platform::{RowChanges, Store, StoreError, StoreResponse, StoreRow, StoreWrite};

use crate::epochs::StoreEpoch;
use crate::metrics::Metrics;

/// A store whose calls are counted, and whose responses from before a restore are ignored.
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

    /// Records the epoch of a response to a request that was sent when `known` was the latest one.
    fn check<T>(
        &self,
        known: Option<Epoch>,
        response: Result<StoreResponse<T>, StoreError>,
    ) -> Result<StoreResponse<T>, StoreError> {
        let checked = self.epoch.check(known, response?);
        let epoch = self.epoch.latest().unwrap_or_default();
        self.metrics.store_epoch.set(epoch as i64);
        checked
    }
}

#[async_trait]
impl Store for CountedStore {
    async fn list(&self, table: &'static str) -> Result<StoreResponse<Vec<StoreRow>>, StoreError> {
        self.metrics.record_store_call("list", table);
        let known = self.epoch.latest();
        self.check(known, self.store.list(table).await)
    }

    async fn read(
        &self,
        table: &'static str,
        key: &Text,
    ) -> Result<StoreResponse<Option<StoreRow>>, StoreError> {
        self.metrics.record_store_call("read", table);
        let known = self.epoch.latest();
        self.check(known, self.store.read(table, key).await)
    }

    async fn watch(
        &self,
        table: &'static str,
        after: Revision,
        wait: Duration,
    ) -> Result<StoreResponse<RowChanges>, StoreError> {
        self.metrics.record_store_call("watch", table);
        let known = self.epoch.latest();
        self.check(known, self.store.watch(table, after, wait).await)
    }

    async fn commit(&self, writes: &[StoreWrite]) -> Result<StoreResponse<()>, StoreError> {
        let table = writes.first().map_or("none", |write| write.table);
        self.metrics.record_store_call("commit", table);
        let known = self.epoch.latest();
        self.check(known, self.store.commit(writes).await)
    }
}
