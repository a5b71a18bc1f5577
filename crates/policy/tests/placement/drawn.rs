//! Drawn runs at a few servers, placed by several senders.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use filbertwheel_core::{OrganisationId, RouteId};
use filbertwheel_policy::{
    AdmissionQueue, BackendLoad, CallWork, Distance, Health, LeastExpectedTime, LeastOccupied,
    Occupancy, PeerLoad, Placement, QueueOutcome, QueueRequest, QueueTicket, RunTicket, SentCall,
    WorkMeter,
};
use rand::rngs::StdRng;
use rand::seq::index;
use rand::{Rng as _, SeedableRng as _};

static ROUTE: RouteId = RouteId::from_static("route");
static HEAVY: OrganisationId = OrganisationId::from_static("heavy");
const CANDIDATES: usize = 4;
/// One way between nodes.
const HOP: Duration = Duration::from_millis(1);

/// What is drawn.
#[derive(Clone)]
pub struct Draw {
    pub senders: usize,
    /// Slowness of each server.
    pub servers: Vec<f64>,
    pub slots: usize,
    /// Calls a second over all senders.
    pub rate: f64,
    /// Mean work of a call in seconds.
    pub work: f64,
    pub length: Duration,
    /// Part of the servers that are 2.5 times as slow for 0.6 s at a time, and say so.
    pub spells: f64,
    /// Part of the calls that come from an organisation whose calls are five times as heavy.
    pub heavy: f64,
    /// Factor by which runs last longer that begin when 0.95 of the slots are taken.
    pub nearly_full: f64,
    /// Interval between reports.
    pub reports: Duration,
    /// Part of the verdicts' and reports' figures that is lost.
    pub lost: f64,
    /// Factor by which the first server's figures are wrong.
    pub wrong: f32,
}

impl Default for Draw {
    fn default() -> Self {
        Self {
            senders: 20,
            servers: vec![1.0; 12],
            slots: 8,
            rate: 500.0,
            work: 0.1,
            length: Duration::from_secs(20),
            spells: 0.0,
            heavy: 0.0,
            nearly_full: 1.0,
            reports: Duration::from_secs(1),
            lost: 0.0,
            wrong: 1.0,
        }
    }
}

/// What became of the calls.
pub struct Outcome {
    times: Vec<f64>,
    /// Times that calls waited for a slot, in seconds.
    waits: Vec<f64>,
    /// Calls by server and second of arrival.
    pub calls: Vec<Vec<usize>>,
}

impl Outcome {
    /// Returns the time in seconds that this part of the calls took at most.
    pub fn quantile(&self, part: f64) -> f64 {
        quantile(&self.times, part)
    }

    /// Returns the time in seconds that this part of the calls waited at most.
    pub fn wait_quantile(&self, part: f64) -> f64 {
        quantile(&self.waits, part)
    }
}

fn quantile(sorted: &[f64], part: f64) -> f64 {
    sorted[((sorted.len() - 1) as f64 * part) as usize]
}

enum Event {
    Call,
    Arrive {
        server: usize,
        call: Call,
    },
    Complete {
        server: usize,
        call: Call,
        run: Option<RunTicket>,
        began: Instant,
    },
    Answer {
        server: usize,
        call: Call,
        load: BackendLoad,
    },
    Report,
    Spell,
}

#[derive(Clone, Copy)]
struct Call {
    sender: usize,
    sent: Instant,
    work: f64,
    is_heavy: bool,
    pending: SentCall,
}

struct Server {
    slowness: f64,
    spell: f64,
    queue: AdmissionQueue,
    waiting: HashMap<QueueTicket, Call>,
    health: Health,
    meter: Option<WorkMeter>,
}

struct World {
    draw: Draw,
    random: StdRng,
    now: Instant,
    number: u64,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    details: HashMap<u64, Event>,
    servers: Vec<Server>,
    /// By sender and server.
    known: Vec<Vec<PeerLoad>>,
    in_flight: Vec<Vec<u32>>,
    placement: Box<dyn Placement>,
    waits: Vec<f64>,
}

/// Plays the drawn calls, placed by their number or by their expected cost.
pub fn play(draw: &Draw, by_cost: bool, seed: u64) -> Outcome {
    let now = Instant::now();
    let servers = draw.servers.iter().map(|slowness| Server {
        slowness: *slowness,
        spell: 1.0,
        queue: AdmissionQueue::open(draw.slots),
        waiting: HashMap::new(),
        health: Health::open(now),
        meter: by_cost.then(|| WorkMeter::open(now)),
    });
    let servers: Vec<Server> = servers.collect();
    let count = servers.len();
    let mut world = World {
        random: StdRng::seed_from_u64(seed),
        now,
        number: 0,
        events: BinaryHeap::new(),
        details: HashMap::new(),
        known: vec![vec![PeerLoad::default(); count]; draw.senders],
        in_flight: vec![vec![0; count]; draw.senders],
        servers,
        placement: if by_cost {
            Box::new(LeastExpectedTime)
        } else {
            Box::new(LeastOccupied)
        },
        draw: draw.clone(),
        waits: Vec::new(),
    };
    world.run()
}

impl World {
    fn run(&mut self) -> Outcome {
        let start = self.now;
        let end = start + self.draw.length;
        let seconds = self.draw.length.as_secs() as usize;
        let mut outcome = Outcome {
            times: Vec::new(),
            waits: Vec::new(),
            calls: vec![vec![0; seconds]; self.servers.len()],
        };
        self.after(Duration::ZERO, Event::Report);
        self.after(Duration::ZERO, Event::Spell);
        self.after(HOP, Event::Call);
        while let Some(Reverse((at, number))) = self.events.pop() {
            self.now = at;
            match self.details.remove(&number) {
                Some(Event::Call) if at < end => {
                    let server = self.send();
                    outcome.calls[server][(at - start).as_secs() as usize] += 1;
                }
                Some(Event::Arrive { server, call }) => self.arrive(server, call),
                Some(Event::Complete {
                    server,
                    call,
                    run,
                    began,
                }) => {
                    self.complete(server, call, run, began);
                }
                Some(Event::Answer { server, call, load }) => {
                    let known = &mut self.known[call.sender][server];
                    known.end(call.pending);
                    if !self.random.random_bool(self.draw.lost) {
                        known.record(load, at);
                    }
                    self.in_flight[call.sender][server] -= 1;
                    outcome.times.push((at - call.sent).as_secs_f64());
                }
                Some(Event::Report) if at < end => self.report(),
                Some(Event::Spell) if at < end => self.change_spells(),
                _ => {}
            }
        }
        outcome.times.sort_by(f64::total_cmp);
        outcome.waits = std::mem::take(&mut self.waits);
        outcome.waits.sort_by(f64::total_cmp);
        outcome
    }

    fn after(&mut self, time: Duration, event: Event) {
        self.number += 1;
        self.events.push(Reverse((self.now + time, self.number)));
        self.details.insert(self.number, event);
    }

    /// Sends a call of a drawn sender to the server that is chosen.
    fn send(&mut self) -> usize {
        let gap = -self.random.random::<f64>().max(1e-9).ln() / self.draw.rate;
        self.after(Duration::from_secs_f64(gap), Event::Call);
        let sender = self.random.random_range(0..self.draw.senders);
        let is_heavy = self.random.random_bool(self.draw.heavy);
        let is_long = self.random.random_bool(0.03);
        let work = self.draw.work / 1.18
            * self.random.random_range(0.7..1.3)
            * if is_long { 7.0 } else { 1.0 }
            * if is_heavy { 5.0 } else { 1.0 };
        let count = self.servers.len();
        let drawn = index::sample(&mut self.random, count, CANDIDATES.min(count)).into_vec();
        let views: Vec<_> = drawn
            .iter()
            .map(|server| {
                let in_flight = self.in_flight[sender][*server];
                self.known[sender][*server].view(in_flight, Distance::SameDomain, None)
            })
            .collect();
        let mean = Duration::from_secs_f64(self.draw.work);
        let random = &mut self.random;
        let chosen = self
            .placement
            .choose(&views, mean, self.now, &mut || random.random())
            .expect("there are candidates");
        let server = drawn[chosen];
        let pending = self.known[sender][server].begin(mean);
        self.in_flight[sender][server] += 1;
        let call = Call {
            sender,
            sent: self.now,
            work,
            is_heavy,
            pending,
        };
        self.after(HOP, Event::Arrive { server, call });
        server
    }

    fn arrive(&mut self, server: usize, call: Call) {
        let now = self.now;
        let work = self.draw.work;
        let target = &mut self.servers[server];
        let expected = target.meter.as_ref().map_or(Duration::ZERO, |meter| {
            meter.expected_time(call_work(call, work), now)
        });
        let request = QueueRequest {
            rank: 0,
            due: now + Duration::from_millis(500),
            work: expected,
            expires: now + Duration::from_secs(60),
        };
        match target.queue.offer(request) {
            QueueOutcome::Run => self.start(server, call),
            QueueOutcome::Wait(ticket) => {
                target.waiting.insert(ticket, call);
            }
            QueueOutcome::Full => panic!("the queue is large enough for all drawn calls"),
        }
    }

    fn start(&mut self, server: usize, call: Call) {
        let (now, work) = (self.now, self.draw.work);
        self.waits.push((now - call.sent - HOP).as_secs_f64());
        let target = &mut self.servers[server];
        let run = target
            .meter
            .as_mut()
            .map(|meter| meter.begin(call_work(call, work), now));
        let is_nearly_full = target.queue.running() * 20 > target.queue.slots() * 19;
        let factor = if is_nearly_full {
            self.draw.nearly_full
        } else {
            1.0
        };
        let time = call.work * target.slowness * target.spell * factor;
        let time = Duration::from_secs_f64(time);
        self.after(
            time,
            Event::Complete {
                server,
                call,
                run,
                began: now,
            },
        );
    }

    fn complete(&mut self, server: usize, call: Call, run: Option<RunTicket>, began: Instant) {
        let now = self.now;
        let ratio = (now - began).as_secs_f64() / self.draw.work;
        let states = self.draw.spells > 0.0;
        let target = &mut self.servers[server];
        target.health.record_success(ratio, now);
        if let (Some(meter), Some(run)) = (&mut target.meter, run) {
            if states {
                meter.record_stated(target.spell as f32, now);
            }
            meter.end(run, true, now);
        }
        let started = target.queue.finish();
        let started: Vec<Call> = started
            .iter()
            .filter_map(|ticket| target.waiting.remove(ticket))
            .collect();
        for call in started {
            self.start(server, call);
        }
        let load = self.load(server);
        self.after(HOP, Event::Answer { server, call, load });
    }

    fn report(&mut self) {
        for server in 0..self.servers.len() {
            let load = self.load(server);
            for sender in 0..self.draw.senders {
                if !self.random.random_bool(self.draw.lost) {
                    self.known[sender][server].record(load, self.now);
                }
            }
        }
        self.after(self.draw.reports, Event::Report);
    }

    fn load(&mut self, server: usize) -> BackendLoad {
        let now = self.now;
        let target = &mut self.servers[server];
        let (slowness, failing) = target.health.read(now);
        let (running, queued) = (target.queue.running() as u32, target.queue.queued() as u32);
        let slots = target.queue.slots() as u32;
        let occupancy = Occupancy {
            running,
            queued,
            queued_work: target.queue.queued_work(),
            slots,
        };
        let figures = target
            .meter
            .as_mut()
            .map(|meter| meter.figures(occupancy, now));
        let wrong = if server == 0 { self.draw.wrong } else { 1.0 };
        BackendLoad {
            running,
            queued,
            slots,
            slowness: figures.map_or(slowness, |one| one.slowness as f32) * wrong,
            usual_slowness: figures.map_or(slowness, |one| one.usual_slowness as f32) * wrong,
            failing,
            backlog: figures.map_or(0.0, |one| one.backlog as f32) * wrong,
            delay: figures.map_or(0.0, |one| one.delay as f32) * wrong,
            idle: figures.is_some_and(|one| one.idle),
        }
    }

    fn change_spells(&mut self) {
        for server in &mut self.servers {
            let is_slow = self.random.random_bool(self.draw.spells);
            server.spell = if is_slow { 2.5 } else { 1.0 };
        }
        self.after(Duration::from_millis(600), Event::Spell);
    }
}

fn call_work(call: Call, mean: f64) -> CallWork<'static> {
    CallWork {
        route: &ROUTE,
        organisation: call.is_heavy.then_some(&HEAVY),
        fleet_mean: Some(mean),
        deadline: call.sent + Duration::from_secs(60),
    }
}
