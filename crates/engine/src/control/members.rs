//! The nodes of the fleet, by their rows in the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filbertwheel_core::{Member, Status, VmId, message};
use filbertwheel_platform::{RowChanges, StoreWrite};

use super::feed::{Feed, Update};
use super::{Control, Shared};

/// Table of the nodes.
const NODES_TABLE: &str = "filbertwheel-nodes";
/// Interval between checks for rows of nodes that no longer exist.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(30);
/// Pause between two reads of the table, so that changes close together are read at once.
const BATCH_INTERVAL: Duration = Duration::from_millis(500);

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
    }

    /// Applies changes of rows. Returns whether this node's own row still exists.
    fn apply_changes(&mut self, changes: RowChanges) -> bool {
        let mut listed = true;
        for (vm, row) in changes {
            if vm == self.local_member.vm {
                listed = row.is_some();
                continue;
            }
            match row {
                Some(row) => {
                    if let Some(member) = member_of(&vm, &row.value) {
                        self.upsert_peer(member);
                    }
                }
                None => self.remove_peer(&vm),
            }
        }
        listed
    }
}

/// Removes the rows of nodes that have been silent for a long time, while this node holds the
/// lease.
pub(crate) async fn remove_dead_members(control: Shared) {
    let (store, clock) = {
        let control = control.borrow();
        let store = Arc::clone(&control.parts.dependencies.store);
        (store, Arc::clone(&control.parts.clock))
    };
    loop {
        clock.sleep(REMOVAL_INTERVAL).await;
        let dead_members = control.borrow().dead_members(clock.now());
        for vm in dead_members {
            tracing::info!(
                vm = %vm,
                "control: Removing the row of a node that has been silent for too long."
            );
            let write = StoreWrite {
                table: NODES_TABLE,
                key: vm,
                expected_revision: None,
                value: None,
            };
            if let Err(error) = store.commit(&[write]).await {
                tracing::warn!("control: The row of a silent node can't be removed: {error}.");
            }
        }
    }
}

/// Follows the rows of all nodes, and writes this node's own row if it is missing or outdated.
pub(crate) async fn watch_members(control: Shared) {
    let (mut feed, clock, local_member) = {
        let control = control.borrow();
        let parts = &control.parts;
        let (store, clock) = (
            Arc::clone(&parts.dependencies.store),
            Arc::clone(&parts.clock),
        );
        let feed = Feed::open(store, Arc::clone(&clock), NODES_TABLE);
        (feed, clock, control.local_member.clone())
    };
    loop {
        let listed = match feed.next().await {
            Ok(Update::Listed(rows)) => {
                let rows = rows.iter();
                let members: Vec<Member> = rows
                    .filter_map(|row| member_of(&row.key, &row.value))
                    .collect();
                let own = members.iter().find(|member| member.vm == local_member.vm);
                let listed = own.is_some_and(|member| member.address == local_member.address);
                publish_members(&control, members);
                listed
            }
            Ok(Update::Changed(changes)) => control.borrow_mut().apply_changes(changes),
            Err(error) => {
                tracing::warn!("control: The table of nodes can't be read: {error}.");
                feed.back_off().await;
                continue;
            }
        };
        if listed || write_row(&control, &local_member).await {
            clock.sleep(BATCH_INTERVAL).await;
        } else {
            // Only a new list shows whether the write took effect in spite of the error.
            feed.restart();
            feed.back_off().await;
        }
    }
}

fn publish_members(control: &Shared, members: Vec<Member>) {
    let mut control = control.borrow_mut();
    control.members_known = true;
    control.apply_list(members);
    control.publish();
}

async fn write_row(control: &Shared, local_member: &Member) -> bool {
    let row = NodeRow {
        address: local_member.address,
        region: local_member.region.clone(),
        domain: local_member.domain.clone(),
    };
    let Ok(value) = serde_json::to_vec(&row) else {
        tracing::error!("control: This node's row can't be encoded.");
        return false;
    };
    let write = StoreWrite {
        table: NODES_TABLE,
        key: local_member.vm.clone(),
        expected_revision: None,
        value: Some(value.into()),
    };
    let store = Arc::clone(&control.borrow().parts.dependencies.store);
    match store.commit(&[write]).await {
        Ok(_) => true,
        Err(error) => {
            tracing::warn!("control: This node's row can't be written: {error}.");
            false
        }
    }
}

/// Decodes the row of a node. Returns `None` if it is malformed.
fn member_of(vm: &VmId, value: &[u8]) -> Option<Member> {
    let row: NodeRow = match serde_json::from_slice(value) {
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
