//! Weighted distribution of the requests of a route over its targets.

use std::collections::HashMap;

use filbertwheel_core::{RouteId, RouteRule, ServiceId};

/// Smooth weighted round robin: each target is chosen in proportion to its weight, evenly spread
/// over time.
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    cycles: HashMap<RouteId, TargetCycle>,
}

#[derive(Debug, Default)]
struct TargetCycle {
    /// Service, weight and credit of each target.
    targets: Vec<(ServiceId, i64, i64)>,
}

impl WeightedRoundRobin {
    /// Returns the service of the next request of a route. `start` is a random number by which the
    /// first turn is offset, so that the nodes don't start with the same target.
    pub fn next(&mut self, rule: &RouteRule, start: u32) -> Option<ServiceId> {
        if let [only] = rule.targets.as_slice() {
            return Some(only.service.clone());
        }
        let cycle = self.cycles.entry(rule.id.clone()).or_default();
        if !cycle.matches(rule) {
            cycle.reset(rule, start);
        }
        cycle.next()
    }
}

impl TargetCycle {
    /// Returns whether services and weights are still those of the rule.
    fn matches(&self, rule: &RouteRule) -> bool {
        let same = |((service, weight, _), target): (
            &(ServiceId, i64, i64),
            &filbertwheel_core::Target,
        )| { *service == target.service && *weight == i64::from(target.weight) };
        self.targets.len() == rule.targets.len() && self.targets.iter().zip(&rule.targets).all(same)
    }

    /// Starts anew with the targets of the rule, `start` turns into the cycle.
    fn reset(&mut self, rule: &RouteRule, start: u32) {
        let targets = rule.targets.iter();
        self.targets = targets
            .map(|target| (target.service.clone(), i64::from(target.weight), 0))
            .collect();
        let total: u32 = rule.targets.iter().map(|target| target.weight).sum();
        for _ in 0..start.checked_rem(total).unwrap_or_default() {
            self.next();
        }
    }

    /// Chooses the target with the highest credit.
    fn next(&mut self) -> Option<ServiceId> {
        let total: i64 = self.targets.iter().map(|(_, weight, _)| weight).sum();
        for (_, weight, credit) in &mut self.targets {
            *credit += *weight;
        }
        let candidates = self.targets.iter_mut().filter(|(_, weight, _)| *weight > 0);
        let (service, _, credit) = candidates.max_by_key(|(_, _, credit)| *credit)?;
        *credit -= total;
        Some(service.clone())
    }
}
