//! Row of the lease on the rate limits in the store.

use std::time::Duration;

use filbertwheel_core::{Epoch, Fence, VmId, message};
use filbertwheel_platform::StoreRow;
use filbertwheel_policy::{LeaseClaim, StatedLease, StoredGrants};

use super::Control;
use super::lease::{LEASE_DURATION, LEASE_MARGIN};

/// Time beyond the longest lease up to which an expiry is plausible. A renewal estimates the store's
/// time from an earlier response, which may have taken long.
const EXPIRY_MARGIN: Duration = Duration::from_secs(10);

/// Row of the lease in the store.
#[message]
pub(super) struct LeaseRow {
    pub holder: VmId,
    pub fence: Fence,
    /// Epoch of the store that the holder knew when it wrote the row.
    #[serde(default)]
    pub epoch: Epoch,
    /// Time of expiry, in milliseconds of the store's clock.
    pub until_ms: u64,
    /// Portions that nodes may hold.
    pub grants: StoredGrants,
}

impl LeaseRow {
    /// Returns whether a node of the fleet may have written the row. No other row may keep the
    /// lease from being acquired for ever.
    pub fn is_plausible(&self, store_time: Duration) -> bool {
        let latest = store_time + LEASE_DURATION + EXPIRY_MARGIN;
        self.fence < Fence::MAX && Duration::from_millis(self.until_ms) <= latest
    }

    /// Decodes the row. Returns `None` if it is malformed.
    pub fn decode(row: &StoreRow) -> Option<Self> {
        match serde_json::from_slice(&row.value) {
            Ok(decoded) => Some(decoded),
            Err(error) => {
                tracing::warn!("control: The row of the lease can't be decoded: {error}.");
                None
            }
        }
    }
}

impl Control {
    /// Returns what the row of the lease says, where `known` is its content if that is readable.
    pub(super) fn claim_of(
        &self,
        row: Option<&StoreRow>,
        known: Option<&LeaseRow>,
        store_time: Duration,
    ) -> LeaseClaim {
        match (row, known) {
            (None, _) => LeaseClaim::Absent,
            (Some(row), None) => LeaseClaim::Unreadable(row.revision),
            (Some(_), Some(known)) => {
                let end = Duration::from_millis(known.until_ms) + LEASE_MARGIN;
                LeaseClaim::Stated(StatedLease {
                    epoch: known.epoch,
                    fence: known.fence,
                    left: end.saturating_sub(store_time),
                    // An earlier process on this VM must have ended, since this one is running.
                    own: known.holder == self.local_member.vm,
                })
            }
        }
    }
}
