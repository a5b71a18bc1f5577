//! The lease of the region's root: the node that holds it is the root.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertwheel_core::{Clock, Text};
use filbertwheel_platform::{PlatformError, Table, TableRow, TableWrite};
use filbertwheel_policy::{LeaseRow, LeaseStep, LeaseWatch};

use crate::control::Control;

/// Interval at which the lease is checked or renewed.
const LEASE_INTERVAL: Duration = Duration::from_secs(1);

/// Follows the root of the region or becomes it, for as long as the node runs.
pub(crate) async fn hold_lease(control: Rc<RefCell<Control>>) {
    let (clock, table, key) = {
        let control = control.borrow();
        let key: Text = format!("lease/{}", control.local_member().region).into();
        (
            Arc::clone(&control.parts.clock),
            Arc::clone(&control.parts.table),
            key,
        )
    };
    let mut watch = LeaseWatch::default();
    loop {
        let now = clock.now();
        let (is_root, needs_parent) = {
            let control = control.borrow();
            (control.is_root(), control.needs_parent(now))
        };
        if is_root {
            renew_lease(&control, table.as_ref(), clock.as_ref(), &key).await;
        } else if needs_parent {
            attach_to_root(&control);
            check_lease(&control, table.as_ref(), clock.as_ref(), &key, &mut watch).await;
        }
        clock.sleep(LEASE_INTERVAL).await;
    }
}

/// Releases the lease, so that another node can acquire it at once.
pub(crate) async fn release_lease(control: &Rc<RefCell<Control>>) {
    if !control.borrow().is_root() {
        return;
    }
    let (table, key) = {
        let control = control.borrow();
        let key: Text = format!("lease/{}", control.local_member().region).into();
        (Arc::clone(&control.parts.table), key)
    };
    // While shares granted by an earlier root may still be in use, a successor has to wait until
    // they expire. So the lease isn't released then.
    let predecessors_ended = control
        .borrow()
        .predecessors_ended(control.borrow().parts.clock.now());
    control.borrow_mut().step_down();
    if !predecessors_ended {
        return;
    }
    if let Ok((row, lease)) = read_lease(table.as_ref(), &key).await {
        let is_own_lease = lease
            .as_ref()
            .is_some_and(|lease| is_own(&control.borrow(), lease));
        if let (true, Some(lease)) = (is_own_lease, lease) {
            let released = LeaseRow {
                released: true,
                ..lease
            };
            let _failed = write_lease(table.as_ref(), &key, row.as_ref(), &released).await;
        }
    }
}

/// Attaches directly to the root when a parent below the root is unreachable.
fn attach_to_root(control: &Rc<RefCell<Control>>) {
    let mut control = control.borrow_mut();
    if let Some(root) = control.distant_root() {
        let fence = control.fence();
        control.attach(root, fence);
    }
}

async fn check_lease(
    control: &Rc<RefCell<Control>>,
    table: &dyn Table,
    clock: &dyn Clock,
    key: &Text,
    watch: &mut LeaseWatch,
) {
    let (row, lease) = match read_lease(table, key).await {
        Ok(stored) => stored,
        Err(error) => {
            tracing::warn!("control: Reading the lease failed: {error}.");
            return;
        }
    };
    match watch.observe(lease.as_ref(), clock.now()) {
        LeaseStep::Follow => {
            let Some(lease) = lease else { return };
            if is_own(&control.borrow(), &lease) {
                return;
            }
            control.borrow_mut().attach(lease.address, lease.fence);
        }
        // A node that is shutting down doesn't become the root.
        LeaseStep::Acquire(_) if control.borrow().is_leaving() => {}
        LeaseStep::Acquire(fence) => {
            let stored = StoredLease { row, lease };
            acquire_lease(control, table, clock, key, stored, fence).await;
        }
    }
}

/// The lease as read from the table.
struct StoredLease {
    row: Option<TableRow>,
    lease: Option<LeaseRow>,
}

async fn acquire_lease(
    control: &Rc<RefCell<Control>>,
    table: &dyn Table,
    clock: &dyn Clock,
    key: &Text,
    stored: StoredLease,
    fence: u64,
) {
    let local_member = control.borrow().local_member().clone();
    let earlier = stored.lease.as_ref();
    let lease = LeaseRow {
        holder: local_member.vm,
        incarnation: local_member.incarnation,
        address: local_member.address,
        fence,
        serial: 0,
        released: false,
        voters: earlier.map(|row| row.voters.clone()).unwrap_or_default(),
    };
    let sent = clock.now();
    let written = write_lease(table, key, stored.row.as_ref(), &lease).await;
    if written.is_ok() && control.borrow().fence() < fence {
        control.borrow_mut().become_root(fence, earlier, sent);
    }
}

async fn renew_lease(
    control: &Rc<RefCell<Control>>,
    table: &dyn Table,
    clock: &dyn Clock,
    key: &Text,
) {
    let (row, lease) = match read_lease(table, key).await {
        Ok((row, Some(lease))) => (row, lease),
        Ok((_, None)) => return control.borrow_mut().step_down(),
        // The platform may be down for long; whether this root stays in office depends on its
        // voters.
        Err(_) => return,
    };
    if !is_own(&control.borrow(), &lease) {
        return control.borrow_mut().step_down();
    }
    let Some(renewed) = renewed_row(&mut control.borrow_mut(), lease, clock.now()) else {
        return;
    };
    let sent = clock.now();
    let written = write_lease(table, key, row.as_ref(), &renewed).await;
    if written.is_ok()
        && let Some(root) = control.borrow_mut().root_mut()
        && root.fence() == renewed.fence
    {
        root.term_mut().renewed(sent);
    }
}

/// Returns the row that renews this root's lease.
fn renewed_row(control: &mut Control, lease: LeaseRow, now: Instant) -> Option<LeaseRow> {
    control
        .root_mut()?
        .term_mut()
        .set_voters(lease.voters.clone());
    let voters = control.choose_voters(now);
    control.root_mut()?.term_mut().renew(voters.clone());
    Some(LeaseRow {
        serial: lease.serial + 1,
        voters,
        ..lease
    })
}

fn is_own(control: &Control, lease: &LeaseRow) -> bool {
    let local_member = control.local_member();
    lease.holder == local_member.vm
        && lease.incarnation == local_member.incarnation
        && !lease.released
}

async fn read_lease(
    table: &dyn Table,
    key: &Text,
) -> Result<(Option<TableRow>, Option<LeaseRow>), PlatformError> {
    let Some(row) = table.read(key).await? else {
        return Ok((None, None));
    };
    let lease = serde_json::from_slice(row.value.as_bytes());
    let lease = lease.map_err(|_| PlatformError::Malformed)?;
    Ok((Some(row), Some(lease)))
}

async fn write_lease(
    table: &dyn Table,
    key: &Text,
    row: Option<&TableRow>,
    lease: &LeaseRow,
) -> Result<(), PlatformError> {
    let value = serde_json::to_string(lease).map_err(|_| PlatformError::Malformed)?;
    let expect = row.map(|row| row.version);
    table
        .commit(vec![TableWrite {
            key: key.clone(),
            expect,
            value: Some(value.into()),
        }])
        .await
}
