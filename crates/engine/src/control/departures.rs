//! Keeps the departures of the local backend server in the store, so that they outlive this process.

use std::sync::Arc;
use std::time::Duration;

use filbertwheel_core::{VmId, message};
use filbertwheel_platform::{Store, StoreError, StoreRow, StoreWrite};
use filbertwheel_policy::{Departure, DepartureRow, DepartureWrite};
use futures_lite::FutureExt as _;

use super::Shared;
use super::recovery::RecoverySource;
use crate::departures::Departures;
use crate::epochs::StoreEpoch;

/// Table of the departures, with one row for each VM.
const DEPARTURES_TABLE: &str = "filbertwheel-departures";
/// Minimum and maximum backoff after a failed call to the store.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Interval at which the epoch of the store is checked.
const EPOCH_INTERVAL: Duration = Duration::from_millis(500);

/// Row of a VM.
#[message]
struct VmRow {
    /// Oldest first.
    departures: Vec<Departure>,
}

/// What the task that keeps the departures works on.
struct Keeper {
    control: Shared,
    store: Arc<dyn Store>,
    epoch: Arc<StoreEpoch>,
    departures: Arc<Departures>,
    vm: VmId,
}

/// Reads the row of this VM when the node has started, and writes it when the backend server leaves.
pub(crate) async fn keep_departures(control: Shared) {
    let (keeper, clock) = {
        let inner = control.borrow();
        let parts = &inner.parts;
        let keeper = Keeper {
            control: Shared::clone(&control),
            store: Arc::clone(&parts.dependencies.store),
            epoch: Arc::clone(&parts.epoch),
            departures: Arc::clone(&parts.engine.departures),
            vm: inner.local_member.vm.clone(),
        };
        (keeper, Arc::clone(&parts.clock))
    };
    let mut backoff = MIN_BACKOFF;
    loop {
        if let Err(error) = keeper.synchronise().await {
            tracing::warn!(
                "control: The departures of the backend server can't be stored: {error}."
            );
            clock.sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
            continue;
        }
        backoff = MIN_BACKOFF;
        let recorded = keeper.departures.wait_recorded();
        recorded.or(clock.sleep(EPOCH_INTERVAL)).await;
    }
}

impl Keeper {
    /// Brings the row and the log to the same state.
    async fn synchronise(&self) -> Result<(), StoreError> {
        self.departures
            .observe_epoch(self.epoch.latest().unwrap_or_default());
        if self.departures.needs_read() {
            let row = read_row(self.store.as_ref(), &self.vm).await?;
            self.departures.apply_row(row);
            if self.departures.is_recovered() {
                self.control.borrow().trust_reports(&RecoverySource::Store);
            }
        }
        match self.departures.due_write() {
            Some(write) => self.write(&write).await,
            None => Ok(()),
        }
    }

    async fn write(&self, write: &DepartureWrite) -> Result<(), StoreError> {
        let row = VmRow {
            departures: write.departures.clone(),
        };
        let value = serde_json::to_vec(&row).map_err(|_| StoreError::Malformed)?;
        let store_write = StoreWrite {
            table: DEPARTURES_TABLE,
            key: self.vm.clone(),
            expected_revision: Some(write.expected),
            value: Some(value.into()),
        };
        match self.store.commit(&[store_write]).await {
            Ok(response) => {
                let outcome = Some((response.revision, response.epoch));
                self.departures.finish_write(write, outcome);
                let latest = write.departures.last();
                tracing::info!(
                    backend = latest.map(|one| tracing::field::display(&one.instance)),
                    revision = response.revision,
                    "control: The departure of the backend server is stored."
                );
                Ok(())
            }
            Err(error) => {
                self.departures.finish_write(write, None);
                Err(error)
            }
        }
    }
}

/// Reads the row of a VM.
pub(super) async fn read_row(store: &dyn Store, vm: &VmId) -> Result<DepartureRow, StoreError> {
    let response = store.read(DEPARTURES_TABLE, vm).await?;
    let row = response.value;
    Ok(DepartureRow {
        departures: row.as_ref().map(decode).unwrap_or_default(),
        revision: row.map_or(0, |row| row.revision),
        epoch: response.epoch,
    })
}

/// Returns the write that removes the row of a VM.
pub(super) fn removal(vm: VmId) -> StoreWrite {
    StoreWrite {
        table: DEPARTURES_TABLE,
        key: vm,
        expected_revision: None,
        value: None,
    }
}

/// Decodes the departures in a row; none if it is malformed.
fn decode(row: &StoreRow) -> Vec<Departure> {
    match serde_json::from_slice::<VmRow>(&row.value) {
        Ok(row) => row.departures,
        Err(error) => {
            tracing::error!(vm = %row.key, "control: A row of departures is malformed: {error}.");
            Vec::new()
        }
    }
}
