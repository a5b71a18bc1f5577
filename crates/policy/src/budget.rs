//! Retry budget of one node for each service.
//!
//! In any window, the fleet may send a ratio of a service's requests as retries, and a fixed number
//! of extra retries. A node applies the ratio to the requests that it has seen itself, and divides
//! the extra retries by the size of the fleet.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use filbertwheel_core::{ServiceId, value};

/// Number of slices that a window is divided into.
const SLICES_PER_WINDOW: u32 = 20;
/// Fraction of the allowed retries that is used. The rest is a margin for differences between
/// the views of the nodes.
const USED_FRACTION: f64 = 0.75;

/// Limits on the retries of the fleet.
#[value]
#[derive(Copy)]
pub struct RetryLimits {
    /// Retries per thousand requests.
    pub per_mille: u32,
    /// Additional retries of the whole fleet.
    pub extra_retries: u32,
    /// Window that both limits apply to.
    pub window: Duration,
}

/// Counts requests and retries of each service over a sliding window.
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
    /// Creates a budget with the given limits.
    pub fn open(limits: RetryLimits) -> Self {
        Self {
            limits,
            services: BTreeMap::new(),
        }
    }

    /// Records a request to a service.
    pub fn record_request(&mut self, service: &ServiceId, now: Instant) {
        self.current_slice(service, now).requests += 1.0;
    }

    /// Spends the given number of retries at each of the given services, or none at any of them.
    /// Returns whether they were spent. `nodes` is the size of the fleet.
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

    /// Returns the slice that counts at `now`, after expired ones were dropped.
    fn current_slice(&mut self, service: &ServiceId, now: Instant) -> &mut Slice {
        let window = self.limits.window;
        let width = window / SLICES_PER_WINDOW;
        let slices = self.services.entry(service.clone()).or_default();
        // A slice counts until a full window has passed since its end.
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
