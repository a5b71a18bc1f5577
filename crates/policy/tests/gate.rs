//! Gate: order of running, waiting and shedding, and adaptation of the limit.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use filbertwheel_core::{Criticality, RefusalKind};
use filbertwheel_policy::{
    ConcurrencyLimit, FixedLimit, Gate, GateOutcome, GateRequest, GateTicket, LatencyLimit,
    LimitAlgorithm, RunTime, WaitOutcome,
};
use proptest::collection::vec;
use proptest::prelude::{Strategy, any, prop_oneof};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SLOTS: usize = 4;
const SERVICE: Duration = Duration::from_millis(10);
const CLASSES: [Criticality; 3] = [
    Criticality::Sheddable,
    Criticality::Normal,
    Criticality::Critical,
];

#[derive(Debug, Clone)]
enum Step {
    Offer {
        class: usize,
        owner: u8,
        rank: u32,
        timeout: u64,
    },
    Finish,
    Cancel(usize),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let offer = (0..3_usize, 0..4_u8, any::<u32>(), 1..2_000_u64);
    prop_oneof![
        4 => offer.prop_map(|(class, owner, rank, timeout)| Step::Offer { class, owner, rank, timeout }),
        2 => proptest::strategy::Just(Step::Finish),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => (1..200_u64).prop_map(Step::Advance),
    ]
}

fn fixed_gate(slots: usize) -> Gate {
    Gate::with_limit(Box::new(FixedLimit(slots)))
}

fn request(class: Criticality, owner: &str, rank: u32, deadline: Instant) -> GateRequest {
    GateRequest {
        criticality: class,
        organisation: Some(owner.into()),
        rank,
        deadline,
    }
}

fn run_time() -> RunTime {
    RunTime {
        elapsed: SERVICE,
        self_time: SERVICE,
    }
}

/// Drives a gate and checks it against a model of its state.
struct Model {
    gate: Gate,
    now: Instant,
    running: usize,
    waiting: HashMap<GateTicket, (Criticality, Instant)>,
}

impl Model {
    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Offer {
                class,
                owner,
                rank,
                timeout,
            } => self.offer(CLASSES[class], owner, rank, timeout),
            Step::Finish if self.running > 0 => {
                self.running -= 1;
                let outcomes = self.gate.finish(&run_time(), self.now);
                self.record_outcomes(outcomes);
            }
            Step::Finish => {}
            Step::Cancel(index) => {
                let mut tickets: Vec<_> = self.waiting.keys().copied().collect();
                tickets.sort_unstable();
                if let Some(ticket) = tickets.get(index % tickets.len().max(1)) {
                    assert!(self.gate.cancel(*ticket));
                    self.waiting.remove(ticket);
                }
            }
            Step::Advance(millis) => {
                self.now += Duration::from_millis(millis);
                let outcomes = self.gate.expire(self.now);
                self.record_outcomes(outcomes);
            }
        }
        assert_eq!(self.gate.running(), self.running);
        assert_eq!(self.gate.queued(), self.waiting.len());
        assert!(self.running <= SLOTS);
    }

    fn offer(&mut self, class: Criticality, owner: u8, rank: u32, timeout: u64) {
        let deadline = self.now + Duration::from_millis(timeout);
        let request = request(class, &owner.to_string(), rank, deadline);
        let (decision, outcomes) = self.gate.offer(&request, self.now);
        if let GateOutcome::Wait(ticket) = decision {
            self.waiting.insert(ticket, (class, deadline));
        }
        match decision {
            GateOutcome::Run(_) => self.running += 1,
            GateOutcome::Wait(_) => {}
            GateOutcome::Refuse(_) => self.check_shed(class),
        }
        self.record_outcomes(outcomes);
    }

    fn record_outcomes(&mut self, outcomes: Vec<WaitOutcome>) {
        for outcome in outcomes {
            match outcome {
                WaitOutcome::Run(ticket) => {
                    let (class, deadline) =
                        self.waiting.remove(&ticket).expect("the call is queued");
                    let above = self.waiting.values().filter(|(other, _)| *other > class);
                    assert_eq!(above.count(), 0, "a more critical call is still queued");
                    assert!(deadline > self.now, "a call runs after its deadline");
                    self.running += 1;
                }
                WaitOutcome::Refuse(ticket, kind) => {
                    assert_eq!(kind, RefusalKind::Overloaded);
                    let (class, _) = self.waiting.remove(&ticket).expect("the call is queued");
                    if self.gate.queued() == SLOTS * 2 {
                        self.check_shed(class);
                    }
                }
            }
        }
    }

    fn check_shed(&self, class: Criticality) {
        let below = self.waiting.values().filter(|(other, _)| *other < class);
        assert_eq!(below.count(), 0, "a less critical call is still queued");
    }
}

#[test]
fn random_steps_keep_order_and_count() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let config = Config {
        cases: 500,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(&vec(step(), 1..200), |steps| {
        let mut model = Model {
            gate: fixed_gate(SLOTS),
            now: Instant::now(),
            running: 0,
            waiting: HashMap::new(),
        };
        steps.iter().for_each(|step| model.apply(step));
        Ok(())
    });
    outcome.expect("the gate matches the model");
}

/// Offers `small` and `large` calls per tick to a gate that completes `SLOTS` calls per tick.
/// Returns how many calls of each organisation ran and how many were offered.
fn run_contest(small: usize, large: usize, ticks: usize) -> [(usize, usize); 2] {
    let mut gate = fixed_gate(SLOTS);
    let mut now = Instant::now();
    let mut counts = [(0, 0); 2];
    let mut owners = HashMap::new();
    let mut running = 0;
    for tick in 0..ticks {
        let calls = std::iter::repeat_n(1, large).chain(std::iter::repeat_n(0, small));
        for (index, owner) in calls.enumerate() {
            let rank = ((tick * 31 + index) as u32).wrapping_mul(2_654_435_761);
            let name = ["small", "large"][owner];
            let request = request(Criticality::Normal, name, rank, now + SERVICE * 20);
            let (decision, outcomes) = gate.offer(&request, now);
            assert!(
                outcomes
                    .iter()
                    .all(|outcome| matches!(outcome, WaitOutcome::Refuse(..)))
            );
            counts[owner].1 += 1;
            match decision {
                GateOutcome::Run(_) => {
                    counts[owner].0 += 1;
                    running += 1;
                }
                GateOutcome::Wait(ticket) => {
                    owners.insert(ticket, owner);
                }
                GateOutcome::Refuse(_) => {}
            }
        }
        now += SERVICE;
        for _ in 0..std::mem::take(&mut running) {
            for outcome in gate.finish(&run_time(), now) {
                if let WaitOutcome::Run(ticket) = outcome {
                    counts[owners[&ticket]].0 += 1;
                    running += 1;
                }
            }
        }
    }
    counts
}

#[test]
fn small_organisation_is_served_beside_one_at_eight_times() {
    let [(ran, offered), (large, _)] = run_contest(1, 8 * SLOTS, 1_000);
    assert!(offered - ran <= 1, "{ran} of {offered} calls ran");
    assert!(
        large >= 2_900,
        "only {large} calls of the large organisation ran"
    );
}

#[test]
fn full_queue_sheds_the_organisation_with_most_in_it() {
    let mut gate = fixed_gate(1);
    let now = Instant::now();
    let deadline = now + SERVICE * 10;
    let offers = [("a", 0), ("a", 1), ("b", 9)];
    for (owner, rank) in offers {
        gate.offer(&request(Criticality::Normal, owner, rank, deadline), now);
    }
    let (decision, outcomes) = gate.offer(&request(Criticality::Normal, "b", 5, deadline), now);
    assert_eq!(decision, GateOutcome::Wait(4));
    assert_eq!(outcomes, [WaitOutcome::Refuse(3, RefusalKind::Overloaded)]);
}

#[test]
fn an_abandoned_slot_runs_the_next_call() {
    let mut gate = fixed_gate(1);
    let now = Instant::now();
    let call = request(Criticality::Normal, "a", 0, now + SERVICE * 10);
    assert_eq!(gate.offer(&call, now).0, GateOutcome::Run(1));
    assert_eq!(gate.offer(&call, now).0, GateOutcome::Wait(2));
    assert_eq!(gate.abandon(now), [WaitOutcome::Run(2)]);
}

/// Feeds a limit with the latencies that `latency` returns for its current value.
fn feed(limit: &mut dyn ConcurrencyLimit, now: &mut Instant, latency: impl Fn(usize) -> f64) {
    for _ in 0..4_000 {
        *now += Duration::from_millis(10);
        let running = limit.current();
        let elapsed = Duration::from_secs_f64(latency(running));
        let run_time = RunTime {
            elapsed,
            self_time: elapsed,
        };
        limit.observe(&run_time, running, *now);
    }
}

#[test]
fn limit_falls_where_concurrency_slows_the_backend_server() {
    for algorithm in [LimitAlgorithm::Aimd, LimitAlgorithm::Gradient] {
        let mut limit = LatencyLimit::open(algorithm, 100);
        let mut now = Instant::now();
        feed(&mut limit, &mut now, |_| 0.01);
        assert_eq!(limit.current(), 100);
        // The backend server runs 20 calls at once without delay.
        feed(&mut limit, &mut now, |running| {
            0.01 * (running as f64 / 20.0).max(1.0)
        });
        assert!((15..=60).contains(&limit.current()), "{limit:?}");
    }
}

#[test]
fn limit_stays_where_concurrency_is_not_the_cause() {
    for algorithm in [LimitAlgorithm::Aimd, LimitAlgorithm::Gradient] {
        let mut limit = LatencyLimit::open(algorithm, 100);
        let mut now = Instant::now();
        feed(&mut limit, &mut now, |_| 0.01);
        feed(&mut limit, &mut now, |_| 0.1);
        assert!(limit.current() >= 90, "{limit:?}");
    }
}
