//! The lease on the organisations' rate limits. One node at a time, the lease holder, grants
//! portions of them to the other nodes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertwheel_core::{Epoch, Fence, Revision, Status, Text, VmId};
use filbertwheel_platform::{Store, StoreError, StoreResponse, StoreWrite};
use filbertwheel_policy::{LeaseOffer, LeaseView, PortionLedger, StoredGrants, Succession};

use super::Shared;
use super::lease_row::LeaseRow;
use super::state::{HeldLease, OfferedLease};

/// Table of leases.
const LEASES_TABLE: &str = "filbertwheel-leases";
/// Key of the lease on the rate limits.
const RATES_KEY: Text = Text::from_static("rates");
/// How long the lease lasts without a renewal, by the store's clock.
pub(super) const LEASE_DURATION: Duration = Duration::from_secs(8);
/// Interval between renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_500);
/// Pause after another node was found to hold the lease, or after an error.
const ACQUIRE_PAUSE: Duration = Duration::from_millis(900);
/// Longest pause while leases of before a restore of the store may be in force.
const UNSETTLED_PAUSE: Duration = Duration::from_secs(1);
/// Time after the expiry of a lease before another node may acquire it.
pub(super) const LEASE_MARGIN: Duration = Duration::from_millis(300);
/// Time before the end of a lease that can't be renewed at which it is offered to another node.
const OFFER_TIME: Duration = Duration::from_secs(5);
/// Interval at which a node checks whether to acquire the lease.
const CANDIDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Additional delay for each connected node that precedes this one by name, so that the nodes don't
/// all try to acquire the lease together.
const RANK_DELAY: Duration = Duration::from_millis(400);
/// Number of preceding nodes that add a delay each. The nodes after them leave it to these for a
/// while, so that a large fleet doesn't ask the store all at once.
const MAX_RANK: usize = 8;
/// Delay of all further nodes.
const LATE_DELAY: Duration = Duration::from_secs(8);

/// A lease that this node has acquired.
struct AcquiredLease {
    fence: Fence,
    revision: Revision,
    /// Reading of the store's clock in its last response, and when that was requested.
    store_time: (Duration, Instant),
    /// Time until which this node may act on the lease, by its own clock.
    expires: Instant,
}

impl AcquiredLease {
    /// Returns the time at which a renewal that is written now expires, by the store's clock.
    fn next_expiry_ms(&self, now: Instant) -> u64 {
        let (reading, requested) = self.store_time;
        let store_time = reading + now.saturating_duration_since(requested);
        (store_time + LEASE_DURATION).as_millis() as u64
    }
}

/// Acquires the lease when no node holds it, and renews it.
pub(crate) async fn hold_lease(control: Shared) {
    let (store, clock) = {
        let control = control.borrow();
        let store = Arc::clone(&control.parts.dependencies.store);
        (store, Arc::clone(&control.parts.clock))
    };
    // Time before which this node leaves the lease to others.
    let mut not_before = clock.now();
    let mut candidate_since = None;
    loop {
        clock.sleep(CANDIDATE_INTERVAL).await;
        let now = clock.now();
        let offered = control.borrow_mut().offered.take();
        if offered.is_none() {
            if now < not_before || !is_candidate(&control, now) {
                candidate_since = None;
                continue;
            }
            let since = *candidate_since.get_or_insert(now);
            let delay = control.borrow().candidate_delay(now);
            if now.saturating_duration_since(since) < delay {
                continue;
            }
        }
        match try_acquire(&control, store.as_ref(), offered).await {
            Ok(Attempt::Acquired(acquired, earlier)) => {
                begin_holding(&control, &acquired, earlier, now);
                renew(&control, store.as_ref(), acquired).await;
            }
            Ok(Attempt::Held(left)) => not_before = clock.now() + left.max(ACQUIRE_PAUSE),
            Err(error) => {
                tracing::warn!("control: The lease can't be acquired: {error}.");
                control.borrow_mut().offered = offered;
                clock.sleep(ACQUIRE_PAUSE).await;
            }
        }
    }
}

fn is_candidate(control: &Shared, now: Instant) -> bool {
    let control = control.borrow();
    let ready = control.parts.snapshots.load().is_ready();
    // The VM of a backend server that is leaving is likely to be removed soon.
    let backend_stays =
        control.stopping.is_none() && control.local_member.status == Status::Serving;
    ready && backend_stays && !control.has_holder(now)
}

/// Outcome of an attempt to acquire the lease.
enum Attempt {
    /// Acquired, with the portions that nodes may hold from an earlier lease holder.
    Acquired(AcquiredLease, StoredGrants),
    /// Another node holds it for this time.
    Held(Duration),
}

/// Acquires the lease if no node holds it, if an earlier process of this node does, or if its holder
/// has given it up and offered it to this node.
async fn try_acquire(
    control: &Shared,
    store: &dyn Store,
    offered: Option<OfferedLease>,
) -> Result<Attempt, StoreError> {
    let read = store.list(LEASES_TABLE).await?;
    let row = read.value.iter().find(|row| row.key == RATES_KEY);
    let known = row.and_then(LeaseRow::decode).filter(|known| {
        let plausible = known.is_plausible(read.store_time);
        if !plausible {
            tracing::warn!(
                holder = %known.holder,
                fence = known.fence,
                until_ms = known.until_ms,
                "control: The row of the lease is not plausible, so it is replaced."
            );
        }
        plausible
    });
    let holder = known.as_ref().map(|known| &known.holder);
    let view = control.borrow().lease_view(read.epoch, holder, offered);
    let claim = control
        .borrow()
        .claim_of(row, known.as_ref(), read.store_time);
    let (fence, grants) = match claim.succeed(&view) {
        Succession::Wait(left) if view.unsettled.is_zero() => return Ok(Attempt::Held(left)),
        Succession::Wait(left) => return Ok(Attempt::Held(left.min(UNSETTLED_PAUSE))),
        Succession::Acquire {
            fence,
            grants_known: true,
        } => (fence, known.map(|known| known.grants).unwrap_or_default()),
        Succession::Acquire { fence, .. } => {
            tracing::info!(
                fence,
                epoch = read.epoch,
                "control: The portions that nodes hold are not known from the store."
            );
            let earlier = known.map(|known| known.grants).unwrap_or_default();
            (fence, control.borrow().unknown_grants(earlier))
        }
    };
    let expected_revision = row.map_or(0, |row| row.revision);
    let began = control.borrow().parts.clock.now();
    let until_ms = (read.store_time + LEASE_DURATION).as_millis() as u64;
    let written = write(control, store, fence, expected_revision, until_ms, &grants).await?;
    if written.epoch != read.epoch {
        tracing::warn!(
            fence,
            "control: The store was restored while the lease was acquired."
        );
        return Err(StoreError::Superseded);
    }
    let acquired = AcquiredLease {
        fence,
        revision: written.revision,
        store_time: (written.store_time, began),
        expires: began + LEASE_DURATION,
    };
    Ok(Attempt::Acquired(acquired, grants))
}

async fn write(
    control: &Shared,
    store: &dyn Store,
    fence: Fence,
    expected_revision: Revision,
    until_ms: u64,
    grants: &StoredGrants,
) -> Result<StoreResponse<()>, StoreError> {
    let row = {
        let control = control.borrow();
        LeaseRow {
            holder: control.local_member.vm.clone(),
            fence,
            epoch: control.parts.epoch.latest().unwrap_or_default(),
            until_ms,
            grants: grants.clone(),
        }
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
    control.send_reports();
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
                acquired.store_time = (written.store_time, began);
                acquired.expires = began + LEASE_DURATION;
                let mut control = control.borrow_mut();
                if let Some(lease) = &mut control.lease {
                    lease.expires = acquired.expires;
                    lease.ledger.record_stored(grants);
                }
                control.publish();
            }
            Err(StoreError::Conflict) => break,
            Err(error) => {
                tracing::warn!("control: The lease can't be renewed: {error}.");
                let left = acquired.expires.saturating_duration_since(clock.now());
                if left < OFFER_TIME && offer(control, acquired.fence, left) {
                    break;
                }
            }
        }
    }
    tracing::warn!(
        fence = acquired.fence,
        "control: This node no longer holds the lease on the rate limits."
    );
    control.borrow_mut().drop_lease();
}

/// Writes the row of the lease anew. A conflict may also come from an earlier renewal whose response
/// was lost, or from a restore of the store, so then the row is read and decides.
async fn renew_once(
    control: &Shared,
    store: &dyn Store,
    acquired: &AcquiredLease,
    grants: &StoredGrants,
) -> Result<StoreResponse<()>, StoreError> {
    let (fence, now) = (acquired.fence, control.borrow().parts.clock.now());
    let until_ms = acquired.next_expiry_ms(now);
    let renewed = write(control, store, fence, acquired.revision, until_ms, grants).await;
    if !matches!(renewed, Err(StoreError::Conflict)) {
        return renewed;
    }
    let read = store.list(LEASES_TABLE).await?;
    let row = read.value.iter().find(|row| row.key == RATES_KEY);
    let known = row.and_then(LeaseRow::decode);
    let claim = control
        .borrow()
        .claim_of(row, known.as_ref(), read.store_time);
    let expired = control.borrow().parts.clock.now() >= acquired.expires;
    if expired || !claim.gives_way_to(fence, read.epoch) {
        return Err(StoreError::Conflict);
    }
    let revision = row.map_or(0, |row| row.revision);
    tracing::info!(
        fence,
        epoch = read.epoch,
        "control: Writing the row of the lease anew after a conflict."
    );
    let until_ms = (read.store_time + LEASE_DURATION).as_millis() as u64;
    write(control, store, fence, revision, until_ms, grants).await
}

/// Gives up the lease and offers it to a node that the store answers, if there is one. Returns
/// whether there was.
fn offer(control: &Shared, fence: Fence, left: Duration) -> bool {
    let mut control = control.borrow_mut();
    let now = control.parts.clock.now();
    let watchers = control
        .sums
        .fleet(now)
        .map(|(sums, _)| sums.watchers.clone());
    let mut answered = watchers.into_iter().flatten();
    let successor = answered.find_map(|vm| {
        let peer = control.peers.get(&vm)?;
        (peer.link.is_up() && peer.member.status == Status::Serving).then(|| peer.link.clone())
    });
    let Some(link) = successor else {
        return false;
    };
    // Nothing may be granted any more once the offer is on its way.
    control.drop_lease();
    link.offer_lease(fence, left);
    true
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
        self.stopping.is_some()
            || matches!(self.local_member.status, Status::Draining | Status::Gone)
    }

    /// Returns what this node knows of the lease besides its row.
    fn lease_view(
        &self,
        epoch: Epoch,
        holder: Option<&VmId>,
        offered: Option<OfferedLease>,
    ) -> LeaseView {
        let heard = self.holder.as_ref().map(|(_, fence, _)| *fence);
        let settled = self.parts.epoch.restored();
        let settled = settled.map(|restored| restored + LEASE_DURATION + LEASE_MARGIN);
        let now = self.parts.clock.now();
        LeaseView {
            epoch,
            unsettled: settled.map_or(Duration::ZERO, |at| at.saturating_duration_since(now)),
            all_idle: self.all_idle(holder),
            heard: heard.max(self.released_fence).unwrap_or_default(),
            offered: offered.map(|offered| LeaseOffer {
                fence: offered.fence,
                in_force: now < offered.until && offered.epoch == Some(epoch),
            }),
        }
    }

    /// Returns the earlier grants where the row of the lease doesn't name them: those in the row, and
    /// any portion at all other nodes.
    fn unknown_grants(&self, earlier: StoredGrants) -> StoredGrants {
        let nodes = earlier.nodes.into_keys().chain(self.peers.keys().cloned());
        StoredGrants {
            nodes: nodes.map(|vm| (vm, 1.0)).collect(),
            lent: None,
        }
    }

    /// Returns how long this node leaves the lease to the connected nodes that precede it by name.
    fn candidate_delay(&self, now: Instant) -> Duration {
        let starting = self.is_starting(now);
        let before = self
            .peers
            .iter()
            .filter(|(vm, peer)| **vm < self.local_member.vm && (starting || peer.link.is_up()));
        match before.count() {
            rank if rank <= MAX_RANK => RANK_DELAY * rank as u32,
            _ => LATE_DELAY,
        }
    }
}
