//! The event loop of the simulation.

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
use crate::model::policy::Policy;
use crate::model::profile::{ORGANISATION_PARTS, Profile, RouteSpec};
use crate::model::situation::{
    DISTURBANCE_END, DISTURBANCE_START, RUN_LENGTH, Situation, is_disturbed,
};
use crate::model::tally::{FailureKind, Tally};

/// Timeout of a caller's attempt.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of attempts per request, including the first.
const MAX_ATTEMPTS: u32 = 3;
/// Maximum number of attempts per request of an aggressive caller.
const AGGRESSIVE_MAX_ATTEMPTS: u32 = 8;
/// Mean backoff of a caller before its first retry. It doubles with each retry.
const RETRY_BACKOFF: Duration = Duration::from_millis(200);
/// Mean backoff of an aggressive caller. It does not grow.
const AGGRESSIVE_RETRY_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff before a retry by a node.
const MAX_HOP_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum number of retries per hop, unless the policy has a retry budget per chain.
const MAX_HOP_RETRIES: u32 = 2;
/// Interval at which gates refuse calls that have been queued for too long.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);
/// Rate limit of an organisation, relative to its steady demand.
pub const RATE_MARGIN: f64 = 1.25;
/// Burst of an organisation, in seconds of its rate limit.
const BURST_SECONDS: f64 = 1.0;
/// Failure domain that fails, restarts cold or misleads.
const AFFECTED_DOMAIN: usize = 0;

/// Parameters of a simulation.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// The deployment.
    pub profile: Profile,
    /// The overload policy.
    pub policy: Policy,
    /// The kind of disturbance.
    pub situation: Situation,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// A request by a caller.
#[derive(Debug)]
struct SimRequest {
    arrival: Arrival,
    rank: u32,
    entry: usize,
    attempts: u32,
}

/// An attempt by a caller.
#[derive(Debug)]
struct Attempt {
    request: usize,
    calls: Vec<ActiveCall>,
    hops: Vec<Hop>,
    deadline: Duration,
    retries_left: u32,
    retries_made: u32,
    work_seconds: f64,
    cut_off: Option<CutOff>,
    /// The caller has timed out, but the work continues.
    abandoned: bool,
    /// Receipt for the token spent on it, if the policy limits rates.
    receipt: Option<TokenReceipt>,
}

/// A queued or running call at a backend server.
#[derive(Debug)]
struct ActiveCall {
    serial: u64,
    server: usize,
    ticket: GateTicket,
    running: bool,
    started: Duration,
    self_time: Duration,
    is_work_done: bool,
}

/// Retries of one hop, and the backend servers tried.
#[derive(Debug, Default, Clone)]
struct Hop {
    retries: u32,
    tried: Vec<usize>,
}

/// A scheduled event.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    StartAttempt(usize),
    SendCall(u64),
    WorkDone(u64, u64),
    Refused(u64),
    Timeout(u64),
    ExpireWaiting,
    DisturbanceStarts,
    DisturbanceEnds,
}

#[derive(Debug)]
struct Simulation {
    setup: Setup,
    origin: Instant,
    at: Duration,
    rng: StdRng,
    arrivals: StdRng,
    next: Arrival,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    serial: u64,
    fleet: Fleet,
    requests: Vec<SimRequest>,
    attempts: BTreeMap<u64, Attempt>,
    buckets: Vec<TokenBucket>,
    tally: Tally,
}

/// Simulates one run and returns its counts.
pub fn run(setup: Setup) -> Tally {
    let mut simulation = Simulation::open(setup);
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        if at >= RUN_LENGTH {
            break;
        }
        simulation.at = at;
        simulation.handle(event);
    }
    simulation.tally
}

impl Simulation {
    fn open(setup: Setup) -> Self {
        let origin = Instant::now();
        let mut arrivals = StdRng::seed_from_u64(setup.seed);
        let next = arrivals::next_arrival(
            setup.profile,
            setup.situation,
            Duration::ZERO,
            &mut arrivals,
        );
        let mut simulation = Self {
            setup,
            origin,
            at: Duration::ZERO,
            rng: StdRng::seed_from_u64(setup.seed ^ u64::MAX),
            next,
            arrivals,
            events: BinaryHeap::new(),
            serial: 0,
            fleet: Fleet::open(setup.profile, setup.policy),
            requests: Vec::new(),
            attempts: BTreeMap::new(),
            buckets: Vec::new(),
            tally: Tally::default(),
        };
        for _ in ORGANISATION_PARTS {
            simulation.buckets.push(TokenBucket::empty(origin));
        }
        simulation.push(next.at, Event::Arrive);
        simulation.push(EXPIRY_INTERVAL, Event::ExpireWaiting);
        simulation.push(DISTURBANCE_START, Event::DisturbanceStarts);
        simulation.push(DISTURBANCE_END, Event::DisturbanceEnds);
        simulation
    }

    fn now(&self) -> Instant {
        self.origin + self.at
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((at, self.serial, event)));
    }

    fn limit(&self, organisation: usize) -> Rate {
        let steady = steady_rate(self.setup.profile) * ORGANISATION_PARTS[organisation];
        let rate = steady * RATE_MARGIN * self.setup.situation.limit_factor();
        Rate {
            rate,
            burst: rate * BURST_SECONDS,
        }
    }

    fn route(&self, request: usize) -> &'static RouteSpec {
        &self.setup.profile.routes()[self.requests[request].arrival.route]
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.handle_arrival(),
            Event::StartAttempt(request) => self.start_attempt(request),
            Event::SendCall(id) => self.send_call(id),
            Event::WorkDone(id, serial) => self.finish_work(id, serial),
            Event::Refused(id) => self.handle_hop_failure(id, FailureKind::Overloaded, true),
            Event::Timeout(id) => self.handle_timeout(id),
            Event::ExpireWaiting => self.expire_waiting(),
            Event::DisturbanceStarts => self.start_disturbance(),
            Event::DisturbanceEnds => self.end_disturbance(),
        }
    }

    fn handle_arrival(&mut self) {
        let arrival = self.next;
        let request = self.requests.len();
        self.requests.push(SimRequest {
            arrival,
            rank: self.rng.random(),
            entry: self.rng.random_range(0..self.fleet.nodes.len()),
            attempts: 0,
        });
        let bin = self.tally.bin(arrival.at);
        bin.offered += 1;
        bin.organisations[arrival.organisation].0 += 1;
        if is_disturbed(arrival.at) {
            let class = self.route(request).criticality;
            self.tally.classes.entry(class).or_default().0 += 1;
        }
        self.start_attempt(request);
        let Setup {
            profile, situation, ..
        } = self.setup;
        self.next = arrivals::next_arrival(profile, situation, self.at, &mut self.arrivals);
        self.push(self.next.at, Event::Arrive);
    }

    fn start_attempt(&mut self, request: usize) {
        self.requests[request].attempts += 1;
        let at = self.at;
        self.tally.bin(at).attempts += 1;
        let organisation = self.requests[request].arrival.organisation;
        let limit = self.limit(organisation);
        let now = self.now();
        let full = self.setup.policy == Policy::Full;
        let receipt = match full.then(|| self.buckets[organisation].take(limit, now)) {
            None => None,
            Some(Ok(receipt)) => Some(receipt),
            Some(Err(_)) => return self.handle_caller_failure(request, FailureKind::OverRate),
        };
        self.serial += 1;
        let id = self.serial;
        let attempt = Attempt {
            request,
            calls: Vec::new(),
            hops: vec![Hop::default(); self.route(request).chain.len()],
            deadline: at + CALL_TIMEOUT,
            retries_left: RETRIES_PER_CALL,
            retries_made: 0,
            work_seconds: 0.0,
            cut_off: None,
            abandoned: false,
            receipt,
        };
        self.attempts.insert(id, attempt);
        self.push(at + CALL_TIMEOUT, Event::Timeout(id));
        self.send_call(id);
    }

    fn handle_caller_failure(&mut self, request: usize, kind: FailureKind) {
        let at = self.at;
        *self.tally.bin(at).misses.entry(kind).or_default() += 1;
        let aggressive = self.setup.situation.aggressive_retries();
        let (max_attempts, backoff) = if aggressive {
            (AGGRESSIVE_MAX_ATTEMPTS, AGGRESSIVE_RETRY_BACKOFF)
        } else {
            (MAX_ATTEMPTS, RETRY_BACKOFF)
        };
        let made = self.requests[request].attempts;
        let unsafe_retry = !self.route(request).idempotent && kind == FailureKind::Lost;
        if made >= max_attempts || unsafe_retry {
            return;
        }
        let growth = if aggressive { 1 } else { 1 << (made - 1) };
        let backoff = backoff * growth;
        let due = at + backoff.mul_f64(0.5 + self.rng.random::<f64>());
        self.push(due, Event::StartAttempt(request));
    }

    fn expire_waiting(&mut self) {
        for server in 0..self.fleet.servers.len() {
            let now = self.now();
            let outcomes = self.fleet.servers[server].expire(now);
            self.apply_wait_outcomes(server, outcomes);
        }
        self.push(self.at + EXPIRY_INTERVAL, Event::ExpireWaiting);
    }

    fn start_disturbance(&mut self) {
        match self.setup.situation {
            Situation::Cold => {
                let now = self.now();
                self.fleet.mark_restarted(AFFECTED_DOMAIN, now);
            }
            Situation::Lost => self.lose_domain(),
            _ => {}
        }
    }

    fn end_disturbance(&mut self) {
        let policy = self.setup.policy;
        for server in &mut self.fleet.servers {
            if server.lost_at.take().is_some() {
                server.restart(policy);
            }
        }
    }
}
