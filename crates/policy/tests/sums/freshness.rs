//! Age of the sums at the nodes, and the cost of the messages, by the size of the fleet.

use std::time::Duration;

use crate::network::Fleet;

const WARM_UP: Duration = Duration::from_secs(2);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Ages of the sums at all nodes, sampled over a while.
struct Ages(Vec<Duration>);

impl Ages {
    fn of(fleet: &mut Fleet, samples: usize) -> Self {
        let mut ages = Vec::new();
        for _ in 0..samples {
            fleet.run(SAMPLE_INTERVAL, true);
            for index in 0..fleet.len() {
                if fleet.is_alive(index) {
                    ages.push(fleet.sums(index).map_or(Duration::MAX, |(_, age)| age));
                }
            }
        }
        ages.sort();
        Self(ages)
    }

    /// Returns the age that all but one in a hundred are below.
    fn highest(&self) -> Duration {
        self.0[self.0.len() * 99 / 100]
    }

    fn median(&self) -> Duration {
        self.0[self.0.len() / 2]
    }
}

#[test]
fn sums_are_fresh_in_a_fleet_of_200_nodes_that_loses_a_tenth_of_the_messages() {
    let mut fleet = Fleet::open(194, 5, 1);
    fleet.loss = 0.1;
    fleet.run(WARM_UP, true);
    let ages = Ages::of(&mut fleet, 40);
    println!("194 nodes: {:?}, {:?}", ages.median(), ages.highest());
    assert!(
        ages.highest() <= Duration::from_millis(500),
        "{:?}",
        ages.highest()
    );
}

#[test]
fn sums_are_fresh_in_a_fleet_of_2400_nodes_that_loses_a_tenth_of_the_messages() {
    let mut fleet = Fleet::open(2_424, 4, 2);
    fleet.loss = 0.1;
    fleet.run(WARM_UP, true);
    let ages = Ages::of(&mut fleet, 20);
    println!("2424 nodes: {:?}, {:?}", ages.median(), ages.highest());
    assert!(
        ages.highest() <= Duration::from_secs(1),
        "{:?}",
        ages.highest()
    );
}

#[test]
fn messages_to_a_node_hardly_grow_with_the_fleet() {
    let cost = |nodes: usize, domains: usize| {
        let mut fleet = Fleet::open(nodes, domains, 3);
        fleet.run(WARM_UP, true);
        fleet.count_bytes = true;
        fleet.run(Duration::from_secs(1), true);
        let highest = fleet.traffic.iter().map(|one| one.messages).max();
        let bytes: u64 = fleet.traffic.iter().map(|one| one.bytes).sum();
        (highest.unwrap_or_default(), bytes / nodes as u64)
    };
    let (small, small_bytes) = cost(194, 5);
    let (large, large_bytes) = cost(2_424, 4);
    println!("messages a second at the busiest node: {small}, {large}");
    println!("bytes a second at a mean node: {small_bytes}, {large_bytes}");
    // Twelve times as many nodes.
    assert!(large < small * 3, "{small} and {large}");
    assert!(large_bytes < 6_000, "{large_bytes}");
}
