//! The run itself: events in the order of their time.

mod chain;
mod ending;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use filbertwheel_core::{CutOff, Rate};
use filbertwheel_policy::{GateTicket, RETRIES_PER_CALL, TokenBucket, TokenReceipt};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::model::arrivals::{self, Arrival, steady_rate};
use crate::model::fleet::Fleet;
use crate::model::profile::{ORGANISATIONS, Profile, RouteSpec};
use crate::model::rule::Rule;
use crate::model::situation::{BEGIN, END, LENGTH, Situation, active};
use crate::model::tally::{Miss, Tally};

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(2);
/// Attempts of a caller, the first included.
const TRIES: u32 = 3;
/// Attempts of a caller that retries hard.
const HARD_TRIES: u32 = 8;
/// Pause of a caller before its first retry.
const PAUSE: Duration = Duration::from_millis(200);
/// Pause of a caller that retries hard.
const HARD_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause before a hop's retry.
const HOP_PAUSE: Duration = Duration::from_millis(20);
/// Retries of each hop under per-hop shedding.
const HOP_RETRIES: u32 = 2;
/// How often gates look for calls that waited too long.
const TICK: Duration = Duration::from_millis(50);
/// Rate of an organisation over what it sends at steady demand.
pub const RATE_MARGIN: f64 = 1.25;
/// Seconds of its rate that an organisation may send at once.
const BURST: f64 = 1.0;
/// Domain that's lost, replaced or misleading.
const DOMAIN: usize = 0;

/// What's run.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// The deployment.
    pub profile: Profile,
    /// The policy.
    pub rule: Rule,
    /// What happens.
    pub situation: Situation,
    /// Seed of every random choice.
    pub seed: u64,
}

/// A request of a caller.
#[derive(Debug)]
struct Root {
    arrival: Arrival,
    rank: u32,
    entry: usize,
    tries: u32,
}

/// One attempt of a caller.
#[derive(Debug)]
struct Attempt {
    root: usize,
    frames: Vec<Frame>,
    hops: Vec<Hop>,
    deadline: Duration,
    retries: u32,
    spent: u32,
    worked: f64,
    cut: Option<CutOff>,
    /// The caller has gone, but the work goes on.
    orphan: bool,
    /// Proof of the token that it was charged.
    receipt: Option<TokenReceipt>,
}

/// A call at a backend server.
#[derive(Debug)]
struct Frame {
    serial: u64,
    site: usize,
    ticket: GateTicket,
    running: bool,
    began: Duration,
    own: Duration,
    worked: bool,
}

/// Tries of one hop.
#[derive(Debug, Default, Clone)]
struct Hop {
    tries: u32,
    tried: Vec<usize>,
}

/// What happens at some time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Begin(usize),
    Send(u64),
    Worked(u64, u64),
    Refused(u64),
    Timeout(u64),
    Tick,
    CauseBegins,
    CauseEnds,
}

#[derive(Debug)]
struct World {
    setup: Setup,
    origin: Instant,
    at: Duration,
    rng: StdRng,
    arrivals: StdRng,
    next: Arrival,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    serial: u64,
    fleet: Fleet,
    roots: Vec<Root>,
    attempts: BTreeMap<u64, Attempt>,
    buckets: Vec<TokenBucket>,
    tally: Tally,
}

/// Runs a trace against a policy.
pub fn run(setup: Setup) -> Tally {
    let mut world = World::open(setup);
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        if at >= LENGTH {
            break;
        }
        world.at = at;
        world.handle(event);
    }
    world.tally
}

impl World {
    fn open(setup: Setup) -> Self {
        let origin = Instant::now();
        let mut arrivals = StdRng::seed_from_u64(setup.seed);
        let next = arrivals::next(
            setup.profile,
            setup.situation,
            Duration::ZERO,
            &mut arrivals,
        );
        let mut world = Self {
            setup,
            origin,
            at: Duration::ZERO,
            rng: StdRng::seed_from_u64(setup.seed ^ u64::MAX),
            next,
            arrivals,
            events: BinaryHeap::new(),
            serial: 0,
            fleet: Fleet::open(setup.profile, setup.rule),
            roots: Vec::new(),
            attempts: BTreeMap::new(),
            buckets: Vec::new(),
            tally: Tally::default(),
        };
        for _ in ORGANISATIONS {
            world.buckets.push(TokenBucket::empty(origin));
        }
        world.push(next.at, Event::Arrive);
        world.push(TICK, Event::Tick);
        world.push(BEGIN, Event::CauseBegins);
        world.push(END, Event::CauseEnds);
        world
    }

    fn now(&self) -> Instant {
        self.origin + self.at
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((at, self.serial, event)));
    }

    fn limit(&self, organisation: usize) -> Rate {
        let steady = steady_rate(self.setup.profile) * ORGANISATIONS[organisation];
        let rate = steady * RATE_MARGIN * self.setup.situation.allowance();
        Rate {
            rate,
            burst: rate * BURST,
        }
    }

    fn route(&self, root: usize) -> &'static RouteSpec {
        &self.setup.profile.routes()[self.roots[root].arrival.route]
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Begin(root) => self.begin(root),
            Event::Send(id) => self.send(id),
            Event::Worked(id, serial) => self.worked(id, serial),
            Event::Refused(id) => self.hop_failed(id, Miss::Overloaded, true),
            Event::Timeout(id) => self.timeout(id),
            Event::Tick => self.tick(),
            Event::CauseBegins => self.cause_begins(),
            Event::CauseEnds => self.cause_ends(),
        }
    }

    fn arrive(&mut self) {
        let arrival = self.next;
        let root = self.roots.len();
        self.roots.push(Root {
            arrival,
            rank: self.rng.random(),
            entry: self.rng.random_range(0..self.fleet.nodes.len()),
            tries: 0,
        });
        let bin = self.tally.bin(arrival.at);
        bin.asked += 1;
        bin.organisations[arrival.organisation].0 += 1;
        if active(arrival.at) {
            let class = self.route(root).criticality;
            self.tally.classes.entry(class).or_default().0 += 1;
        }
        self.begin(root);
        let Setup {
            profile, situation, ..
        } = self.setup;
        self.next = arrivals::next(profile, situation, self.at, &mut self.arrivals);
        self.push(self.next.at, Event::Arrive);
    }

    fn begin(&mut self, root: usize) {
        self.roots[root].tries += 1;
        let at = self.at;
        self.tally.bin(at).attempts += 1;
        let organisation = self.roots[root].arrival.organisation;
        let limit = self.limit(organisation);
        let now = self.now();
        let full = self.setup.rule == Rule::Full;
        let receipt = match full.then(|| self.buckets[organisation].take(limit, now)) {
            None => None,
            Some(Ok(receipt)) => Some(receipt),
            Some(Err(_)) => return self.caller_failed(root, Miss::OverRate),
        };
        self.serial += 1;
        let id = self.serial;
        let attempt = Attempt {
            root,
            frames: Vec::new(),
            hops: vec![Hop::default(); self.route(root).chain.len()],
            deadline: at + PATIENCE,
            retries: RETRIES_PER_CALL,
            spent: 0,
            worked: 0.0,
            cut: None,
            orphan: false,
            receipt,
        };
        self.attempts.insert(id, attempt);
        self.push(at + PATIENCE, Event::Timeout(id));
        self.send(id);
    }

    fn caller_failed(&mut self, root: usize, miss: Miss) {
        let at = self.at;
        *self.tally.bin(at).misses.entry(miss).or_default() += 1;
        let hard = self.setup.situation.hard_retries();
        let (tries, pause) = if hard {
            (HARD_TRIES, HARD_PAUSE)
        } else {
            (TRIES, PAUSE)
        };
        let made = self.roots[root].tries;
        let unsafe_repeat = !self.route(root).idempotent && miss == Miss::Lost;
        if made >= tries || unsafe_repeat {
            return;
        }
        let growth = if hard { 1 } else { 1 << (made - 1) };
        let pause = pause * growth;
        let due = at + pause.mul_f64(0.5 + self.rng.random::<f64>());
        self.push(due, Event::Begin(root));
    }

    fn tick(&mut self) {
        for site in 0..self.fleet.sites.len() {
            let now = self.now();
            let releases = self.fleet.sites[site].expire(now);
            self.release(site, releases);
        }
        self.push(self.at + TICK, Event::Tick);
    }

    fn cause_begins(&mut self) {
        match self.setup.situation {
            Situation::Cold => {
                let now = self.now();
                self.fleet.renew(DOMAIN, now);
            }
            Situation::Lost => self.lose(),
            _ => {}
        }
    }

    fn cause_ends(&mut self) {
        let rule = self.setup.rule;
        for site in &mut self.fleet.sites {
            if site.lost.take().is_some() {
                site.restart(rule);
            }
        }
    }
}
