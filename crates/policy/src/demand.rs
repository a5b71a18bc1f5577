//! Smoothed demand of callers, at one node and over the fleet.

use std::collections::HashMap;
use std::time::Duration;

use filbertwheel_core::{Rank, RouteId};

use crate::RouteDemand;

/// Time constant of the smoothing at one node. The sums over the fleet are smoothed further.
const SMOOTHING_TIME: Duration = Duration::from_millis(150);
/// Time constant of the smoothing over the fleet.
const TREND_TIME: Duration = Duration::from_millis(500);
/// Standard deviations by which a demand must exceed the smoothed one to count at once. Smaller
/// differences may be chance.
const MIN_RISE_DEVIATIONS: f64 = 3.0;
/// Requests per second below which a demand is dropped.
const MIN_DEMAND: f64 = 0.005;

/// Measures the demand by route and rank.
///
/// Over a large fleet, most routes see less than one request per interval at each node. The
/// smoothed rates of all nodes add up to the demand over the fleet only if each request counts
/// once, however rare it is, so a new route starts from zero like any other change. Only the time
/// since the start of the node is corrected for.
#[derive(Debug, Default)]
pub struct DemandMeter {
    rates: HashMap<(RouteId, Rank), f64>,
    /// Part of the smoothing that falls within the life of the node.
    weight: f64,
}

impl DemandMeter {
    /// Adds the requests of an interval of length `elapsed`.
    pub fn update(&mut self, counts: HashMap<(RouteId, Rank), u32>, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64().max(0.001);
        let kept = (-seconds / SMOOTHING_TIME.as_secs_f64()).exp();
        self.weight = 1.0 - (1.0 - self.weight) * kept;
        for rate in self.rates.values_mut() {
            *rate *= kept;
        }
        for (flow, count) in counts {
            let rate = f64::from(count) / seconds;
            *self.rates.entry(flow).or_default() += rate * (1.0 - kept);
        }
        self.rates.retain(|_, rate| *rate >= MIN_DEMAND);
    }

    /// Returns the demand in requests per second.
    pub fn demand(&self) -> Vec<RouteDemand> {
        let correction = self.weight.max(f64::MIN_POSITIVE);
        let rates = self.rates.iter();
        rates
            .map(|((route, rank), rate)| RouteDemand {
                route: route.clone(),
                rank: *rank,
                rate: (rate / correction) as f32,
            })
            .collect()
    }
}

/// Smooths the demand over the fleet. Chance differences are small there, so a rise beyond them
/// counts at once: calls of requests that were let in can't be shed later.
#[derive(Debug, Default)]
pub struct DemandTrend {
    rates: HashMap<(RouteId, Rank), f64>,
}

impl DemandTrend {
    /// Adds the present demand, a time `elapsed` after the last one. Returns the smoothed demand.
    pub fn update(&mut self, present: &[RouteDemand], elapsed: Duration) -> Vec<RouteDemand> {
        let kept = (-elapsed.as_secs_f64() / TREND_TIME.as_secs_f64()).exp();
        for rate in self.rates.values_mut() {
            *rate *= kept;
        }
        for demand in present {
            let key = (demand.route.clone(), demand.rank);
            let latest = f64::from(demand.rate);
            let rate = self.rates.entry(key).or_default();
            let smoothed = *rate + latest * (1.0 - kept);
            let is_rise = latest - smoothed > MIN_RISE_DEVIATIONS * deviation(latest);
            *rate = if is_rise { latest } else { smoothed };
        }
        self.rates.retain(|_, rate| *rate >= MIN_DEMAND);
        let rates = self.rates.iter();
        rates
            .map(|((route, rank), rate)| RouteDemand {
                route: route.clone(),
                rank: *rank,
                rate: *rate as f32,
            })
            .collect()
    }
}

/// Returns the standard deviation of a rate of independent requests that was smoothed at the nodes.
fn deviation(rate: f64) -> f64 {
    (rate / (2.0 * SMOOTHING_TIME.as_secs_f64())).sqrt()
}
