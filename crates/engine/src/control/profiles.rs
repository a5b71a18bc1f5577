//! Route profiles in the store, so that they survive the loss of all VMs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use filbertwheel_core::Text;
use filbertwheel_platform::{StoreError, StoreRow, StoreWrite};
use filbertwheel_policy::RouteProfile;

use super::Shared;
use super::feed::{Feed, Update};

/// Table of the route profiles.
const PROFILES_TABLE: &str = "filbertwheel-learnt";
/// Key of the row that holds the profiles of all routes.
const PROFILES_KEY: Text = Text::from_static("profiles");
/// Interval between writes by the lease holder.
const WRITE_INTERVAL: Duration = Duration::from_secs(10);

/// Reads the stored route profiles once, then writes the current ones at intervals while this node
/// holds the lease.
pub(crate) async fn store_profiles(control: Shared) {
    let (mut feed, clock) = {
        let control = control.borrow();
        let parts = &control.parts;
        let (store, clock) = (
            Arc::clone(&parts.dependencies.store),
            Arc::clone(&parts.clock),
        );
        (Feed::open(store, Arc::clone(&clock), PROFILES_TABLE), clock)
    };
    loop {
        match feed.next().await {
            Ok(Update::Listed(rows)) => {
                let profiles = profiles_of(&rows);
                let routes = profiles.len();
                tracing::info!(routes, "control: The stored route profiles were read.");
                control.borrow_mut().set_stored_profiles(profiles);
                break;
            }
            Ok(Update::Changed(_)) => break,
            Err(error) => {
                tracing::warn!("control: The stored route profiles can't be read: {error}.");
                feed.back_off().await;
            }
        }
    }
    loop {
        clock.sleep(WRITE_INTERVAL).await;
        let profiles = control.borrow().profiles_to_store();
        if profiles.is_empty() {
            continue;
        }
        if let Err(error) = write(&control, &profiles).await {
            tracing::warn!("control: The route profiles can't be stored: {error}.");
        }
    }
}

fn profiles_of(rows: &[StoreRow]) -> Vec<RouteProfile> {
    let Some(row) = rows.iter().find(|row| row.key == PROFILES_KEY) else {
        return Vec::new();
    };
    serde_json::from_slice(&row.value).unwrap_or_else(|error| {
        tracing::warn!("control: The stored route profiles can't be decoded: {error}.");
        Vec::new()
    })
}

async fn write(control: &Shared, profiles: &[RouteProfile]) -> Result<(), StoreError> {
    let store = Arc::clone(&control.borrow().parts.dependencies.store);
    let value = serde_json::to_vec(profiles).map_err(|_| StoreError::Malformed)?;
    let write = StoreWrite {
        table: PROFILES_TABLE,
        key: PROFILES_KEY,
        expected_revision: None,
        value: Some(Bytes::from(value)),
    };
    store.commit(&[write]).await.map(|_| ())
}
