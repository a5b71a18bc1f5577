//! Bounds on retries.

use std::collections::HashMap;
use std::time::Duration;

use filbertwheel_core::ServiceId;

/// Retries that a call and everything below it may spend together.
pub const RETRIES_PER_CALL: u32 = 3;

/// Retries that a success earns.
const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Retries that can be saved up.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Shortest pause that a refused caller is asked for.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Longest pause before jitter that a refused caller is asked for.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Keeps retries towards one service to a ratio of its successes.
#[derive(Debug, Clone)]
pub struct RetryThrottle {
    available: f64,
}

impl RetryThrottle {
    /// A ratio with its savings full.
    pub fn full() -> Self {
        Self {
            available: MAX_SAVED_RETRIES,
        }
    }

    /// Takes note of a success.
    pub fn record_success(&mut self) {
        self.available = (self.available + RETRIES_PER_SUCCESS).min(MAX_SAVED_RETRIES);
    }

    /// Spends a retry, if there's one.
    pub fn try_spend(&mut self) -> bool {
        let is_available = self.available >= 1.0;
        if is_available {
            self.available -= 1.0;
        }
        is_available
    }
}

/// The ratios of all services that one node sends to.
#[derive(Debug, Default)]
pub struct RetryThrottles {
    throttles: HashMap<ServiceId, RetryThrottle>,
}

impl RetryThrottles {
    /// Takes note of a success.
    pub fn record_success(&mut self, service: &ServiceId) {
        self.throttle(service).record_success();
    }

    /// Spends a retry towards a service, if there's one.
    pub fn try_spend(&mut self, service: &ServiceId) -> bool {
        self.throttle(service).try_spend()
    }

    /// Drops services that `keep` doesn't hold.
    pub fn retain(&mut self, mut keep: impl FnMut(&ServiceId) -> bool) {
        self.throttles.retain(|service, _| keep(service));
    }

    fn throttle(&mut self, service: &ServiceId) -> &mut RetryThrottle {
        let throttle = self.throttles.entry(service.clone());
        throttle.or_insert_with(RetryThrottle::full)
    }
}

/// When a refused call may come again: `wait` and up to as much again, so that callers spread out.
/// `jitter` is from 0 to 1.
pub fn retry_after(wait: Duration, jitter: f64) -> Duration {
    let wait = wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    wait + wait.mul_f64(jitter.clamp(0.0, 1.0))
}
