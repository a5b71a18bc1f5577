//! How many repeats a node may send to each service.
//!
//! The whole fleet may repeat a part of the requests for a service, and a fixed number besides, in
//! any window. A node spends a part of what it has seen itself, and its share of the fixed number.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use filbertwheel_core::{ServiceId, value};

/// Slices that a window is counted in.
const SLICES_PER_WINDOW: u32 = 20;
/// Part of what is allowed that's used, which leaves room for what others see differently.
const USED_FRACTION: f64 = 0.75;

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
    limits: RetryLimits,
    services: BTreeMap<ServiceId, VecDeque<Slice>>,
}

#[derive(Debug)]
struct Slice {
    until: Instant,
    requests: f64,
    retries: f64,
}

impl RetryBudget {
    /// A budget under these terms.
    pub fn open(limits: RetryLimits) -> Self {
        Self {
            limits,
            services: BTreeMap::new(),
        }
    }

    /// Takes note of a request for a service.
    pub fn record_request(&mut self, service: &ServiceId, now: Instant) {
        self.current_slice(service, now).requests += 1.0;
    }

    /// Spends repeats at all of some services, or at none. `nodes` is the size of the fleet.
    pub fn try_spend(
        &mut self,
        calls_by_service: &[(ServiceId, f64)],
        nodes: usize,
        now: Instant,
    ) -> bool {
        let extra_retries =
            f64::from(self.limits.extra_retries) * USED_FRACTION / nodes.max(1) as f64;
        let ratio = f64::from(self.limits.per_mille) / 1_000.0 * USED_FRACTION;
        let is_within_limits = calls_by_service.iter().all(|(service, calls)| {
            self.current_slice(service, now);
            let slices = self.services.get(service).into_iter().flatten();
            let (requests, retries) = slices.fold((0.0, 0.0), |(requests, retries), slice| {
                (requests + slice.requests, retries + slice.retries)
            });
            retries + calls <= extra_retries + ratio * requests
        });
        if is_within_limits {
            for (service, calls) in calls_by_service {
                self.current_slice(service, now).retries += calls;
            }
        }
        is_within_limits
    }

    fn current_slice(&mut self, service: &ServiceId, now: Instant) -> &mut Slice {
        let window = self.limits.window;
        let width = window / SLICES_PER_WINDOW;
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
                retries: 0.0,
            });
        }
        let last = slices.len() - 1;
        &mut slices[last]
    }
}
