//! Simulated fleet of nodes that aggregate sums.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use filbertwheel_core::{DomainId, Rank, VmId};
use filbertwheel_policy::{
    Aggregation, ColdCapacity, FleetSums, Outgoing, RouteDemand, RouteProfile, ServiceCapacity,
    SumMessage, WatchDuty,
};

/// Interval at which a node's state machine runs.
const TICK: Duration = Duration::from_millis(100);
/// Time until a node notices that another one can't be reached.
const DETECTION: Duration = Duration::from_millis(1_200);
/// Shortest and longest delay of a message in microseconds.
const DELAY_US: (u64, u64) = (200, 4_000);

/// Generator of pseudo-random numbers.
pub struct Random(u64);

impl Random {
    pub fn open(seed: u64) -> Self {
        Self(seed.wrapping_mul(2).wrapping_add(1))
    }

    /// Returns a number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 33) % bound.max(1)
    }

    pub fn chance(&mut self, part: f64) -> bool {
        (self.below(1_000_000) as f64) < part * 1_000_000.0
    }
}

/// How the store answers one node.
#[derive(Clone, Copy, PartialEq)]
pub enum Access {
    Answers,
    /// It refuses each call.
    Refuses,
    /// Its answers are lost, which the node notices at the end of its watch.
    Silent,
}

/// What happens at a time of the simulation.
enum Event {
    Tick(usize, u64),
    Deliver(usize, Box<SumMessage>),
    /// A node hears of rules of a version.
    Announce(usize, u64),
}

struct Node {
    vm: VmId,
    domain: DomainId,
    aggregation: Aggregation,
    incarnation: u64,
    alive: bool,
    /// Side of a partition that the node is on.
    side: u8,
    /// When the node last ended or changed its side.
    changed: Duration,
    rate: f32,
    duty: WatchDuty,
    watching: bool,
    access: Access,
    /// Version of the rules in force.
    version: u64,
}

/// Messages and bytes that one node has handled.
#[derive(Clone, Copy, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

pub struct Fleet {
    start: Instant,
    pub time: Duration,
    nodes: Vec<Node>,
    index: BTreeMap<VmId, usize>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<(u64, u64), Event>,
    number: u64,
    pub random: Random,
    pub loss: f64,
    /// Version of the rules in the store.
    pub stored: u64,
    /// Messages and bytes sent and received, by node.
    pub traffic: Vec<Traffic>,
    /// Whether to count the bytes, which takes long.
    pub count_bytes: bool,
}

impl Fleet {
    pub fn open(nodes: usize, domains: usize, seed: u64) -> Self {
        let mut random = Random::open(seed);
        let mut fleet = Self {
            start: Instant::now(),
            time: Duration::ZERO,
            nodes: Vec::new(),
            index: BTreeMap::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            number: 0,
            random: Random::open(seed + 1),
            loss: 0.0,
            stored: 1,
            traffic: vec![Traffic::default(); nodes],
            count_bytes: false,
        };
        for index in 0..nodes {
            let vm = VmId::from(format!("node-{index:04}"));
            let domain = DomainId::from(format!("domain-{}", index % domains));
            fleet.index.insert(vm.clone(), index);
            fleet.nodes.push(Node {
                aggregation: Aggregation::open(vm.clone(), domain.clone(), 1),
                duty: WatchDuty::open(vm.clone(), domain.clone()),
                watching: false,
                access: Access::Answers,
                version: 0,
                vm,
                domain,
                incarnation: 1,
                alive: true,
                side: 0,
                changed: Duration::ZERO,
                rate: 1.0,
            });
            let phase = Duration::from_micros(random.below(TICK.as_micros() as u64));
            fleet.schedule(phase, Event::Tick(index, 1));
        }
        for index in 0..nodes {
            fleet.refresh_view(index);
        }
        fleet
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.number += 1;
        let key = (at.as_micros() as u64, self.number);
        self.queue.push(Reverse(key));
        self.events.insert(key, event);
    }

    fn now(&self) -> Instant {
        self.start + self.time
    }

    /// Returns whether a node has noticed by now whether it is connected to another one.
    fn sees(&self, index: usize, other: usize) -> bool {
        let (node, other) = (&self.nodes[index], &self.nodes[other]);
        let connected = other.alive && node.side == other.side;
        let changed = node.changed.max(other.changed);
        let noticed = self.time >= changed + DETECTION || changed == Duration::ZERO;
        // A connection that is back is noticed at once, one that is lost only after a while.
        connected || !noticed
    }

    fn refresh_view(&mut self, index: usize) {
        let others = (0..self.nodes.len()).filter(|other| *other != index);
        let seen: Vec<(VmId, DomainId)> = others
            .filter(|other| self.sees(index, *other))
            .map(|other| {
                (
                    self.nodes[other].vm.clone(),
                    self.nodes[other].domain.clone(),
                )
            })
            .collect();
        self.nodes[index].aggregation.set_members(seen);
    }

    /// Runs the simulation for a while. `stable` says that no node's connections change.
    pub fn run(&mut self, time: Duration, stable: bool) {
        let until = self.time + time;
        while let Some(Reverse(key)) = self.queue.peek().copied() {
            let at = Duration::from_micros(key.0);
            if at > until {
                break;
            }
            self.queue.pop();
            self.time = at;
            match self.events.remove(&key) {
                Some(Event::Tick(index, incarnation)) => self.tick(index, incarnation, stable),
                Some(Event::Deliver(index, message)) => self.deliver(index, *message),
                Some(Event::Announce(index, version)) => {
                    let known = &mut self.nodes[index].version;
                    *known = version.max(*known);
                }
                None => {}
            }
        }
        self.time = until;
    }

    fn tick(&mut self, index: usize, incarnation: u64, stable: bool) {
        if !self.nodes[index].alive || self.nodes[index].incarnation != incarnation {
            return;
        }
        if !stable {
            self.refresh_view(index);
        }
        self.watch(index);
        let now = self.now();
        let node = &mut self.nodes[index];
        let (mut sums, profiles) = sample(node.rate);
        sums.rules.version = node.version;
        sums.watchers = Vec::from_iter(node.watching.then(|| node.vm.clone()));
        node.aggregation.set_sample(sums, profiles);
        let outgoing = node.aggregation.tick(now);
        self.send(index, outgoing);
        self.schedule(self.time + TICK, Event::Tick(index, incarnation));
    }

    /// Lets a node watch the store if it is to, and pull rules that others have.
    fn watch(&mut self, index: usize) {
        let now = self.now();
        let domain = self.nodes[index].domain.clone();
        let others = (0..self.nodes.len()).filter(|other| *other != index);
        let near: Vec<usize> = others
            .filter(|other| self.nodes[*other].domain == domain && self.sees(index, *other))
            .collect();
        let connected: Vec<VmId> = near.iter().map(|one| self.nodes[*one].vm.clone()).collect();
        let node = &mut self.nodes[index];
        let fleet = node.aggregation.fleet(now).map(|(sums, _)| sums);
        let reported = fleet.map_or(Vec::new(), |sums| sums.watchers.clone());
        let newest = fleet.map_or(0, |sums| sums.rules.version);
        node.version = node.version.max(newest);
        let due = node.duty.is_due(&connected, &reported, now);
        // A watch without an answer lasts longer than the simulation.
        node.watching = due && node.access != Access::Refuses;
        if !due || node.access != Access::Answers || node.version >= self.stored {
            return;
        }
        node.version = self.stored;
        for other in near {
            if self.nodes[other].side == self.nodes[index].side {
                let at = self.time + Duration::from_millis(2);
                self.schedule(at, Event::Announce(other, self.stored));
            }
        }
    }

    fn deliver(&mut self, index: usize, message: SumMessage) {
        if !self.nodes[index].alive {
            return;
        }
        let now = self.now();
        let outgoing = self.nodes[index].aggregation.receive(message, now);
        self.send(index, outgoing);
    }

    fn send(&mut self, from: usize, outgoing: Vec<Outgoing>) {
        for one in outgoing {
            let to = self.index[&one.to];
            if self.count_bytes {
                let bytes = postcard::to_stdvec(&one.message).map_or(0, |bytes| bytes.len());
                for index in [from, to] {
                    self.traffic[index].messages += 1;
                    self.traffic[index].bytes += bytes as u64;
                }
            }
            if self.nodes[from].side != self.nodes[to].side || self.random.chance(self.loss) {
                continue;
            }
            let delay = DELAY_US.0 + self.random.below(DELAY_US.1 - DELAY_US.0);
            let at = self.time + Duration::from_micros(delay);
            self.schedule(at, Event::Deliver(to, Box::new(one.message)));
        }
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    pub fn kill(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.alive {
            node.alive = false;
            node.changed = self.time;
        }
    }

    pub fn restart(&mut self, index: usize) {
        let time = self.time;
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        node.alive = true;
        node.changed = time;
        node.aggregation =
            Aggregation::open(node.vm.clone(), node.domain.clone(), node.incarnation);
        node.duty = WatchDuty::open(node.vm.clone(), node.domain.clone());
        node.watching = false;
        node.version = 0;
        let incarnation = node.incarnation;
        self.refresh_view(index);
        self.schedule(time, Event::Tick(index, incarnation));
    }

    pub fn set_side(&mut self, index: usize, side: u8) {
        let time = self.time;
        let node = &mut self.nodes[index];
        if node.side != side {
            node.side = side;
            node.changed = time;
        }
    }

    pub fn set_access(&mut self, index: usize, access: Access) {
        self.nodes[index].access = access;
    }

    pub fn is_watching(&self, index: usize) -> bool {
        self.nodes[index].alive && self.nodes[index].watching
    }

    pub fn version(&self, index: usize) -> u64 {
        self.nodes[index].version
    }

    pub fn side(&self, index: usize) -> u8 {
        self.nodes[index].side
    }

    pub fn set_rate(&mut self, index: usize, rate: f32) {
        self.nodes[index].rate = rate;
    }

    pub fn is_alive(&self, index: usize) -> bool {
        self.nodes[index].alive
    }

    pub fn domain(&self, index: usize) -> &DomainId {
        &self.nodes[index].domain
    }

    /// Returns the node that a node receives its sums from.
    pub fn aggregator(&self, index: usize) -> Option<usize> {
        let vm = self.nodes[index].aggregation.aggregator()?;
        self.index.get(vm).copied()
    }

    /// Returns the sums at a node, with their age.
    pub fn sums(&self, index: usize) -> Option<(&FleetSums, Duration)> {
        self.nodes[index].aggregation.fleet(self.now())
    }

    /// Returns the demand over the fleet as a node knows it.
    pub fn demand(&self, index: usize) -> f32 {
        let demand = self.sums(index).map(|(sums, _)| &sums.demand);
        demand.into_iter().flatten().map(|one| one.rate).sum()
    }

    /// Returns how many nodes were alive at some time in the last two seconds.
    pub fn recently_alive(&self) -> usize {
        let recent = |node: &&Node| {
            node.alive || self.time.saturating_sub(node.changed) <= Duration::from_secs(2)
        };
        self.nodes.iter().filter(recent).count()
    }

    pub fn alive(&self) -> usize {
        self.nodes.iter().filter(|node| node.alive).count()
    }
}

/// Returns what a node measures: a demand of `rate`, one service, and one route that makes calls.
fn sample(rate: f32) -> (FleetSums, Vec<RouteProfile>) {
    let rank = Rank {
        organisation: 1,
        route: 1,
    };
    let sums = FleetSums {
        nodes: 1,
        demand: vec![RouteDemand {
            route: "timetables-read".into(),
            rank,
            rate,
        }],
        capacities: vec![ServiceCapacity {
            service: "timetables".into(),
            slots: 8.0,
            in_flight: 4.0,
            servers: 1,
            cold: ColdCapacity::default(),
        }],
        ..FleetSums::default()
    };
    let profile = RouteProfile {
        route: "timetables-read".into(),
        runs: 10.0,
        elapsed: 0.1,
        calls: vec![("stations-read".into(), 2.0)],
    };
    (sums, vec![profile])
}
