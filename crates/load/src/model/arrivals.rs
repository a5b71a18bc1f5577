//! Arrivals of requests, and the goodput that the capacity allows.

use std::collections::BTreeSet;
use std::time::Duration;

use filbertwheel_core::Criticality;
use rand::Rng;
use rand::rngs::StdRng;

use super::profile::{ORGANISATION_PARTS, Profile};
use super::situation::{STEADY_UTILISATION, Situation};

/// Index of the organisation that exceeds its rate in `Situation::Greedy`.
pub const GREEDY_ORGANISATION: usize = 1;

/// The arrival of a request.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Scheduled send time.
    pub at: Duration,
    /// Index of its route.
    pub route: usize,
    /// Index of its organisation.
    pub organisation: usize,
}

/// Returns the requests per second at which the bottleneck service is fully occupied.
pub fn full_rate(profile: Profile) -> f64 {
    let services = 0..profile.services().len();
    let limits = services.map(|service| {
        let demand: f64 = profile
            .routes()
            .iter()
            .flat_map(|route| {
                route
                    .slot_seconds(&|_| 1.0)
                    .into_iter()
                    .map(|(s, hold)| (s, hold * route.part))
            })
            .filter(|(s, _)| *s == service)
            .map(|(_, hold)| hold)
            .sum();
        profile.capacity(service) / demand
    });
    limits.fold(f64::INFINITY, f64::min)
}

/// Returns the requests per second at steady demand.
pub fn steady_rate(profile: Profile) -> f64 {
    full_rate(profile) * STEADY_UTILISATION
}

/// Returns the maximum goodput in requests per second at an offered load of `rate`. Capacity goes to
/// the more critical routes first; routes of equal criticality grow evenly until a service on their
/// chain is full. `at` is the time in the run.
pub fn best_rate(profile: Profile, situation: Situation, at: Duration, rate: f64) -> f64 {
    let slowness = |service| situation.slowness(at, service == profile.deepest(), false);
    let routes = profile.routes();
    let mut free_slots: Vec<f64> = (0..profile.services().len())
        .map(|service| profile.capacity(service) * situation.available_part(at))
        .collect();
    let mut best = 0.0;
    for class in [
        Criticality::Critical,
        Criticality::Normal,
        Criticality::Sheddable,
    ] {
        let mut growing: BTreeSet<usize> = (0..routes.len())
            .filter(|route| routes[*route].criticality == class)
            .collect();
        let mut part = 0.0;
        while !growing.is_empty() && part < 1.0 {
            let mut demand = vec![0.0; free_slots.len()];
            for route in &growing {
                for (service, hold) in routes[*route].slot_seconds(&slowness) {
                    demand[service] += hold * routes[*route].part * rate;
                }
            }
            let limits = free_slots
                .iter()
                .zip(&demand)
                .map(|(free_slots, demand)| free_slots / demand);
            let step = limits.fold(1.0 - part, f64::min).max(0.0);
            part += step;
            for (free_slots, demand) in free_slots.iter_mut().zip(&demand) {
                *free_slots -= demand * step;
            }
            let served: f64 = growing.iter().map(|route| routes[*route].part).sum();
            best += served * rate * step;
            growing.retain(|route| {
                routes[*route]
                    .slot_seconds(&slowness)
                    .iter()
                    .all(|(s, _)| free_slots[*s] > FULL_THRESHOLD)
            });
        }
    }
    best
}

/// Returns the next arrival after `at`, by thinning a Poisson process of the maximum rate.
pub fn next_arrival(
    profile: Profile,
    situation: Situation,
    at: Duration,
    rng: &mut StdRng,
) -> Arrival {
    let max_rate = steady_rate(profile) * MAX_DEMAND_FACTOR;
    let mut at = at;
    loop {
        at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / max_rate);
        let organisation = weighted_index(&ORGANISATION_PARTS, rng);
        let probability =
            situation.demand_factor(at, organisation == GREEDY_ORGANISATION) / MAX_DEMAND_FACTOR;
        if rng.random::<f64>() < probability {
            let parts: Vec<f64> = profile.routes().iter().map(|route| route.part).collect();
            return Arrival {
                at,
                route: weighted_index(&parts, rng),
                organisation,
            };
        }
    }
}

/// Free slots below which a service counts as full.
const FULL_THRESHOLD: f64 = 1e-9;
/// Largest value of `Situation::demand_factor`, which bounds the rate for thinning.
const MAX_DEMAND_FACTOR: f64 = 8.0;

fn weighted_index(parts: &[f64], rng: &mut StdRng) -> usize {
    let mut left = rng.random::<f64>() * parts.iter().sum::<f64>();
    for (index, part) in parts.iter().enumerate() {
        left -= part;
        if left < 0.0 {
            return index;
        }
    }
    parts.len() - 1
}
