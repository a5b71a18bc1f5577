//! Other ways of spreading what the plan needs, modelled without a network for comparison.

use std::time::Duration;

use crate::network::Random;

/// Size of the measurements of one node with its name, in bytes.
const ENTRY_BYTES: f64 = 130.0;

/// Age and cost of one way.
struct Figures {
    /// Age of the measurements that all but one in a hundred pairs of nodes are below.
    age: Duration,
    /// Bytes per second at one node, sent and received.
    bytes: f64,
}

/// Each node sends its measurements to all others, as often as keeps the messages constant.
fn mesh(nodes: usize) -> Figures {
    let interval = Duration::from_millis(250).mul_f64((nodes as f64 / 32.0).max(1.0));
    Figures {
        // A measurement is as old as the interval just before the next one.
        age: interval.mul_f64(0.99),
        bytes: 2.0 * ENTRY_BYTES * (nodes - 1) as f64 / interval.as_secs_f64(),
    }
}

/// Each node exchanges the measurements of all nodes that it knows with a random one, `rate` times
/// a second. Only those that the other one lacks are sent.
fn gossip(nodes: usize, rate: f64, loss: f64) -> Figures {
    let mut random = Random::open(4);
    let round = Duration::from_secs_f64(1.0 / rate);
    let rounds = (Duration::from_secs(4).as_secs_f64() * rate) as u32;
    // Round in which each known measurement was taken.
    let mut known: Vec<Vec<u32>> = vec![vec![0; nodes]; nodes];
    let mut sent = 0_u64;
    for number in 1..=rounds {
        for node in 0..nodes {
            known[node][node] = number;
            let other = random.below(nodes as u64) as usize;
            if other == node || random.chance(loss) {
                continue;
            }
            let pairs: Vec<u32> = known[node]
                .iter()
                .zip(&known[other])
                .map(|(one, two)| *one.max(two))
                .collect();
            let lacking = |own: &Vec<u32>| own.iter().zip(&pairs).filter(|(a, b)| a != b).count();
            if number > rounds / 2 {
                sent += (lacking(&known[node]) + lacking(&known[other])) as u64;
            }
            known[node].clone_from(&pairs);
            known[other] = pairs;
        }
    }
    let mut ages: Vec<u32> = known.iter().flatten().map(|at| rounds - at).collect();
    ages.sort_unstable();
    let seconds = f64::from(rounds - rounds / 2) / rate;
    Figures {
        age: round * ages[ages.len() * 99 / 100],
        bytes: 2.0 * sent as f64 * ENTRY_BYTES / seconds / nodes as f64,
    }
}

/// Sums split and sent to random nodes (push-sum), whose weight is lost with a message. Returns by
/// which part the estimate of the total is wrong after two seconds.
fn push_sum_error(nodes: usize, loss: f64) -> f64 {
    let mut random = Random::open(5);
    let mut state: Vec<(f64, f64)> = (0..nodes)
        .map(|node| (1.0, f64::from(u8::from(node == 0))))
        .collect();
    for _ in 0..20 {
        for node in 0..nodes {
            let half = (state[node].0 / 2.0, state[node].1 / 2.0);
            state[node] = half;
            let other = random.below(nodes as u64) as usize;
            if !random.chance(loss) {
                state[other].0 += half.0;
                state[other].1 += half.1;
            }
        }
    }
    let errors = state.iter().filter(|(_, weight)| *weight > 0.0);
    let errors = errors.map(|(value, weight)| (value / weight / nodes as f64 - 1.0).abs());
    errors.fold(0.0, f64::max)
}

/// Measurements ride on calls and their answers: each carries the latest ones of `carried` nodes.
fn on_calls(nodes: usize, calls: f64, carried: usize) -> Figures {
    let mut random = Random::open(6);
    let seconds = 6.0;
    let total = (calls * seconds * nodes as f64) as u64;
    let mut known: Vec<Vec<f32>> = vec![vec![0.0; nodes]; nodes];
    for call in 0..total {
        let time = (call as f64 / total as f64 * seconds) as f32;
        let (one, two) = (
            random.below(nodes as u64) as usize,
            random.below(nodes as u64) as usize,
        );
        for (from, to) in [(one, two), (two, one)] {
            known[from][from] = time;
            let latest = (0..carried).map(|_| random.below(nodes as u64) as usize);
            let latest: Vec<usize> = latest.chain([from]).collect();
            for entry in latest {
                known[to][entry] = known[to][entry].max(known[from][entry]);
            }
        }
    }
    let mut ages: Vec<f32> = known
        .iter()
        .flatten()
        .map(|at| seconds as f32 - at)
        .collect();
    ages.sort_by(f32::total_cmp);
    Figures {
        age: Duration::from_secs_f32(ages[ages.len() * 99 / 100]),
        bytes: 4.0 * calls * ENTRY_BYTES * (carried + 1) as f64,
    }
}

#[test]
fn no_other_way_is_fresh_and_cheap_in_a_large_fleet() {
    const FRESH: Duration = Duration::from_millis(1_000);
    const CHEAP: f64 = 6_000.0;
    for nodes in [194, 800] {
        let ways = [
            ("mesh", mesh(nodes)),
            ("gossip", gossip(nodes, 5.0, 0.1)),
            ("on calls", on_calls(nodes, 15.0, 8)),
        ];
        for (name, figures) in ways {
            println!(
                "{nodes} nodes, {name}: {:?}, {:.0} bytes a second",
                figures.age, figures.bytes
            );
            let fits = figures.age <= FRESH && figures.bytes <= CHEAP;
            assert!(!fits, "{name} at {nodes} nodes");
        }
    }
    let error = push_sum_error(194, 0.1);
    println!("push-sum, a tenth of the messages lost: wrong by {error:.2}");
    assert!(error > 0.1, "{error}");
}
