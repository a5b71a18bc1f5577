//! The longest recent time that requests of each route have taken.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use filbertwheel_core::RouteId;

/// Length of a period. A time is remembered for one to two periods.
const PERIOD: Duration = Duration::from_secs(60);

/// Longest recent time by route.
#[derive(Debug, Default)]
pub struct LongestTimes {
    /// Of the present period, and of the one before.
    current: HashMap<RouteId, Duration>,
    previous: HashMap<RouteId, Duration>,
    began: Option<Instant>,
}

impl LongestTimes {
    /// Returns the longest recent time of a route; `None` if it had no request.
    pub fn get(&self, route: &RouteId) -> Option<Duration> {
        self.current
            .get(route)
            .max(self.previous.get(route))
            .copied()
    }

    /// Records the time that a request has taken.
    pub fn record(&mut self, route: &RouteId, elapsed: Duration, now: Instant) {
        let began = *self.began.get_or_insert(now);
        if now.saturating_duration_since(began) >= PERIOD {
            self.previous = std::mem::take(&mut self.current);
            self.began = Some(now);
        }
        match self.current.get_mut(route) {
            Some(longest) => *longest = elapsed.max(*longest),
            None => {
                self.current.insert(route.clone(), elapsed);
            }
        }
    }
}
