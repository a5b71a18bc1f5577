//! Spreads the requests of a route over its targets by weight.

use std::collections::HashMap;

use filbertwheel_core::{RouteId, RouteRule, ServiceId};

/// Smooth weighted turns: each target comes as often as its weight says, evenly spread.
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    cycles: HashMap<RouteId, TargetCycle>,
}

#[derive(Debug, Default)]
struct TargetCycle {
    targets: Vec<(ServiceId, i64, i64)>,
}

impl WeightedRoundRobin {
    /// The service of the next request of a route. `start` is random, so that nodes don't begin
    /// with the same target.
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
    fn matches(&self, rule: &RouteRule) -> bool {
        let same = |((service, weight, _), target): (
            &(ServiceId, i64, i64),
            &filbertwheel_core::Target,
        )| { *service == target.service && *weight == i64::from(target.weight) };
        self.targets.len() == rule.targets.len() && self.targets.iter().zip(&rule.targets).all(same)
    }

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
