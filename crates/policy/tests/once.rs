//! A request id runs at most once, although nodes have outdated views of each other, restart,
//! change roots and receive retries.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use filbertwheel_core::{Answer, Failure, Member, RefusalKind, Status, UnknownReason, Verdict};
use filbertwheel_policy::{
    DEDUP_WINDOW, DedupDecision, DedupTable, OwnershipHistory, RequestKey, request_owner,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LEASE: Duration = Duration::from_secs(5);
const SILENCE: Duration = Duration::from_secs(6);
const NODES: usize = 4;
const SEED: u64 = 20_261_204;

#[derive(Debug, Clone)]
enum Step {
    /// Time passes, then every node that is not partitioned exchanges a heartbeat with the root.
    Round(u64),
    Pass(u64),
    /// A heartbeat whose reply arrives later or never.
    Beat(usize),
    Pulse(usize),
    Cut(usize),
    Heal(usize),
    Restart(usize),
    /// Another node becomes the root, with the members that it knows.
    Root(usize),
    /// An attempt of a new or a recent request, which arrives later or never.
    Submit {
        age: usize,
        entry: usize,
    },
    /// An attempt that arrives at once.
    Call {
        age: usize,
        entry: usize,
        outcome: u8,
    },
    Deliver {
        message: usize,
        outcome: u8,
    },
}

#[derive(Debug, Clone)]
struct Pulse {
    to: usize,
    incarnation: u64,
    sent: Instant,
    fence: u64,
    members: BTreeMap<usize, (u64, u8)>,
}

#[derive(Debug, Clone)]
struct Message {
    request: usize,
    to: usize,
    tried: Instant,
}

struct Node {
    incarnation: u64,
    status: u8,
    cut: bool,
    fence: u64,
    members: BTreeMap<usize, (u64, u8)>,
    tenure: OwnershipHistory,
    memory: DedupTable,
}

struct Fleet {
    now: Instant,
    fence: u64,
    members: BTreeMap<usize, (u64, u8)>,
    heard: BTreeMap<usize, Instant>,
    nodes: Vec<Node>,
    pulses: Vec<Pulse>,
    messages: Vec<Message>,
    tried: BTreeMap<usize, Instant>,
    ran: BTreeSet<usize>,
}

const SERVING: u8 = 0;
const GONE: u8 = 1;

impl Fleet {
    fn open() -> Self {
        Self {
            now: Instant::now(),
            fence: 1,
            members: BTreeMap::new(),
            heard: BTreeMap::new(),
            nodes: (0..NODES).map(|index| node(index, 1)).collect(),
            pulses: Vec::new(),
            messages: Vec::new(),
            tried: BTreeMap::new(),
            ran: BTreeSet::new(),
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Pass(millis) => self.now += Duration::from_millis(millis),
            Step::Round(millis) => self.round(millis),
            Step::Beat(index) => self.beat(index),
            Step::Pulse(index) if !self.pulses.is_empty() => {
                let pulse = self.pulses.remove(index % self.pulses.len());
                self.take(pulse);
            }
            Step::Cut(index) => self.nodes[index].cut = true,
            Step::Heal(index) => self.nodes[index].cut = false,
            Step::Restart(index) => {
                self.nodes[index] = node(index, self.nodes[index].incarnation + 1);
            }
            Step::Root(index) => {
                self.fence += 1;
                self.members = self.nodes[index].members.clone();
                self.heard.clear();
            }
            Step::Submit { age, entry } => self.submit(age, entry),
            Step::Call {
                age,
                entry,
                outcome,
            } => {
                let waiting = self.messages.len();
                self.submit(age, entry);
                if self.messages.len() > waiting {
                    let message = self.messages.remove(waiting);
                    self.deliver(&message, outcome);
                }
            }
            Step::Deliver { message, outcome } if !self.messages.is_empty() => {
                let message = self.messages.remove(message % self.messages.len());
                self.deliver(&message, outcome);
            }
            Step::Pulse(_) | Step::Deliver { .. } => {}
        }
    }

    fn round(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        for index in 0..NODES {
            if !self.nodes[index].cut {
                self.beat(index);
                if let Some(pulse) = self.pulses.pop() {
                    self.take(pulse);
                }
            }
        }
        let (now, members) = (self.now, &mut self.members);
        self.heard.retain(|vm, at| {
            let heard = now.saturating_duration_since(*at) <= SILENCE;
            if !heard && let Some(member) = members.get_mut(vm) {
                member.1 = GONE;
            }
            heard
        });
    }

    fn beat(&mut self, index: usize) {
        let node = &self.nodes[index];
        merge(&mut self.members, index, (node.incarnation, node.status));
        self.heard.insert(index, self.now);
        self.pulses.push(Pulse {
            to: index,
            incarnation: node.incarnation,
            sent: self.now,
            fence: self.fence,
            members: self.members.clone(),
        });
    }

    fn take(&mut self, pulse: Pulse) {
        let node = &mut self.nodes[pulse.to];
        if pulse.incarnation != node.incarnation || pulse.fence < node.fence {
            return;
        }
        node.fence = pulse.fence;
        let members = records(&pulse.members);
        node.tenure
            .observe(pulse.fence, &members, pulse.sent + LEASE, self.now);
        for (vm, member) in pulse.members {
            merge(&mut node.members, vm, member);
        }
    }

    fn submit(&mut self, age: usize, entry: usize) {
        let request = if age == 0 {
            self.tried.len()
        } else {
            self.tried.len().saturating_sub(age)
        };
        let first = *self.tried.entry(request).or_insert(self.now);
        // Callers of even requests state the time of their first attempt; the others retry only
        // within the window.
        let stated = request.is_multiple_of(2);
        if !stated && self.now.saturating_duration_since(first) > DEDUP_WINDOW {
            return;
        }
        let tried = if stated {
            // The caller's clock is ahead by the maximum skew.
            first
        } else {
            self.now - DEDUP_WINDOW
        };
        let members = self.nodes[entry].members.iter();
        let serving = members.filter(|(_, member)| member.1 == SERVING);
        let vms: Vec<_> = serving.map(|(vm, _)| name(*vm)).collect();
        if let Some(vm) = request_owner(&vms, &key(request)) {
            let to = (0..NODES)
                .find(|index| name(*index) == *vm)
                .expect("the owner is one of the nodes");
            self.messages.push(Message { request, to, tried });
        }
    }

    fn deliver(&mut self, message: &Message, outcome: u8) {
        let node = &mut self.nodes[message.to];
        let key = key(message.request);
        if node.status != SERVING {
            return;
        }
        let settled = node.tenure.sole_owner_since(&key, self.now);
        if node.memory.admit(&key, message.tried, settled, self.now) != DedupDecision::Run {
            return;
        }
        let verdict = verdict(outcome);
        node.memory.complete(&key, &verdict);
        let refused = matches!(verdict, Err(Failure::Refused(_)));
        assert!(
            refused || self.ran.insert(message.request),
            "runs-at-most-once: {} ran twice",
            message.request
        );
    }
}

fn node(index: usize, incarnation: u64) -> Node {
    Node {
        incarnation,
        status: SERVING,
        cut: false,
        fence: 0,
        members: BTreeMap::new(),
        tenure: OwnershipHistory::open(name(index), LEASE),
        memory: DedupTable::with_room(3),
    }
}

fn merge(members: &mut BTreeMap<usize, (u64, u8)>, vm: usize, member: (u64, u8)) {
    let known = members.entry(vm).or_insert(member);
    *known = (*known).max(member);
}

fn records(members: &BTreeMap<usize, (u64, u8)>) -> Vec<Member> {
    let records = members.iter().map(|(vm, (incarnation, status))| Member {
        vm: name(*vm),
        incarnation: *incarnation,
        region: "gulf".into(),
        domain: "shore".into(),
        service: Some("deposits".into()),
        address: ([127, 0, 0, 1], 1).into(),
        slots: 1,
        status: if *status == SERVING {
            Status::Serving
        } else {
            Status::Gone
        },
    });
    records.collect()
}

fn name(index: usize) -> filbertwheel_core::VmId {
    format!("vm{index}").into()
}

fn key(request: usize) -> RequestKey {
    RequestKey {
        organisation: Some("hotel".into()),
        service: "deposits".into(),
        request: request.to_string().into(),
    }
}

fn verdict(outcome: u8) -> Verdict {
    match outcome {
        0 => Err(RefusalKind::Overloaded.into()),
        1 => Err(UnknownReason::Lost.into()),
        _ => Ok(Answer {
            status: 200,
            headers: Vec::new(),
            body: "booked".into(),
            retries: 0,
        }),
    }
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    prop_oneof![
        16 => (100..3_000_u64).prop_map(Step::Round),
        2 => (0..4_000_u64).prop_map(Step::Pass),
        2 => node.clone().prop_map(Step::Beat),
        2 => (0..8_usize).prop_map(Step::Pulse),
        2 => node.clone().prop_map(Step::Cut),
        3 => node.clone().prop_map(Step::Heal),
        1 => node.clone().prop_map(Step::Restart),
        1 => node.clone().prop_map(Step::Root),
        24 => (0..4_usize, node.clone(), 0..4_u8)
            .prop_map(|(age, entry, outcome)| Step::Call { age, entry, outcome }),
        4 => (0..4_usize, node).prop_map(|(age, entry)| Step::Submit { age, entry }),
        4 => (0..8_usize, 0..4_u8)
            .prop_map(|(message, outcome)| Step::Deliver { message, outcome }),
    ]
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_request_id_runs_at_most_once(steps in prop::collection::vec(step(), 1..600)) {
        let mut fleet = Fleet::open();
        for step in &steps {
            fleet.step(step);
        }

    }
}

/// Creates the history of a node that is the only member.
fn settled(now: Instant) -> OwnershipHistory {
    let mut tenure = OwnershipHistory::open(name(0), LEASE);
    let members = records(&BTreeMap::from([(0, (1, SERVING))]));
    tenure.observe(1, &members, now + LEASE, now);
    tenure
}

#[test]
fn a_first_try_after_the_tenure_has_settled_runs() {
    let start = Instant::now();
    let mut tenure = settled(start);
    let now = (1..=20).fold(start, |_, second| {
        let now = start + Duration::from_secs(second);
        tenure.observe(1, &[], now + LEASE, now);
        now
    });
    let mut memory = DedupTable::open();
    let settled = tenure.sole_owner_since(&key(1), now);
    let young = now - Duration::from_secs(1);
    let old = now - DEDUP_WINDOW;
    assert_eq!(
        memory.admit(&key(1), young, settled, now),
        DedupDecision::Run
    );
    assert_eq!(
        memory.admit(&key(1), young, settled, now),
        DedupDecision::Unknown(UnknownReason::Repeated)
    );
    assert_eq!(
        memory.admit(&key(2), old, settled, now),
        DedupDecision::Unknown(UnknownReason::Forgotten)
    );
    let Ok(answer) = verdict(2) else { panic!() };
    memory.complete(&key(1), &Ok(answer.clone()));
    assert_eq!(
        memory.admit(&key(1), young, settled, now),
        DedupDecision::Replay(answer)
    );
}

#[test]
fn a_node_without_a_serving_lease_owns_nothing() {
    let now = Instant::now();
    let tenure = settled(now);
    assert!(tenure.owns(&key(1)));
    assert_eq!(tenure.sole_owner_since(&key(1), now + LEASE), None);
}

#[test]
fn one_vm_that_joins_moves_only_its_own_requests() {
    let before: Vec<_> = (0..5).map(name).collect();
    let after: Vec<_> = (0..6).map(name).collect();
    let moved = (0..1_000).filter(|request| {
        let (old, new) = (
            request_owner(&before, &key(*request)),
            request_owner(&after, &key(*request)),
        );
        assert!(old == new || new == Some(&name(5)));
        old != new
    });
    let moved = moved.count();
    assert!((100..250).contains(&moved), "{moved} of 1000 moved");
}
