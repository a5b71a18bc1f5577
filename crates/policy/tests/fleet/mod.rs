//! A small fleet that uses the real share decisions, over a simulated network and store with
//! faults.

mod network;
mod table;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use filbertwheel_core::{
    Clock, Demand, Heartbeat, Incarnation, Member, OrganisationId, PausedClock, Rate, Status, Text,
};
use filbertwheel_policy::{
    LeaseRow, LeaseWatch, MAX_CLAIM_HOPS, ParentSession, Root, ShareBuckets, ShareLedger,
    TokenReceipt,
};
use rand::SeedableRng;
use rand::rngs::StdRng;

use network::{Envelope, Message, handle_heartbeat};

/// Interval between heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// The organisation whose tokens are spent.
pub const ORGANISATION: OrganisationId = Text::from_static("ward");
/// Its rate limit.
pub const LIMIT: Rate = Rate {
    rate: 10.0,
    burst: 20.0,
};

/// How the store handles reads and writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableMode {
    Up,
    Down,
    Faulty,
}

/// One run of a node.
pub struct Process {
    member: Member,
    parent_session: ParentSession,
    buckets: ShareBuckets,
    /// The exchange with itself as its own child.
    self_session: ParentSession,
    child_ledger: ShareLedger,
    root: Option<Root>,
    watch: LeaseWatch,
    serving_until: Option<Instant>,
    pub frozen: bool,
    pub dead: bool,
    receipts: Vec<(usize, TokenReceipt)>,
}

struct LateWrite {
    due: Instant,
    expected_version: u64,
    row: LeaseRow,
}

pub struct Fleet {
    clock: PausedClock,
    rng: StdRng,
    pub nodes: Vec<Process>,
    row: Option<(u64, LeaseRow)>,
    pub mode: TableMode,
    writes: Vec<LateWrite>,
    in_transit: Vec<Envelope>,
    /// Partition that each VM is in; messages do not cross partitions. The store is in partition
    /// zero.
    partitions: Vec<u8>,
    /// Percentage of messages that are lost, delayed or duplicated.
    pub faults: u32,
    /// Maximum number of children of one parent.
    fanout: usize,
    spent: Vec<Option<Instant>>,
    pub refused: usize,
}

impl Fleet {
    pub fn open(vms: usize, fanout: usize, seed: u64) -> Self {
        let mut fleet = Self {
            clock: PausedClock::new(),
            rng: StdRng::seed_from_u64(seed),
            nodes: Vec::new(),
            row: None,
            mode: TableMode::Up,
            writes: Vec::new(),
            in_transit: Vec::new(),
            partitions: vec![0; vms],
            faults: 0,
            fanout,
            spent: Vec::new(),
            refused: 0,
        };
        (0..vms).for_each(|vm| fleet.start(vm, 1));
        fleet
    }

    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the latest process on a VM.
    pub fn process(&self, vm: usize) -> usize {
        let name = name(vm);
        let found = self.nodes.iter().rposition(|one| one.member.vm == name);
        found.expect("every VM has a process")
    }

    pub fn is_root(&self, process: usize) -> bool {
        self.nodes[process].root.is_some()
    }

    pub fn may_grant(&self, process: usize) -> bool {
        let root = self.nodes[process].root.as_ref();
        root.is_some_and(|root| root.term().may_grant(self.now()))
    }

    pub fn spent(&self) -> usize {
        self.spent.iter().flatten().count()
    }

    /// Starts a new run on a VM. An earlier run continues if it is not dead.
    pub fn restart(&mut self, vm: usize) {
        let last = &self.nodes[self.process(vm)];
        let incarnation = last.member.incarnation + 1;
        self.start(vm, incarnation);
    }

    pub fn set_partitions(&mut self, mask: u8) {
        for (vm, partition) in self.partitions.iter_mut().enumerate() {
            *partition = mask >> vm & 1;
        }
    }

    /// Ends a root by a graceful shutdown.
    pub fn release(&mut self, process: usize) {
        let now = self.now();
        let node = &mut self.nodes[process];
        let Some(root) = node.root.take() else { return };
        node.dead = true;
        let settled = root.term().predecessors_ended(now);
        if let Some((version, row)) = self.read(process).ok().flatten()
            && settled
            && row.fence == root.fence()
        {
            let released = LeaseRow {
                released: true,
                ..row
            };
            let _lost = self.write(process, Some(version), released);
        }
    }

    /// Spends tokens at a node, with claims for those that its share lacks.
    pub fn spend(&mut self, process: usize, count: u32) {
        if !self.is_running(process) {
            return;
        }
        for _ in 0..count {
            let now = self.now();
            match self.nodes[process]
                .buckets
                .charge(&ORGANISATION, LIMIT, now)
            {
                Ok(receipt) => {
                    self.spent.push(Some(now));
                    let index = self.spent.len() - 1;
                    self.nodes[process].receipts.push((index, receipt));
                }
                Err(_) => self.claim(process),
            }
        }
    }

    /// Refunds the tokens of calls that did not run.
    pub fn refund(&mut self, process: usize, count: usize) {
        if !self.is_running(process) {
            return;
        }
        let now = self.now();
        for _ in 0..count {
            let node = &mut self.nodes[process];
            let Some((index, receipt)) = node.receipts.pop() else {
                return;
            };
            node.buckets.refund(&ORGANISATION, receipt, now);
            self.spent[index] = None;
        }
    }

    /// Advances the clock by one interval and sends a heartbeat from every node.
    pub fn tick(&mut self) {
        self.clock.advance(HEARTBEAT_INTERVAL);
        self.apply_due_writes();
        self.deliver();
        for process in 0..self.nodes.len() {
            if self.is_running(process) {
                self.keep_lease(process);
                self.heartbeat(process);
            }
        }
        self.deliver();
    }

    /// Checks that the calls that ran fit a token bucket of the full rate limit.
    pub fn check(&self) -> Result<(), String> {
        let mut level = LIMIT.burst;
        let mut times: Vec<Instant> = self.spent.iter().flatten().copied().collect();
        times.sort();
        let Some(mut last) = times.first().copied() else {
            return Ok(());
        };
        for time in times {
            let gained = (time - last).as_secs_f64() * LIMIT.rate;
            level = (level + gained).min(LIMIT.burst) - 1.0;
            last = time;
            if level < -1e-6 {
                return Err(format!("{} tokens over the limit", -level));
            }
        }
        Ok(())
    }

    fn start(&mut self, vm: usize, incarnation: Incarnation) {
        let now = self.now();
        self.nodes.push(Process {
            member: Member {
                vm: name(vm),
                incarnation,
                region: "here".into(),
                domain: format!("domain-{}", vm % 3).into(),
                service: None,
                address: ([127, 0, 0, 1], 1_000 + self.nodes.len() as u16).into(),
                slots: 1,
                status: Status::Serving,
            },
            parent_session: ParentSession::default(),
            buckets: ShareBuckets::default(),
            self_session: ParentSession::default(),
            child_ledger: ShareLedger::below_root(name(vm), now),
            root: None,
            watch: LeaseWatch::default(),
            serving_until: None,
            frozen: false,
            dead: false,
            receipts: Vec::new(),
        });
    }

    fn is_running(&self, process: usize) -> bool {
        !self.nodes[process].frozen && !self.nodes[process].dead
    }

    fn partition(&self, process: usize) -> u8 {
        let vm = &self.nodes[process].member.vm;
        let index = (0..self.partitions.len()).find(|index| name(*index) == *vm);
        index.map_or(0, |index| self.partitions[index])
    }

    fn claim(&mut self, process: usize) {
        let now = self.now();
        let node = &mut self.nodes[process];
        if node.root.is_some() && node.buckets.grant_tokens(&ORGANISATION, LIMIT, 1, now) > 0 {
            self.spent.push(Some(now));
            return;
        }
        // Counted as refused until the token arrives.
        self.refused += 1;
        if let (None, Some(parent)) = (&node.root, node.parent_session.parent()) {
            let parent = self.process_at(parent);
            self.send(
                process,
                parent,
                Message::Claim(process, MAX_CLAIM_HOPS, now),
            );
        }
    }

    /// Returns the process at an address.
    fn process_at(&self, address: SocketAddr) -> usize {
        let found = self.nodes.iter();
        let mut found = found.map(|node| node.member.address);
        found
            .position(|one| one == address)
            .expect("every address belongs to a process")
    }

    fn heartbeat(&mut self, process: usize) {
        let now = self.now();
        let node = &mut self.nodes[process];
        let demands = node.buckets.demands(now);
        node.self_session.begin(now);
        let own_heartbeat = node.heartbeat_for(&node.self_session, demands);
        if let Some(reply) = handle_heartbeat(node, &own_heartbeat, now)
            && let Some(sent) = node.self_session.accept(&reply)
            && let Some(grant) = reply.grant
        {
            let expires = sent + reply.lifetime;
            node.buckets
                .set_shares(&grant.shares, |_| Some(LIMIT), expires, now);
        }
        if let (None, Some(parent)) = (&node.root, node.parent_session.parent()) {
            node.parent_session.begin(now);
            let heartbeat =
                node.heartbeat_for(&node.parent_session, node.child_ledger.demands(now));
            let parent = self.process_at(parent);
            self.send(process, parent, Message::Heartbeat(heartbeat));
        }
    }
}

impl Process {
    fn heartbeat_for(&self, parent_session: &ParentSession, demands: Vec<Demand>) -> Heartbeat {
        Heartbeat {
            member: self.member.clone(),
            number: parent_session.number(),
            since: parent_session.first_number(),
            heard: parent_session.last_stamp(),
            fence: self.parent_session.fence(),
            config: 0,
            roster: 0,
            members: Vec::new(),
            demands,
        }
    }
}

fn name(vm: usize) -> Text {
    format!("vm-{vm}").into()
}
