//! Limits on retries.

use std::collections::HashMap;
use std::time::Duration;

use filbertwheel_core::ServiceId;

/// Maximum number of retries of a call together with all calls nested in it.
pub const RETRIES_PER_CALL: u32 = 3;

/// Retries added to the throttle by each success.
const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Maximum number of retries available at once.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Minimum delay that a refused caller is asked to wait.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum delay, before jitter, that a refused caller is asked to wait.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Limits the retries to one service to a ratio of its successes.
#[derive(Debug, Clone)]
pub struct RetryThrottle {
    available: f64,
}

impl RetryThrottle {
    /// Creates a throttle with the maximum number of retries available.
    pub fn full() -> Self {
        Self {
            available: MAX_SAVED_RETRIES,
        }
    }

    /// Records a success.
    pub fn record_success(&mut self) {
        self.available = (self.available + RETRIES_PER_SUCCESS).min(MAX_SAVED_RETRIES);
    }

    /// Spends a retry if one is available. Returns whether it did.
    pub fn try_spend(&mut self) -> bool {
        let is_available = self.available >= 1.0;
        if is_available {
            self.available -= 1.0;
        }
        is_available
    }
}

/// Throttles of all services that one node sends to.
#[derive(Debug, Default)]
pub struct RetryThrottles {
    throttles: HashMap<ServiceId, RetryThrottle>,
}

impl RetryThrottles {
    /// Records a success of a service.
    pub fn record_success(&mut self, service: &ServiceId) {
        self.throttle(service).record_success();
    }

    /// Spends a retry to a service if one is available. Returns whether it did.
    pub fn try_spend(&mut self, service: &ServiceId) -> bool {
        self.throttle(service).try_spend()
    }

    /// Drops the services for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&ServiceId) -> bool) {
        self.throttles.retain(|service, _| keep(service));
    }

    fn throttle(&mut self, service: &ServiceId) -> &mut RetryThrottle {
        let throttle = self.throttles.entry(service.clone());
        throttle.or_insert_with(RetryThrottle::full)
    }
}

/// Returns the delay after which a refused call may be retried: `wait`, clamped, and up to as much
/// again as jitter, so that retries spread out. `jitter` is a random number from 0 to 1.
pub fn retry_after(wait: Duration, jitter: f64) -> Duration {
    let wait = wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    wait + wait.mul_f64(jitter.clamp(0.0, 1.0))
}
