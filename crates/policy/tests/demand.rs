//! Demand that is spread thinly over many nodes: each request counts once in the sum.

use std::collections::HashMap;
use std::time::Duration;

use filbertwheel_core::{Rank, RouteId};
use filbertwheel_policy::DemandMeter;

const INTERVAL: Duration = Duration::from_millis(250);
const RANK: Rank = Rank {
    organisation: 1,
    route: 1,
};

fn counts(route: &str, count: u32) -> HashMap<(RouteId, Rank), u32> {
    HashMap::from([((RouteId::from(route), RANK), count)])
}

fn total(meter: &DemandMeter) -> f64 {
    meter.demand().iter().map(|one| f64::from(one.rate)).sum()
}

#[test]
fn rare_requests_at_many_nodes_add_up_to_the_demand() {
    // Each of 200 nodes sees one request each four seconds: 50 requests per second.
    let mut meters: Vec<DemandMeter> = (0..200).map(|_| DemandMeter::default()).collect();
    let (mut sum, mut samples) = (0.0, 0);
    for step in 0..160 {
        for (index, meter) in meters.iter_mut().enumerate() {
            let sees_one = (step + index) % 16 == 0;
            let seen = if sees_one {
                counts("read", 1)
            } else {
                HashMap::new()
            };
            meter.update(seen, INTERVAL);
        }
        if step >= 80 {
            sum += meters.iter().map(total).sum::<f64>();
            samples += 1;
        }
    }
    let mean = sum / f64::from(samples);
    assert!((45.0..55.0).contains(&mean), "{mean}");
}

#[test]
fn a_node_that_has_just_started_knows_its_demand_at_once() {
    let mut meter = DemandMeter::default();
    meter.update(counts("read", 10), INTERVAL);
    assert!((total(&meter) - 40.0).abs() < 0.1, "{}", total(&meter));
}

#[test]
fn a_demand_is_followed_at_the_same_speed_whatever_the_interval() {
    let after_a_second = |interval: Duration| {
        let mut meter = DemandMeter::default();
        for _ in 0..40 {
            meter.update(HashMap::new(), interval);
        }
        let steps = (1_000 / interval.as_millis()) as u32;
        for _ in 0..steps {
            let count = (interval.as_secs_f64() * 100.0) as u32;
            meter.update(counts("read", count), interval);
        }
        total(&meter)
    };
    let (short, long) = (
        after_a_second(Duration::from_millis(100)),
        after_a_second(Duration::from_millis(500)),
    );
    assert!((short - long).abs() < 1.0, "{short} and {long}");
    assert!(short > 80.0, "{short}");
}

#[test]
fn a_demand_that_has_ended_is_dropped() {
    let mut meter = DemandMeter::default();
    meter.update(counts("read", 10), INTERVAL);
    for _ in 0..40 {
        meter.update(HashMap::new(), INTERVAL);
    }
    assert!(meter.demand().is_empty());
}
