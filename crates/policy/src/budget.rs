//! How many repeats a node may send to each service.
//!
//! The whole fleet may repeat a part of the requests for a service, and a fixed number besides, in
//! any window. A node spends a part of what it has seen itself, and its share of the fixed number.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use filbertwheel_core::{ServiceId, value};

/// Slices that a window is counted in.
const SLICES: u32 = 20;
/// Part of what is allowed that's used, which leaves room for what others see differently.
const USED_PART: f64 = 0.75;

/// What the fleet may repeat.
#[value]
#[derive(Copy)]
pub struct RetryLimits {
    /// Repeats for each thousand requests.
    pub per_mille: u32,
    /// Repeats besides, over the whole fleet.
    pub extra_retries: u32,
    /// The window that both are counted in.
    pub window: Duration,
}

/// Counts requests and repeats by service.
#[derive(Debug)]
pub struct RetryBudget {
    terms: RetryLimits,
    services: BTreeMap<ServiceId, VecDeque<Slice>>,
}

#[derive(Debug)]
struct Slice {
    until: Instant,
    requests: f64,
    repeats: f64,
}

impl RetryBudget {
    /// A budget under these terms.
    pub fn open(terms: RetryLimits) -> Self {
        Self {
            terms,
            services: BTreeMap::new(),
        }
    }

    /// Takes note of a request for a service.
    pub fn record_request(&mut self, service: &ServiceId, now: Instant) {
        self.slice(service, now).requests += 1.0;
    }

    /// Spends repeats at all of some services, or at none. `nodes` is the size of the fleet.
    pub fn try_spend(&mut self, visits: &[(ServiceId, f64)], nodes: usize, now: Instant) -> bool {
        let share = f64::from(self.terms.extra_retries) * USED_PART / nodes.max(1) as f64;
        let ratio = f64::from(self.terms.per_mille) / 1_000.0 * USED_PART;
        let fits = visits.iter().all(|(service, calls)| {
            self.slice(service, now);
            let slices = self.services.get(service).into_iter().flatten();
            let (requests, repeats) = slices.fold((0.0, 0.0), |(requests, repeats), slice| {
                (requests + slice.requests, repeats + slice.repeats)
            });
            repeats + calls <= share + ratio * requests
        });
        if fits {
            for (service, calls) in visits {
                self.slice(service, now).repeats += calls;
            }
        }
        fits
    }

    fn slice(&mut self, service: &ServiceId, now: Instant) -> &mut Slice {
        let window = self.terms.window;
        let width = window / SLICES;
        let slices = self.services.entry(service.clone()).or_default();
        // A slice counts until a whole window has passed since its end.
        while slices
            .front()
            .is_some_and(|slice| slice.until + window < now)
        {
            slices.pop_front();
        }
        if slices.back().is_none_or(|slice| slice.until <= now) {
            slices.push_back(Slice {
                until: now + width,
                requests: 0.0,
                repeats: 0.0,
            });
        }
        let last = slices.len() - 1;
        &mut slices[last]
    }
}
