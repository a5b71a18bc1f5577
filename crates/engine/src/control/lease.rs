//! The lease on the organisations' rate limits. One node at a time, the lease holder, grants
//! portions of them to the other nodes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertwheel_core::{Fence, Status, Text, VmId, message};
use filbertwheel_platform::{Revision, Store, StoreError, StoreResponse, StoreRow, StoreWrite};
use filbertwheel_policy::{PortionLedger, StoredGrants};

use super::Shared;
use super::state::HeldLease;

/// Table of leases.
const LEASES_TABLE: &str = "filbertwheel-leases";
/// Key of the lease on the rate limits.
const RATES_KEY: Text = Text::from_static("rates");
/// How long the lease lasts without a renewal, by the store's clock.
const LEASE_DURATION: Duration = Duration::from_secs(8);
/// Interval between renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_500);
/// Pause after another node was found to hold the lease, or after an error.
const ACQUIRE_PAUSE: Duration = Duration::from_millis(900);
/// Time after the expiry of a lease before another node may acquire it.
const LEASE_MARGIN: Duration = Duration::from_millis(300);
/// Interval at which a node checks whether to acquire the lease.
const CANDIDATE_INTERVAL: Duration = Duration::from_millis(300);
/// Additional delay for each connected node that precedes this one by name, so that the nodes don't
/// all try to acquire the lease together.
const RANK_DELAY: Duration = Duration::from_millis(400);
/// Maximum number of preceding nodes that add a delay.
const MAX_RANK: usize = 8;

/// Row of the lease in the store.
#[message]
struct LeaseRow {
    holder: VmId,
    fence: Fence,
    /// Time of expiry, in milliseconds of the store's clock.
    until_ms: u64,
    /// Portions that nodes may hold.
    grants: StoredGrants,
}

/// A lease that this node has acquired.
struct AcquiredLease {
    fence: Fence,
    revision: Revision,
    /// Time until which this node may act on the lease, by its own clock.
    expires: Instant,
}

/// Acquires the lease when no node holds it, and renews it.
pub(crate) async fn hold_lease(control: Shared) {
    let (store, clock) = {
        let control = control.borrow();
        let store = Arc::clone(&control.parts.dependencies.store);
        (store, Arc::clone(&control.parts.clock))
    };
    loop {
        clock.sleep(CANDIDATE_INTERVAL).await;
        if !is_candidate(&control, clock.now()) {
            continue;
        }
        let rank = control.borrow().candidate_rank();
        clock.sleep(RANK_DELAY * rank as u32).await;
        if !is_candidate(&control, clock.now()) {
            continue;
        }
        let began = clock.now();
        match try_acquire(&control, store.as_ref()).await {
            Ok(Some((acquired, earlier))) => {
                begin_holding(&control, &acquired, earlier, began);
                renew(&control, store.as_ref(), acquired).await;
            }
            Ok(None) => clock.sleep(ACQUIRE_PAUSE).await,
            Err(error) => {
                tracing::warn!("control: The lease can't be acquired: {error}.");
                clock.sleep(ACQUIRE_PAUSE).await;
            }
        }
    }
}

fn is_candidate(control: &Shared, now: Instant) -> bool {
    let control = control.borrow();
    let ready = control.parts.snapshots.load().is_ready();
    // The VM of a backend server that is leaving is likely to be removed soon.
    let backend_stays = !control.stopping && control.local_member.status == Status::Serving;
    ready && backend_stays && !control.has_holder(now)
}

/// Acquires the lease if no node holds it, or if an earlier process of this node does. Returns it
/// with the portions that nodes may hold from an earlier lease holder.
async fn try_acquire(
    control: &Shared,
    store: &dyn Store,
) -> Result<Option<(AcquiredLease, StoredGrants)>, StoreError> {
    let read = store.list(LEASES_TABLE).await?;
    let row = read.value.iter().find(|row| row.key == RATES_KEY);
    let (fence, grants) = match row.map(|row| (row, decode(row))) {
        None => (1, StoredGrants::default()),
        Some((row, None)) => control.borrow().successor_of_unknown(row.revision),
        Some((_, Some((known, _)))) => {
            let end = Duration::from_millis(known.until_ms) + LEASE_MARGIN;
            // An earlier process on this VM must have ended, since this one is running.
            let own = known.holder == control.borrow().local_member.vm;
            if read.store_time < end && !own {
                return Ok(None);
            }
            (known.fence + 1, known.grants)
        }
    };
    let expected_revision = row.map_or(0, |row| row.revision);
    let began = control.borrow().parts.clock.now();
    let until_ms = (read.store_time + LEASE_DURATION).as_millis() as u64;
    let written = write(control, store, fence, expected_revision, until_ms, &grants).await?;
    let acquired = AcquiredLease {
        fence,
        revision: written.revision,
        expires: began + LEASE_DURATION,
    };
    Ok(Some((acquired, grants)))
}

fn decode(row: &StoreRow) -> Option<(LeaseRow, Revision)> {
    match serde_json::from_slice(&row.value) {
        Ok(decoded) => Some((decoded, row.revision)),
        Err(error) => {
            tracing::warn!("control: The row of the lease can't be decoded: {error}.");
            None
        }
    }
}

async fn write(
    control: &Shared,
    store: &dyn Store,
    fence: Fence,
    expected_revision: Revision,
    until_ms: u64,
    grants: &StoredGrants,
) -> Result<StoreResponse<()>, StoreError> {
    let row = LeaseRow {
        holder: control.borrow().local_member.vm.clone(),
        fence,
        until_ms,
        grants: grants.clone(),
    };
    let value = serde_json::to_vec(&row).map_err(|_| StoreError::Malformed)?;
    let write = StoreWrite {
        table: LEASES_TABLE,
        key: RATES_KEY,
        expected_revision: Some(expected_revision),
        value: Some(value.into()),
    };
    store.commit(&[write]).await
}

fn begin_holding(
    control: &Shared,
    acquired: &AcquiredLease,
    earlier: StoredGrants,
    since: Instant,
) {
    let mut control = control.borrow_mut();
    let own = control.local_member.vm.clone();
    let waits_for = earlier.nodes.len();
    control.lease = Some(HeldLease {
        fence: acquired.fence,
        ledger: PortionLedger::open(own, earlier, since),
        expires: acquired.expires,
    });
    tracing::info!(
        fence = acquired.fence,
        waits_for,
        "control: This node holds the lease on the rate limits."
    );
    control.publish();
    control.send_reports(false);
    control.request_portions(false);
}

/// Renews the lease until it is lost or released.
async fn renew(control: &Shared, store: &dyn Store, mut acquired: AcquiredLease) {
    let clock = Arc::clone(&control.borrow().parts.clock);
    loop {
        clock.sleep(RENEWAL_INTERVAL).await;
        let began = clock.now();
        let grants = {
            let control = &mut *control.borrow_mut();
            let lease = control.lease.as_mut();
            let Some(lease) = lease.filter(|_| began < acquired.expires) else {
                break;
            };
            let grants = lease.ledger.grants_to_store(&control.limits, began);
            lease.ledger.begin_store(&grants);
            grants
        };
        if control.borrow().is_leaving() {
            release(control, store, &acquired, &grants).await;
            break;
        }
        match renew_once(control, store, &acquired, &grants).await {
            Ok(written) => {
                acquired.revision = written.revision;
                acquired.expires = began + LEASE_DURATION;
                let mut control = control.borrow_mut();
                if let Some(lease) = &mut control.lease {
                    lease.expires = acquired.expires;
                    lease.ledger.record_stored(grants);
                }
                control.publish();
            }
            Err(StoreError::Conflict) => break,
            Err(error) => tracing::warn!("control: The lease can't be renewed: {error}."),
        }
    }
    tracing::warn!(
        fence = acquired.fence,
        "control: This node no longer holds the lease on the rate limits."
    );
    control.borrow_mut().drop_lease();
}

async fn renew_once(
    control: &Shared,
    store: &dyn Store,
    acquired: &AcquiredLease,
    grants: &StoredGrants,
) -> Result<StoreResponse<()>, StoreError> {
    let read = store.list(LEASES_TABLE).await?;
    let own = read.value.iter().find(|row| row.key == RATES_KEY);
    // The row may also come from a write of this node whose response was lost, so the fencing token
    // is compared and not the revision.
    let known = own
        .and_then(decode)
        .filter(|(row, _)| row.fence == acquired.fence);
    let (_, revision) = known.ok_or(StoreError::Conflict)?;
    let until_ms = (read.store_time + LEASE_DURATION).as_millis() as u64;
    write(control, store, acquired.fence, revision, until_ms, grants).await
}

/// Ends the lease before it expires, so that another node can acquire it at once.
async fn release(
    control: &Shared,
    store: &dyn Store,
    acquired: &AcquiredLease,
    grants: &StoredGrants,
) {
    let (fence, revision) = (acquired.fence, acquired.revision);
    let released = write(control, store, fence, revision, 0, grants).await;
    if let Err(error) = released {
        tracing::warn!("control: The lease can't be released: {error}.");
    }
}

impl super::Control {
    /// Returns whether this node or its backend server is shutting down.
    fn is_leaving(&self) -> bool {
        self.stopping || matches!(self.local_member.status, Status::Draining | Status::Gone)
    }

    /// Returns the fencing token and the earlier grants of a lease that succeeds one whose row can't be
    /// decoded. Each token was written with a revision of the store of its own, so none exceeds the
    /// row's revision. Any other node may hold portions.
    fn successor_of_unknown(&self, revision: Revision) -> (Fence, StoredGrants) {
        let heard = self.holder.as_ref().map_or(0, |(_, fence, _)| *fence);
        let nodes = self.peers.keys().map(|vm| (vm.clone(), 1.0));
        let grants = StoredGrants {
            nodes: nodes.collect(),
            lent: None,
        };
        (heard.max(revision) + 1, grants)
    }

    /// Returns how many connected nodes precede this one by name, up to `MAX_RANK`.
    fn candidate_rank(&self) -> usize {
        let peers = self.peers.iter();
        let before = peers.filter(|(vm, peer)| **vm < self.local_member.vm && peer.link.is_up());
        before.count().min(MAX_RANK)
    }
}
