//! The store with the lease row: unavailable, faulty, or applying writes late.

use std::time::Duration;

use filbertwheel_core::{Member, VmId};
use filbertwheel_policy::{LeaseRow, LeaseStep, Root, ShareLedger, Voter};
use rand::Rng;

use super::{Fleet, LateWrite, Process, TableMode};

impl Fleet {
    pub fn keep_lease(&mut self, process: usize) {
        let now = self.now();
        let node = &mut self.nodes[process];
        if node.root.is_some() {
            self.renew(process);
        } else if node.parent_session.needs_parent(now) {
            if let Some(root) = node.parent_session.distant_root() {
                node.attach(root, node.parent_session.fence(), now);
            }
            self.read_lease(process);
        }
    }

    fn read_lease(&mut self, process: usize) {
        let now = self.now();
        let Ok(found) = self.read(process) else {
            return;
        };
        let row = found.as_ref().map(|(_, row)| row);
        let node = &mut self.nodes[process];
        let own = row.is_some_and(|row| is_own(row, node));
        let step = node.watch.observe(row, now);
        match (step, row) {
            (LeaseStep::Acquire(fence), _) => self.acquire_lease(process, fence, found),
            (LeaseStep::Follow, Some(row)) if !own => node.attach(row.address, row.fence, now),
            _ => {}
        }
    }

    fn acquire_lease(&mut self, process: usize, fence: u64, found: Option<(u64, LeaseRow)>) {
        let now = self.now();
        let own = voter(&self.nodes[process].member);
        let earlier = found.as_ref().map(|(_, row)| row);
        let row = LeaseRow {
            holder: own.vm.clone(),
            incarnation: own.incarnation,
            address: self.nodes[process].member.address,
            fence,
            serial: 0,
            released: false,
            voters: earlier.map(|row| row.voters.clone()).unwrap_or_default(),
        };
        let version = found.as_ref().map(|(version, _)| *version);
        if self.write(process, version, row) == Some(true) {
            let node = &mut self.nodes[process];
            if fence > node.parent_session.fence() {
                let mut root = Root::open(own, fence, earlier, now, now);
                root.exclude_children(&node.child_ledger, node.parent_session.is_below_root());
                node.root = Some(root);
                node.parent_session.detach(fence);
            }
        }
    }

    fn renew(&mut self, process: usize) {
        let now = self.now();
        let Ok(found) = self.read(process) else {
            return;
        };
        let node = &self.nodes[process];
        let Some((version, row)) = found.filter(|(_, row)| is_own(row, node)) else {
            let node = &mut self.nodes[process];
            node.root = None;
            node.child_ledger = ShareLedger::below_root(node.member.vm.clone(), now);
            node.parent_session.detach(0);
            return;
        };
        let children: Vec<&VmId> = node
            .root
            .iter()
            .flat_map(|root| root.ledger().children())
            .collect();
        let live: Vec<Member> = self
            .nodes
            .iter()
            .filter(|one| children.contains(&&one.member.vm))
            .map(|one| one.member.clone())
            .collect();
        let node = &mut self.nodes[process];
        let Some(root) = &mut node.root else { return };
        let term = root.term_mut();
        term.set_voters(row.voters.clone());
        let voters = term.next_voters(live.iter(), now);
        term.renew(voters.clone());
        let renewed = LeaseRow {
            serial: row.serial + 1,
            voters,
            ..row
        };
        if self.write(process, Some(version), renewed) == Some(true)
            && let Some(root) = &mut self.nodes[process].root
        {
            root.term_mut().renewed(now);
        }
    }

    pub fn read(&mut self, process: usize) -> Result<Option<(u64, LeaseRow)>, ()> {
        let down = self.mode == TableMode::Down || self.partition(process) != 0;
        let faulty = self.mode == TableMode::Faulty && self.rng.random_range(0..3) == 0;
        if down || faulty {
            return Err(());
        }
        Ok(self.row.clone())
    }

    /// Writes the row. Returns whether it was written, or `None` if the outcome is unknown.
    pub fn write(
        &mut self,
        process: usize,
        expected_version: Option<u64>,
        row: LeaseRow,
    ) -> Option<bool> {
        if self.mode == TableMode::Down || self.partition(process) != 0 {
            return None;
        }
        let expected_version = expected_version.unwrap_or(0);
        if self.mode == TableMode::Faulty && self.rng.random_range(0..2) == 0 {
            let delay = Duration::from_millis(self.rng.random_range(0..20_000));
            let due = self.now() + delay;
            if self.rng.random_range(0..2) == 0 {
                self.apply_write(expected_version, row);
            } else {
                self.writes.push(LateWrite {
                    due,
                    expected_version,
                    row,
                });
            }
            return None;
        }
        Some(self.apply_write(expected_version, row))
    }

    fn apply_write(&mut self, expected_version: u64, row: LeaseRow) -> bool {
        let version = self.row.as_ref().map_or(0, |(version, _)| *version);
        if version != expected_version {
            return false;
        }
        self.row = Some((version + 1, row));
        true
    }

    pub fn apply_due_writes(&mut self) {
        let now = self.now();
        let (due, later) = std::mem::take(&mut self.writes)
            .into_iter()
            .partition(|write| write.due <= now);
        self.writes = later;
        let due: Vec<LateWrite> = due;
        for write in due {
            self.apply_write(write.expected_version, write.row);
        }
    }
}

fn is_own(row: &LeaseRow, node: &Process) -> bool {
    let member = &node.member;
    row.holder == member.vm && row.incarnation == member.incarnation && !row.released
}

fn voter(member: &Member) -> Voter {
    Voter {
        vm: member.vm.clone(),
        incarnation: member.incarnation,
    }
}
