//! The lease on the rate limits over restores of the store that keeps its row.

use std::time::Duration;

use filbertwheel_policy::{LeaseClaim, LeaseOffer, LeaseView, StatedLease, Succession};
use proptest::prelude::*;

const NODES: usize = 4;
const LEASE_MS: u64 = 8_000;
const MARGIN_MS: u64 = 300;
/// Epoch of a store that was never restored.
const FIRST_EPOCH: u64 = 1;

#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    Copy,
    /// The store goes back to the latest copy but so many.
    Restore(usize),
    /// A node tries to acquire the lease; whether it is connected to all others.
    Acquire(usize, bool),
    /// A holder renews the lease; whether the response is lost.
    Renew(usize, bool),
    /// A holder gives up the lease and offers it to another node.
    Offer(usize, usize),
    /// A holder ends its lease in the store.
    Release(usize),
    /// A node hears of another one's lease.
    Tell(usize, usize),
    /// A node ends and starts again without memory.
    Restart(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let node = || 0..NODES;
    let step = prop_oneof![
        6 => (1..4_000_u64).prop_map(Step::Wait),
        1 => (7_000..12_000_u64).prop_map(Step::Wait),
        2 => Just(Step::Copy),
        2 => (0..3_usize).prop_map(Step::Restore),
        8 => (node(), any::<bool>()).prop_map(|(node, all)| Step::Acquire(node, all)),
        8 => (node(), any::<bool>()).prop_map(|(node, lost)| Step::Renew(node, lost)),
        1 => (node(), node()).prop_map(|(from, to)| Step::Offer(from, to)),
        1 => node().prop_map(Step::Release),
        2 => (node(), node()).prop_map(|(from, to)| Step::Tell(from, to)),
        1 => node().prop_map(Step::Restart),
    ];
    prop::collection::vec(step, 1..100)
}

/// Row of the lease in the store.
#[derive(Debug, Clone, Copy)]
struct Row {
    revision: u64,
    holder: usize,
    fence: u64,
    epoch: u64,
    until_ms: u64,
}

#[derive(Debug, Clone, Default)]
struct Contents {
    revision: u64,
    row: Option<Row>,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    fence: u64,
    revision: u64,
    expires_ms: u64,
}

#[derive(Debug, Default)]
struct Node {
    held: Option<Held>,
    heard: u64,
    /// Fencing token and expiry of a lease that was offered, and the epoch that was known then.
    offered: Option<(u64, u64, Option<u64>)>,
    /// Epoch of the store's latest response.
    epoch: Option<u64>,
    /// When the node found that the store was restored.
    restored_ms: Option<u64>,
}

#[derive(Debug)]
struct Model {
    now_ms: u64,
    epoch: u64,
    store: Contents,
    copies: Vec<Contents>,
    nodes: Vec<Node>,
    highest: u64,
}

impl Model {
    fn open() -> Self {
        Self {
            now_ms: 0,
            epoch: FIRST_EPOCH,
            store: Contents::default(),
            copies: vec![Contents::default()],
            nodes: (0..NODES).map(|_| Node::default()).collect(),
            highest: 0,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Wait(millis) => self.now_ms += millis,
            Step::Copy => self.copies.push(self.store.clone()),
            Step::Restore(age) => {
                let index = self.copies.len().saturating_sub(1 + age);
                self.store = self.copies[index].clone();
                self.copies.truncate(index + 1);
                self.epoch += 1;
            }
            Step::Acquire(node, all) => self.acquire(node, all),
            Step::Renew(node, lost) => self.renew(node, lost),
            Step::Offer(from, to) => {
                if let Some(held) = self.active(from).filter(|_| from != to) {
                    self.nodes[from].held = None;
                    let to = &mut self.nodes[to];
                    to.offered = Some((held.fence, held.expires_ms, to.epoch));
                }
            }
            Step::Release(node) => {
                if let Some(held) = self.active(node) {
                    self.write(node, held.fence, Some(held.revision), 0);
                    self.nodes[node].held = None;
                }
            }
            Step::Tell(from, to) => {
                if let Some(held) = self.active(from) {
                    let heard = &mut self.nodes[to].heard;
                    *heard = held.fence.max(*heard);
                }
            }
            Step::Restart(node) => self.nodes[node] = Node::default(),
        }
        let active = (0..NODES).filter(|node| self.active(*node).is_some());
        assert!(active.count() <= 1, "two holders: {self:?}");
    }

    fn active(&self, node: usize) -> Option<Held> {
        let held = self.nodes[node].held;
        held.filter(|held| self.now_ms < held.expires_ms)
    }

    /// Records that a node has heard from the store.
    fn respond(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.epoch != Some(self.epoch) {
            if node.epoch.is_some() || self.epoch > FIRST_EPOCH {
                node.restored_ms = Some(self.now_ms);
            }
            node.epoch = Some(self.epoch);
        }
    }

    fn claim(&self, index: usize) -> LeaseClaim {
        self.store.row.map_or(LeaseClaim::Absent, |row| {
            let end = row.until_ms + MARGIN_MS;
            LeaseClaim::Stated(StatedLease {
                epoch: row.epoch,
                fence: row.fence,
                left: Duration::from_millis(end.saturating_sub(self.now_ms)),
                own: row.holder == index,
            })
        })
    }

    fn acquire(&mut self, index: usize, connected: bool) {
        if self.active(index).is_some() {
            return;
        }
        self.respond(index);
        let node = &self.nodes[index];
        let settled = node.restored_ms.map_or(0, |at| at + LEASE_MS + MARGIN_MS);
        let idle = (0..NODES).all(|node| self.active(node).is_none());
        let view = LeaseView {
            epoch: self.epoch,
            unsettled: Duration::from_millis(settled.saturating_sub(self.now_ms)),
            all_idle: connected && idle,
            heard: node.heard,
            offered: node.offered.map(|(fence, expires_ms, epoch)| LeaseOffer {
                fence,
                in_force: self.now_ms < expires_ms && epoch == Some(self.epoch),
            }),
        };
        if let Succession::Acquire { fence, .. } = self.claim(index).succeed(&view) {
            assert!(fence > self.highest, "{fence} again after {}", self.highest);
            self.highest = fence;
            self.nodes[index].offered = None;
            self.write(index, fence, None, self.now_ms + LEASE_MS);
            self.hold(index, fence);
        }
    }

    fn renew(&mut self, index: usize, lost: bool) {
        let Some(held) = self.active(index) else {
            return;
        };
        let expected = Some(held.revision);
        if !self.write(index, held.fence, expected, self.now_ms + LEASE_MS) {
            self.respond(index);
            if !self.claim(index).gives_way_to(held.fence, self.epoch) {
                self.nodes[index].held = None;
                return;
            }
            self.write(index, held.fence, None, self.now_ms + LEASE_MS);
        }
        if !lost {
            self.respond(index);
            self.hold(index, held.fence);
        }
    }

    fn hold(&mut self, index: usize, fence: u64) {
        self.nodes[index].held = Some(Held {
            fence,
            revision: self.store.revision,
            expires_ms: self.now_ms + LEASE_MS,
        });
    }

    /// Writes the row if it has the expected revision. Returns whether it was written.
    fn write(&mut self, holder: usize, fence: u64, expected: Option<u64>, until_ms: u64) -> bool {
        let known = self.store.row.map_or(0, |row| row.revision);
        if expected.is_some_and(|expected| expected != known) {
            return false;
        }
        self.store.revision += 1;
        self.store.row = Some(Row {
            revision: self.store.revision,
            holder,
            fence,
            epoch: self.nodes[holder].epoch.unwrap_or_default(),
            until_ms,
        });
        true
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    // Guards against two holders at once, or a fencing token that is given out twice, when the row of
    // the lease comes back older while holders renew, end, are restarted or offer the lease.
    #[test]
    fn one_holder_and_rising_fences_over_restores(steps in steps()) {
        let mut model = Model::open();
        for step in steps {
            model.apply(step);
        }
    }
}

fn view(epoch: u64, unsettled_ms: u64) -> LeaseView {
    LeaseView {
        epoch,
        unsettled: Duration::from_millis(unsettled_ms),
        all_idle: false,
        heard: 0,
        offered: None,
    }
}

#[test]
fn a_row_of_an_earlier_epoch_is_not_trusted() {
    let claim = LeaseClaim::Stated(StatedLease {
        epoch: 1,
        fence: 1_000_000_007,
        left: Duration::ZERO,
        own: true,
    });
    let wait = Succession::Wait(Duration::from_millis(5_000));
    assert_eq!(claim.succeed(&view(2, 5_000)), wait);
    let acquired = Succession::Acquire {
        fence: 2_000_000_001,
        grants_known: false,
    };
    assert_eq!(claim.succeed(&view(2, 0)), acquired);
}
