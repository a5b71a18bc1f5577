//! What a node without memory learns of departures from the others, while nodes are killed, cut off and
//! turned away by the store.

use std::time::{Duration, Instant};

use filbertwheel_policy::{
    Departure, DepartureLog, DepartureRecovery, DepartureRow, KnownDepartures, ProcessMemory,
};
use proptest::prelude::*;

const PEERS: usize = 3;
const CASES: u32 = 2_000;
/// Time after its acknowledgement in which a departure matters: the server has exited by then.
const EXIT_TIME: Duration = Duration::from_secs(30);

#[derive(Debug, Clone)]
enum Step {
    /// The backend server of the node leaves, which is told and stored.
    Leave,
    /// The next life of a backend server begins at the node.
    Begin,
    /// The node is killed and starts again.
    Restart,
    /// Another node is killed and starts again.
    RestartPeer(usize),
    /// A link is cut or healed. No process runs unseen: the node itself is not restarted meanwhile.
    Cut(usize, bool),
    /// Which nodes the store serves: the node itself, the others.
    Serve(bool, bool),
    /// The node asks another one.
    Ask(usize),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => Just(Step::Leave),
        2 => Just(Step::Begin),
        3 => Just(Step::Restart),
        2 => (0..PEERS).prop_map(Step::RestartPeer),
        2 => (0..PEERS, any::<bool>()).prop_map(|(peer, cut)| Step::Cut(peer, cut)),
        4 => (any::<bool>(), any::<bool>()).prop_map(|(own, peers)| Step::Serve(own, peers)),
        6 => (0..PEERS).prop_map(Step::Ask),
        3 => (1..20_000_u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..80)
}

#[derive(Debug, Default)]
struct Peer {
    memory: ProcessMemory,
    told: Option<Departure>,
    cut: bool,
    /// The process that it is linked to.
    linked: Option<u64>,
}

struct Model {
    now: Instant,
    row: DepartureRow,
    serves: (bool, bool),
    peers: [Peer; PEERS],
    incarnation: u64,
    log: DepartureLog,
    recovery: DepartureRecovery,
    trusts: bool,
    /// Number of the present life.
    life: u64,
    left: bool,
    acknowledged: Vec<(Departure, Instant)>,
}

impl Model {
    fn open() -> Self {
        let now = Instant::now();
        let mut model = Self {
            now,
            row: DepartureRow::default(),
            serves: (true, true),
            peers: Default::default(),
            incarnation: 1,
            log: DepartureLog::default(),
            recovery: DepartureRecovery::open(now),
            trusts: false,
            life: 1,
            left: false,
            acknowledged: Vec::new(),
        };
        model.settle();
        model
    }

    fn play(&mut self, step: &Step) {
        match step {
            Step::Leave => self.leave(),
            Step::Begin => {
                self.life += 1;
                self.left = false;
            }
            Step::Restart => {
                let linked = self.peers.iter_mut().filter(|peer| !peer.cut);
                linked.for_each(|peer| peer.memory.record_end(self.incarnation, self.now));
                // A node that was cut off hasn't seen the end, and must not see only the next process.
                let cut = self.peers.iter_mut().filter(|peer| peer.cut);
                cut.for_each(|peer| peer.memory = ProcessMemory::default());
                self.incarnation += 1;
                self.log = DepartureLog::default();
                self.recovery = DepartureRecovery::open(self.now);
                self.trusts = false;
            }
            Step::RestartPeer(peer) => {
                let cut = self.peers[*peer].cut;
                self.peers[*peer] = Peer {
                    cut,
                    ..Peer::default()
                };
            }
            Step::Cut(peer, cut) => {
                self.peers[*peer].cut = *cut;
                self.peers[*peer].linked = None;
            }
            Step::Serve(own, peers) => self.serves = (*own, *peers),
            Step::Ask(peer) => self.ask(*peer),
            Step::Wait(millis) => self.now += Duration::from_millis(*millis),
        }
        self.settle();
    }

    /// Reads the row if the store serves the node, and tells the linked nodes of the state.
    fn settle(&mut self) {
        if self.serves.0 && self.log.needs_read() {
            self.log.apply_row(self.row.clone());
            self.trusts = true;
        }
        self.trusts |= self.recovery.is_over(self.now);
        let serving = self.trusts && !self.left;
        for peer in self.peers.iter_mut().filter(|peer| !peer.cut) {
            if peer.linked == Some(self.incarnation) {
                peer.memory.record_report(self.incarnation, serving);
            } else {
                peer.memory.record_link(self.incarnation, serving);
                peer.linked = Some(self.incarnation);
            }
        }
    }

    fn leave(&mut self) {
        self.left = true;
        let departure = Departure {
            instance: format!("i-{}", self.life).into(),
            until_ms: self.life,
        };
        self.log.record(departure.clone());
        for peer in self.peers.iter_mut().filter(|peer| !peer.cut) {
            peer.told = Some(departure.clone());
        }
        let write = self.log.due_write().filter(|_| self.serves.0);
        if let Some(write) = write {
            self.row.revision += 1;
            self.row.departures = write.departures.clone();
            self.log.finish_write(&write, self.row.revision, 0);
            self.acknowledged.push((departure, self.now));
        }
    }

    fn ask(&mut self, peer: usize) {
        let peer = &self.peers[peer];
        if self.trusts || peer.cut {
            return;
        }
        let departures = peer.told.clone().into_iter().collect();
        let known = match peer.memory.since_end(self.incarnation, self.now) {
            _ if self.serves.1 => KnownDepartures::Stored(self.row.clone()),
            Some(ended) => KnownDepartures::Told { departures, ended },
            None => KnownDepartures::Partial(departures),
        };
        self.trusts = self.recovery.is_complete(&known, self.now);
        match known {
            KnownDepartures::Stored(row) => self.log.apply_row(row),
            KnownDepartures::Told { departures, .. } | KnownDepartures::Partial(departures) => {
                departures.into_iter().for_each(|one| self.log.record(one));
            }
        }
    }

    /// Checks that the departure of the latest life is known if reports are relied on. One backend server
    /// runs at a time, so earlier ones have exited.
    fn is_sound(&self) -> bool {
        let Some((departure, at)) = self.acknowledged.last() else {
            return true;
        };
        let is_latest = departure.until_ms == self.life;
        let exited = !is_latest || self.now.saturating_duration_since(*at) >= EXIT_TIME;
        let known = self.log.has_left(&departure.instance, departure.until_ms);
        !self.trusts || exited || known
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]
    // Guards against a node that relies on a late report of a backend server whose departure an earlier
    // process has acknowledged, because another node has run for longer.
    #[test]
    fn reports_are_relied_on_only_if_departures_are_known(steps in steps()) {
        let mut model = Model::open();
        for step in &steps {
            model.play(step);
            prop_assert!(model.is_sound(), "after {step:?}");
        }
    }
}

// Guards against a node that stays without its backend server while the store is away, though another node
// was linked to the process before it until that one ended.
#[test]
fn a_node_that_was_linked_until_the_end_is_relied_on() {
    let started = Instant::now();
    let second = Duration::from_secs(1);
    let mut memory = ProcessMemory::default();
    memory.record_link(1, false);
    memory.record_report(1, true);
    assert_eq!(memory.since_end(2, started), None, "its end wasn't seen");
    memory.record_end(1, started);
    memory.record_link(2, false);
    let ended = memory.since_end(2, started + second);
    assert_eq!(ended, Some(second));
    let told = |ended| KnownDepartures::Told {
        departures: Vec::new(),
        ended,
    };
    let recovery = DepartureRecovery::open(started + second);
    assert!(recovery.is_complete(&told(second), started + second));
    assert!(!recovery.is_complete(&told(second * 9), started + second));
    memory.record_end(2, started + second);
    memory.record_link(3, false);
    let ended = memory.since_end(3, started + second);
    assert_eq!(ended, None, "the process before knew nothing itself");
}

// Guards against a node that vouches for a process whose departure it may have missed while their link was
// down.
#[test]
fn a_new_link_with_a_leaving_process_is_no_proof() {
    let started = Instant::now();
    let mut memory = ProcessMemory::default();
    memory.record_link(1, true);
    memory.record_link(1, false);
    memory.record_end(1, started);
    assert_eq!(memory.since_end(2, started), None);
}
