//! Route profiles in the store, so that they survive the loss of all VMs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use filbertwheel_core::Text;
use filbertwheel_platform::{Store, StoreError, StoreRow, StoreWrite};
use filbertwheel_policy::RouteProfile;

use super::Shared;

/// Table of the route profiles.
const PROFILES_TABLE: &str = "filbertwheel-learnt";
/// Key of the row that holds the profiles of all routes.
const PROFILES_KEY: Text = Text::from_static("profiles");
/// Interval at which a node checks whether it has acquired the lease.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between writes by the lease holder.
const WRITE_INTERVAL: Duration = Duration::from_secs(10);

/// Reads the stored route profiles when this node has acquired the lease, and writes the current ones
/// at intervals while it holds it. While no holder is known, the nodes that watch the store read them:
/// after the loss of all nodes, the earlier lease expires only later. The other nodes receive them
/// with the sums over the fleet.
pub(crate) async fn store_profiles(control: Shared) {
    let (store, clock) = {
        let control = control.borrow();
        let store = Arc::clone(&control.parts.dependencies.store);
        (store, Arc::clone(&control.parts.clock))
    };
    let mut written = clock.now();
    loop {
        clock.sleep(CHECK_INTERVAL).await;
        if !control.borrow().keeps_profiles() {
            control.borrow_mut().set_stored_profiles(None);
            continue;
        }
        if !control.borrow().has_stored_profiles() {
            match read(store.as_ref()).await {
                Ok(profiles) => control.borrow_mut().set_stored_profiles(Some(profiles)),
                Err(error) => {
                    tracing::warn!("control: The stored route profiles can't be read: {error}.");
                }
            }
            written = clock.now();
        }
        if clock.now().saturating_duration_since(written) < WRITE_INTERVAL {
            continue;
        }
        written = clock.now();
        let profiles = control.borrow().profiles_to_store();
        if profiles.is_empty() {
            continue;
        }
        if let Err(error) = write(store.as_ref(), &profiles).await {
            tracing::warn!("control: The route profiles can't be stored: {error}.");
        }
    }
}

async fn read(store: &dyn Store) -> Result<Vec<RouteProfile>, StoreError> {
    let listed = store.list(PROFILES_TABLE).await?;
    let profiles = profiles_of(&listed.value);
    let routes = profiles.len();
    tracing::info!(routes, "control: The stored route profiles were read.");
    Ok(profiles)
}

fn profiles_of(rows: &[StoreRow]) -> Vec<RouteProfile> {
    let Some(row) = rows.iter().find(|row| row.key == PROFILES_KEY) else {
        return Vec::new();
    };
    let mut profiles: Vec<RouteProfile> =
        serde_json::from_slice(&row.value).unwrap_or_else(|error| {
            tracing::warn!("control: The stored route profiles can't be decoded: {error}.");
            Vec::new()
        });
    profiles.retain(|profile| {
        let plausible = profile.is_plausible();
        if !plausible {
            tracing::warn!(
                route = %profile.route,
                "control: A stored route profile is not plausible, so it is ignored."
            );
        }
        plausible
    });
    profiles
}

async fn write(store: &dyn Store, profiles: &[RouteProfile]) -> Result<(), StoreError> {
    let value = serde_json::to_vec(profiles).map_err(|_| StoreError::Malformed)?;
    let write = StoreWrite {
        table: PROFILES_TABLE,
        key: PROFILES_KEY,
        expected_revision: None,
        value: Some(Bytes::from(value)),
    };
    store.commit(&[write]).await.map(|_| ())
}
