//! The lease on the organisations' rates: one node at a time divides them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertwheel_core::{Fence, Status, Text, VmId, message};
use filbertwheel_platform::{Revision, Store, StoreError, StoreResponse, StoreRow, StoreWrite};
use filbertwheel_policy::{Grantees, PortionLedger};

use super::Shared;
use super::state::Holding;

/// Table of leases.
const LEASES: &str = "filbertwheel-leases";
/// Key of the lease.
const RATES: Text = Text::from_static("rates");
/// How long the lease lasts without a renewal, by the store's clock.
const LEASE_TIME: Duration = Duration::from_secs(8);
/// Time between renewals.
const RENEWAL_TIME: Duration = Duration::from_millis(1_500);
/// Pause after a look that found the lease held.
const HELD_PAUSE: Duration = Duration::from_millis(900);
/// What a successor waits beyond the end of a lease.
const LEASE_MARGIN: Duration = Duration::from_millis(300);
/// How often a node looks whether the lease is held.
const LOOK_TIME: Duration = Duration::from_millis(300);
/// Further looks that a node waits for each one that comes before it by name.
const RANK_TIME: Duration = Duration::from_millis(400);
/// Places in the order of names that make a difference.
const RANKS: usize = 8;

/// The lease as it's stored.
#[message]
struct LeaseRow {
    holder: VmId,
    fence: Fence,
    /// When it ends, in milliseconds of the store's clock.
    until_ms: u64,
    /// Nodes that may have portions.
    grantees: Grantees,
}

/// A lease that this node has taken.
struct Taken {
    fence: Fence,
    revision: Revision,
    /// Until when this node may act on it.
    until: Instant,
}

/// Takes the lease where nobody has it, and renews it.
pub(crate) async fn hold_lease(control: Shared) {
    let (store, clock) = {
        let control = control.borrow();
        let store = Arc::clone(&control.parts.sources.store);
        (store, Arc::clone(&control.parts.clock))
    };
    loop {
        clock.sleep(LOOK_TIME).await;
        if !is_candidate(&control, clock.now()) {
            continue;
        }
        let rank = control.borrow().rank();
        clock.sleep(RANK_TIME * rank as u32).await;
        if !is_candidate(&control, clock.now()) {
            continue;
        }
        let began = clock.now();
        match take(&control, store.as_ref()).await {
            Ok(Some((taken, earlier))) => {
                lead(&control, &taken, earlier, began);
                renew(&control, store.as_ref(), taken).await;
            }
            Ok(None) => clock.sleep(HELD_PAUSE).await,
            Err(error) => {
                tracing::warn!("control: The lease can't be taken: {error}.");
                clock.sleep(HELD_PAUSE).await;
            }
        }
    }
}

fn is_candidate(control: &Shared, now: Instant) -> bool {
    let control = control.borrow();
    let ready = control.parts.snapshots.load().is_ready();
    // The VM of a backend server that leaves is soon taken away.
    let stays = !control.stopping && control.me.status == Status::Serving;
    ready && stays && !control.has_holder(now)
}

/// Takes the lease if nobody holds it, or an earlier run of this node. Returns the nodes that may
/// have portions from an earlier holder.
async fn take(
    control: &Shared,
    store: &dyn Store,
) -> Result<Option<(Taken, Grantees)>, StoreError> {
    let read = store.list(LEASES).await?;
    let row = read.value.iter().find(|row| row.key == RATES);
    let known = row.and_then(decode);
    if let Some((known, _)) = &known {
        let end = Duration::from_millis(known.until_ms) + LEASE_MARGIN;
        // An earlier process on this VM has ended, or this one would not run.
        let own = known.holder == control.borrow().me.vm;
        if read.store_time < end && !own {
            return Ok(None);
        }
    }
    let fence = known.as_ref().map_or(1, |(known, _)| known.fence + 1);
    let grantees = known.map(|(known, _)| known.grantees).unwrap_or_default();
    let expect = row.map_or(0, |row| row.revision);
    let began = control.borrow().parts.clock.now();
    let until_ms = (read.store_time + LEASE_TIME).as_millis() as u64;
    let written = write(control, store, fence, expect, until_ms, &grantees).await?;
    let taken = Taken {
        fence,
        revision: written.revision,
        until: began + LEASE_TIME,
    };
    Ok(Some((taken, grantees)))
}

fn decode(row: &StoreRow) -> Option<(LeaseRow, Revision)> {
    match serde_json::from_slice(&row.value) {
        Ok(decoded) => Some((decoded, row.revision)),
        Err(error) => {
            tracing::warn!("control: The lease can't be read: {error}.");
            None
        }
    }
}

async fn write(
    control: &Shared,
    store: &dyn Store,
    fence: Fence,
    expect: Revision,
    until_ms: u64,
    grantees: &Grantees,
) -> Result<StoreResponse<()>, StoreError> {
    let row = LeaseRow {
        holder: control.borrow().me.vm.clone(),
        fence,
        until_ms,
        grantees: grantees.clone(),
    };
    let value = serde_json::to_vec(&row).map_err(|_| StoreError::Malformed)?;
    let write = StoreWrite {
        table: LEASES,
        key: RATES,
        expected_revision: Some(expect),
        value: Some(value.into()),
    };
    store.commit(&[write]).await
}

fn lead(control: &Shared, taken: &Taken, earlier: Grantees, since: Instant) {
    let mut control = control.borrow_mut();
    let own = control.me.vm.clone();
    let waits_for = earlier.len();
    control.ledger = Some(Holding {
        fence: taken.fence,
        ledger: PortionLedger::open(own, earlier, since),
        until: taken.until,
    });
    tracing::info!(
        fence = taken.fence,
        waits_for,
        "control: This node divides the rates."
    );
    control.publish();
    control.report(false);
    control.ask_portions(false);
}

/// Renews the lease until it's lost.
async fn renew(control: &Shared, store: &dyn Store, mut taken: Taken) {
    let clock = Arc::clone(&control.borrow().parts.clock);
    loop {
        clock.sleep(RENEWAL_TIME).await;
        let began = clock.now();
        let grantees = {
            let control = control.borrow();
            let limits = control.limits();
            let holding = control.ledger.as_ref().filter(|_| began < taken.until);
            match holding {
                Some(holding) => holding.ledger.grantees(&limits),
                None => break,
            }
        };
        if control.borrow().is_leaving() {
            release(control, store, &taken, &grantees).await;
            break;
        }
        match renew_once(control, store, &taken, &grantees).await {
            Ok(written) => {
                taken.revision = written.revision;
                taken.until = began + LEASE_TIME;
                let mut control = control.borrow_mut();
                if let Some(holding) = &mut control.ledger {
                    holding.until = taken.until;
                    holding.ledger.record_grantees(grantees);
                }
                control.publish();
            }
            Err(StoreError::Conflict) => break,
            Err(error) => tracing::warn!("control: The lease can't be renewed: {error}."),
        }
    }
    tracing::warn!(
        fence = taken.fence,
        "control: This node no longer divides the rates."
    );
    control.borrow_mut().resign();
}

async fn renew_once(
    control: &Shared,
    store: &dyn Store,
    taken: &Taken,
    grantees: &Grantees,
) -> Result<StoreResponse<()>, StoreError> {
    let read = store.list(LEASES).await?;
    let own = read.value.iter().find(|row| row.key == RATES);
    // A write whose answer was lost is this node's own.
    let known = own
        .and_then(decode)
        .filter(|(row, _)| row.fence == taken.fence);
    let (_, revision) = known.ok_or(StoreError::Conflict)?;
    let until_ms = (read.store_time + LEASE_TIME).as_millis() as u64;
    write(control, store, taken.fence, revision, until_ms, grantees).await
}

/// Ends the lease early, so that a successor needn't wait.
async fn release(control: &Shared, store: &dyn Store, taken: &Taken, grantees: &Grantees) {
    let (fence, revision) = (taken.fence, taken.revision);
    let released = write(control, store, fence, revision, 0, grantees).await;
    if let Err(error) = released {
        tracing::warn!("control: The lease can't be released: {error}.");
    }
}

impl super::Control {
    /// Whether this node, or the backend server beside it, is about to go.
    fn is_leaving(&self) -> bool {
        self.stopping || matches!(self.me.status, Status::Draining | Status::Gone)
    }

    /// Place of this node among those that are up, by name.
    fn rank(&self) -> usize {
        let others = self.others.iter();
        let before = others.filter(|(vm, other)| **vm < self.me.vm && other.link.is_up());
        before.count().min(RANKS)
    }
}
