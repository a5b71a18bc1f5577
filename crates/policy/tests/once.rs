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
const MAX_SILENCE: Duration = Duration::from_secs(6);
const NODES: usize = 4;
const SEED: u64 = 20_261_204;

#[derive(Debug, Clone)]
enum Step {
    /// Time passes, then every node that is not partitioned exchanges a heartbeat with the root.
    Round(u64),
    Advance(u64),
    /// A heartbeat whose reply arrives later or never.
    Heartbeat(usize),
    Reply(usize),
    Partition(usize),
    Heal(usize),
    Restart(usize),
    /// Another node becomes the root, with the members that it knows.
    Root(usize),
    /// An attempt of a new or a recent request, which arrives later or never.
    Submit {
        age: usize,
        entry_node: usize,
    },
    /// An attempt that arrives at once.
    Call {
        age: usize,
        entry_node: usize,
        outcome: u8,
    },
    Deliver {
        message: usize,
        outcome: u8,
    },
}

#[derive(Debug, Clone)]
struct Reply {
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
    first_attempt: Instant,
}

struct Node {
    incarnation: u64,
    status: u8,
    partitioned: bool,
    fence: u64,
    members: BTreeMap<usize, (u64, u8)>,
    ownership: OwnershipHistory,
    dedup: DedupTable,
}

struct Fleet {
    now: Instant,
    fence: u64,
    members: BTreeMap<usize, (u64, u8)>,
    last_heartbeats: BTreeMap<usize, Instant>,
    nodes: Vec<Node>,
    replies: Vec<Reply>,
    messages: Vec<Message>,
    first_attempts: BTreeMap<usize, Instant>,
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
            last_heartbeats: BTreeMap::new(),
            nodes: (0..NODES).map(|index| node(index, 1)).collect(),
            replies: Vec::new(),
            messages: Vec::new(),
            first_attempts: BTreeMap::new(),
            ran: BTreeSet::new(),
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Advance(millis) => self.now += Duration::from_millis(millis),
            Step::Round(millis) => self.round(millis),
            Step::Heartbeat(index) => self.heartbeat(index),
            Step::Reply(index) if !self.replies.is_empty() => {
                let reply = self.replies.remove(index % self.replies.len());
                self.handle_reply(reply);
            }
            Step::Partition(index) => self.nodes[index].partitioned = true,
            Step::Heal(index) => self.nodes[index].partitioned = false,
            Step::Restart(index) => {
                self.nodes[index] = node(index, self.nodes[index].incarnation + 1);
            }
            Step::Root(index) => {
                self.fence += 1;
                self.members = self.nodes[index].members.clone();
                self.last_heartbeats.clear();
            }
            Step::Submit { age, entry_node } => self.submit(age, entry_node),
            Step::Call {
                age,
                entry_node,
                outcome,
            } => {
                let waiting = self.messages.len();
                self.submit(age, entry_node);
                if self.messages.len() > waiting {
                    let message = self.messages.remove(waiting);
                    self.deliver(&message, outcome);
                }
            }
            Step::Deliver { message, outcome } if !self.messages.is_empty() => {
                let message = self.messages.remove(message % self.messages.len());
                self.deliver(&message, outcome);
            }
            Step::Reply(_) | Step::Deliver { .. } => {}
        }
    }

    fn round(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        for index in 0..NODES {
            if !self.nodes[index].partitioned {
                self.heartbeat(index);
                if let Some(reply) = self.replies.pop() {
                    self.handle_reply(reply);
                }
            }
        }
        let (now, members) = (self.now, &mut self.members);
        self.last_heartbeats.retain(|vm, at| {
            let alive = now.saturating_duration_since(*at) <= MAX_SILENCE;
            if !alive && let Some(member) = members.get_mut(vm) {
                member.1 = GONE;
            }
            alive
        });
    }

    fn heartbeat(&mut self, index: usize) {
        let node = &self.nodes[index];
        merge(&mut self.members, index, (node.incarnation, node.status));
        self.last_heartbeats.insert(index, self.now);
        self.replies.push(Reply {
            to: index,
            incarnation: node.incarnation,
            sent: self.now,
            fence: self.fence,
            members: self.members.clone(),
        });
    }

    fn handle_reply(&mut self, reply: Reply) {
        let node = &mut self.nodes[reply.to];
        if reply.incarnation != node.incarnation || reply.fence < node.fence {
            return;
        }
        node.fence = reply.fence;
        let members = records(&reply.members);
        node.ownership
            .observe(reply.fence, &members, reply.sent + LEASE, self.now);
        for (vm, member) in reply.members {
            merge(&mut node.members, vm, member);
        }
    }

    fn submit(&mut self, age: usize, entry_node: usize) {
        let request = if age == 0 {
            self.first_attempts.len()
        } else {
            self.first_attempts.len().saturating_sub(age)
        };
        let first = *self.first_attempts.entry(request).or_insert(self.now);
        // Callers of even requests state the time of their first attempt; the others retry only
        // within the window.
        let stated = request.is_multiple_of(2);
        if !stated && self.now.saturating_duration_since(first) > DEDUP_WINDOW {
            return;
        }
        let first_attempt = if stated {
            // The caller's clock is ahead by the maximum skew.
            first
        } else {
            self.now - DEDUP_WINDOW
        };
        let members = self.nodes[entry_node].members.iter();
        let serving = members.filter(|(_, member)| member.1 == SERVING);
        let vms: Vec<_> = serving.map(|(vm, _)| name(*vm)).collect();
        if let Some(vm) = request_owner(&vms, &key(request)) {
            let to = (0..NODES)
                .find(|index| name(*index) == *vm)
                .expect("the owner is one of the nodes");
            self.messages.push(Message {
                request,
                to,
                first_attempt,
            });
        }
    }

    fn deliver(&mut self, message: &Message, outcome: u8) {
        let node = &mut self.nodes[message.to];
        let key = key(message.request);
        if node.status != SERVING {
            return;
        }
        let sole_owner_since = node.ownership.sole_owner_since(&key, self.now);
        if node
            .dedup
            .admit(&key, message.first_attempt, sole_owner_since, self.now)
            != DedupDecision::Run
        {
            return;
        }
        let verdict = verdict(outcome);
        node.dedup.complete(&key, &verdict);
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
        partitioned: false,
        fence: 0,
        members: BTreeMap::new(),
        ownership: OwnershipHistory::open(name(index), LEASE),
        dedup: DedupTable::with_capacity(3),
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
        2 => (0..4_000_u64).prop_map(Step::Advance),
        2 => node.clone().prop_map(Step::Heartbeat),
        2 => (0..8_usize).prop_map(Step::Reply),
        2 => node.clone().prop_map(Step::Partition),
        3 => node.clone().prop_map(Step::Heal),
        1 => node.clone().prop_map(Step::Restart),
        1 => node.clone().prop_map(Step::Root),
        24 => (0..4_usize, node.clone(), 0..4_u8)
            .prop_map(|(age, entry_node, outcome)| Step::Call { age, entry_node, outcome }),
        4 => (0..4_usize, node).prop_map(|(age, entry_node)| Step::Submit { age, entry_node }),
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
fn sole_member_history(now: Instant) -> OwnershipHistory {
    let mut ownership = OwnershipHistory::open(name(0), LEASE);
    let members = records(&BTreeMap::from([(0, (1, SERVING))]));
    ownership.observe(1, &members, now + LEASE, now);
    ownership
}

#[test]
fn a_first_attempt_after_sole_ownership_runs() {
    let start = Instant::now();
    let mut ownership = sole_member_history(start);
    let now = (1..=20).fold(start, |_, second| {
        let now = start + Duration::from_secs(second);
        ownership.observe(1, &[], now + LEASE, now);
        now
    });
    let mut dedup = DedupTable::open();
    let sole_owner_since = ownership.sole_owner_since(&key(1), now);
    let recent = now - Duration::from_secs(1);
    let old = now - DEDUP_WINDOW;
    assert_eq!(
        dedup.admit(&key(1), recent, sole_owner_since, now),
        DedupDecision::Run
    );
    assert_eq!(
        dedup.admit(&key(1), recent, sole_owner_since, now),
        DedupDecision::Unknown(UnknownReason::Repeated)
    );
    assert_eq!(
        dedup.admit(&key(2), old, sole_owner_since, now),
        DedupDecision::Unknown(UnknownReason::Forgotten)
    );
    let Ok(answer) = verdict(2) else { panic!() };
    dedup.complete(&key(1), &Ok(answer.clone()));
    assert_eq!(
        dedup.admit(&key(1), recent, sole_owner_since, now),
        DedupDecision::Replay(answer)
    );
}

#[test]
fn a_node_without_a_serving_lease_owns_nothing() {
    let now = Instant::now();
    let ownership = sole_member_history(now);
    assert!(ownership.owns(&key(1)));
    assert_eq!(ownership.sole_owner_since(&key(1), now + LEASE), None);
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
