//! The nodes of the fleet, by their rows in the store.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertwheel_core::{Member, Status, VmId, message};
use filbertwheel_platform::{Store, StoreError, StoreRow, StoreWrite};

use super::feed::{Feed, Rows};
use super::{Control, Shared, departures};

/// Table of the nodes.
const NODES_TABLE: &str = "filbertwheel-nodes";
/// Time without a report after which the row of a node is removed from the store.
const REMOVE_AFTER: Duration = Duration::from_secs(120);
/// Time without a report after which a node forgets another one, whose row is removed by then.
const FORGET_AFTER: Duration = Duration::from_secs(150);
/// Pause of the lease holder between two reads of the table. Changes close together are read at
/// once, and a node that has just connected has time to write its row itself.
const KEEP_INTERVAL: Duration = Duration::from_secs(3);

/// Row of a node in the store, by which the other nodes find it.
#[message]
struct NodeRow {
    address: SocketAddr,
    region: filbertwheel_core::RegionId,
    domain: filbertwheel_core::DomainId,
}

impl Control {
    /// Applies a list of all nodes. Removes the peers that are neither listed nor connected.
    fn apply_list(&mut self, members: Vec<Member>) {
        let listed: BTreeSet<VmId> = members.iter().map(|member| member.vm.clone()).collect();
        let gone: Vec<VmId> = self
            .peers
            .iter()
            .filter(|(vm, peer)| !listed.contains(*vm) && !peer.link.is_up())
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in gone {
            self.remove_peer(&vm);
        }
        for member in members {
            self.upsert_peer(member);
        }
        self.members_known = true;
        self.publish();
    }

    /// Removes the peers that have been silent for so long that the lease holder has removed their
    /// rows.
    pub(super) fn forget_dead_peers(&mut self, now: Instant) {
        for vm in self.silent_peers(now, FORGET_AFTER) {
            self.remove_peer(&vm);
        }
    }

    /// Returns the peers without a link that have been silent for longer than `time`.
    fn silent_peers(&self, now: Instant, time: Duration) -> Vec<VmId> {
        let peers = self.peers.iter();
        let silent = peers.filter(|(_, peer)| {
            !peer.link.is_up() && now.saturating_duration_since(peer.last_heard) > time
        });
        silent.map(|(vm, _)| vm.clone()).collect()
    }

    /// Returns this node and the nodes that it is connected to, each with its address.
    fn connected_members(&self) -> Vec<Member> {
        let peers = self.peers.values().filter(|peer| peer.link.is_up());
        let members = peers.map(|peer| peer.member.clone());
        members.chain([self.local_member.clone()]).collect()
    }
}

/// Enters this node into the table of nodes, and reads the other nodes from it. Nodes that start
/// later connect to this one, so the table is not read again.
pub(crate) async fn join_members(control: Shared) {
    let (mut feed, local_member) = {
        let control = control.borrow();
        let feed = Feed::open(&control.parts, NODES_TABLE);
        (feed, control.local_member.clone())
    };
    loop {
        match list(&mut feed).await {
            Ok(members) => {
                let own = members.iter().find(|member| member.vm == local_member.vm);
                let entered = own.is_some_and(|member| member.address == local_member.address);
                let listed = own.is_some();
                let mut control = control.borrow_mut();
                control.was_listed.get_or_insert(listed);
                control.apply_list(members);
                if entered {
                    control.joined = true;
                    return;
                }
            }
            Err(error) => {
                tracing::warn!("control: The table of nodes can't be read: {error}.");
                feed.back_off().await;
                continue;
            }
        }
        // After the write the table is read once more: of two nodes that start at the same time, at
        // least one then sees the other. The list also shows whether a write without a response
        // took effect.
        let store = Arc::clone(&control.borrow().parts.dependencies.store);
        if !write_row(store.as_ref(), &local_member).await {
            feed.back_off().await;
        }
    }
}

async fn list(feed: &mut Feed) -> Result<Vec<Member>, StoreError> {
    feed.restart();
    let rows = match feed.next().await?.rows {
        Rows::Listed(rows) => rows,
        Rows::Changed(_) => Vec::new(),
    };
    let members = rows
        .iter()
        .filter_map(|row| member_of(&row.key, &row.value));
    Ok(members.collect())
}

/// Keeps the table of nodes in order while this node holds the lease: writes the rows of connected
/// nodes that are missing or wrong, and removes those of nodes that have been silent for a long time.
pub(crate) async fn keep_members(control: Shared) {
    let (mut feed, clock, store) = {
        let control = control.borrow();
        let parts = &control.parts;
        let store = Arc::clone(&parts.dependencies.store);
        let clock = Arc::clone(&parts.clock);
        (Feed::open(parts, NODES_TABLE), clock, store)
    };
    let mut addresses: BTreeMap<VmId, SocketAddr> = BTreeMap::new();
    loop {
        clock.sleep(KEEP_INTERVAL).await;
        if control.borrow().lease.is_none() {
            feed.restart();
            continue;
        }
        match feed.next().await.map(|update| update.rows) {
            Ok(Rows::Listed(rows)) => {
                addresses.clear();
                apply_rows(
                    &mut addresses,
                    rows.into_iter().map(|row| (row.key.clone(), Some(row))),
                );
            }
            Ok(Rows::Changed(changes)) => apply_rows(&mut addresses, changes),
            Err(error) => {
                tracing::warn!("control: The table of nodes can't be read: {error}.");
                feed.back_off().await;
                continue;
            }
        }
        if control.borrow().lease.is_some() {
            repair_rows(&control, store.as_ref(), &addresses).await;
            remove_rows(&control, store.as_ref(), &addresses, clock.now()).await;
        }
    }
}

fn apply_rows(
    addresses: &mut BTreeMap<VmId, SocketAddr>,
    rows: impl IntoIterator<Item = (VmId, Option<StoreRow>)>,
) {
    for (vm, row) in rows {
        match row.and_then(|row| member_of(&vm, &row.value)) {
            Some(member) => addresses.insert(vm, member.address),
            None => addresses.remove(&vm),
        };
    }
}

async fn repair_rows(control: &Shared, store: &dyn Store, addresses: &BTreeMap<VmId, SocketAddr>) {
    let members = control.borrow().connected_members();
    for member in members {
        if addresses.get(&member.vm) != Some(&member.address) {
            tracing::info!(vm = %member.vm, "control: Writing the row of a node anew.");
            write_row(store, &member).await;
        }
    }
}

async fn remove_rows(
    control: &Shared,
    store: &dyn Store,
    addresses: &BTreeMap<VmId, SocketAddr>,
    now: Instant,
) {
    let silent = control.borrow().silent_peers(now, REMOVE_AFTER);
    for vm in silent.into_iter().filter(|vm| addresses.contains_key(vm)) {
        tracing::info!(
            vm = %vm,
            "control: Removing the row of a node that has been silent for too long."
        );
        let write = StoreWrite {
            table: NODES_TABLE,
            key: vm.clone(),
            expected_revision: None,
            value: None,
        };
        for write in [write, departures::removal(vm)] {
            if let Err(error) = store.commit(&[write]).await {
                tracing::warn!("control: The row of a silent node can't be removed: {error}.");
            }
        }
    }
}

async fn write_row(store: &dyn Store, member: &Member) -> bool {
    let row = NodeRow {
        address: member.address,
        region: member.region.clone(),
        domain: member.domain.clone(),
    };
    let Ok(value) = serde_json::to_vec(&row) else {
        tracing::error!(vm = %member.vm, "control: The row of a node can't be encoded.");
        return false;
    };
    let write = StoreWrite {
        table: NODES_TABLE,
        key: member.vm.clone(),
        expected_revision: None,
        value: Some(value.into()),
    };
    match store.commit(&[write]).await {
        Ok(_) => true,
        Err(error) => {
            tracing::warn!(vm = %member.vm, "control: The row of a node can't be written: {error}.");
            false
        }
    }
}

/// Decodes the row of a node. Returns `None` if it is malformed.
fn member_of(vm: &VmId, value: &[u8]) -> Option<Member> {
    let row: NodeRow = match serde_json::from_slice::<NodeRow>(value) {
        Ok(row) if row.address.port() == 0 => {
            tracing::warn!(vm = %vm, "control: The row of a node has no port.");
            return None;
        }
        Ok(row) => row,
        Err(error) => {
            tracing::warn!(vm = %vm, "control: The row of a node can't be decoded: {error}.");
            return None;
        }
    };
    Some(Member {
        vm: vm.clone(),
        incarnation: 0,
        region: row.region,
        domain: row.domain,
        service: None,
        address: row.address,
        slots: 0,
        status: Status::Joining,
    })
}
