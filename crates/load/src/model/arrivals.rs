//! When requests come, and how many of them the capacity allows.

use std::collections::BTreeSet;
use std::time::Duration;

use filbertwheel_core::Criticality;
use rand::Rng;
use rand::rngs::StdRng;

use super::profile::{ORGANISATIONS, Profile};
use super::situation::{STEADY, Situation};

/// Index of the organisation that may send too much.
pub const GREEDY: usize = 1;

/// A request as its caller means to send it.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// When it's meant to be sent.
    pub at: Duration,
    /// Index of its kind.
    pub route: usize,
    /// Index of its organisation.
    pub organisation: usize,
}

/// Requests a second at which the busiest service is full.
pub fn full_rate(profile: Profile) -> f64 {
    let services = 0..profile.services().len();
    let limits = services.map(|service| {
        let demand: f64 = profile
            .routes()
            .iter()
            .flat_map(|route| {
                route
                    .holds(&|_| 1.0)
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

/// Requests a second that are meant to come at steady demand.
pub fn steady_rate(profile: Profile) -> f64 {
    full_rate(profile) * STEADY
}

/// Whole requests a second that the capacity allows when `rate` come: the more critical first,
/// then all kinds alike until a service that they need is full. `at` is a moment of the situation.
pub fn best_rate(profile: Profile, situation: Situation, at: Duration, rate: f64) -> f64 {
    let slowness = |service| situation.slowness(at, service == profile.deepest(), false);
    let routes = profile.routes();
    let mut room: Vec<f64> = (0..profile.services().len())
        .map(|service| profile.capacity(service) * situation.standing(at))
        .collect();
    let mut best = 0.0;
    for class in [
        Criticality::Critical,
        Criticality::Normal,
        Criticality::Sheddable,
    ] {
        let mut open: BTreeSet<usize> = (0..routes.len())
            .filter(|route| routes[*route].criticality == class)
            .collect();
        let mut part = 0.0;
        while !open.is_empty() && part < 1.0 {
            let mut demand = vec![0.0; room.len()];
            for route in &open {
                for (service, hold) in routes[*route].holds(&slowness) {
                    demand[service] += hold * routes[*route].part * rate;
                }
            }
            let limits = room.iter().zip(&demand).map(|(room, demand)| room / demand);
            let step = limits.fold(1.0 - part, f64::min).max(0.0);
            part += step;
            for (room, demand) in room.iter_mut().zip(&demand) {
                *room -= demand * step;
            }
            let served: f64 = open.iter().map(|route| routes[*route].part).sum();
            best += served * rate * step;
            open.retain(|route| {
                routes[*route]
                    .holds(&slowness)
                    .iter()
                    .all(|(s, _)| room[*s] > FULL)
            });
        }
    }
    best
}

/// The next arrival after `at`, by thinning a Poisson process of the largest rate.
pub fn next(profile: Profile, situation: Situation, at: Duration, rng: &mut StdRng) -> Arrival {
    let largest = steady_rate(profile) * LARGEST;
    let mut at = at;
    loop {
        at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / largest);
        let organisation = draw(&ORGANISATIONS, rng);
        let kept = situation.demand(at, organisation == GREEDY) / LARGEST;
        if rng.random::<f64>() < kept {
            let parts: Vec<f64> = profile.routes().iter().map(|route| route.part).collect();
            return Arrival {
                at,
                route: draw(&parts, rng),
                organisation,
            };
        }
    }
}

/// Free slots below which a service counts as full.
const FULL: f64 = 1e-9;
/// Largest factor of any situation.
const LARGEST: f64 = 8.0;

fn draw(parts: &[f64], rng: &mut StdRng) -> usize {
    let mut left = rng.random::<f64>() * parts.iter().sum::<f64>();
    for (index, part) in parts.iter().enumerate() {
        left -= part;
        if left < 0.0 {
            return index;
        }
    }
    parts.len() - 1
}
