//! Load of a service that the learnt costs don't explain yet.
//!
//! At the start of a load, requests are let in before the first of them has ended, so that nothing
//! is known about their calls. The calls that are in flight at each service are known, though. As
//! long as the learnt costs explain less than half of them, every caller's request counts as one that
//! needs the service. Calls follow their request with a delay, so the service is judged by
//! the calls that will soon be in flight.

use std::collections::BTreeMap;
use std::time::Duration;

use filbertwheel_core::ServiceId;

use crate::Capacity;

/// Time for which the calls in flight are extrapolated.
const LEAD_TIME: Duration = Duration::from_millis(400);
/// Fraction of the calls in flight that the learnt costs must explain.
const EXPLAINED_FRACTION: f64 = 0.5;
/// Time from the first call to a service after which the learnt costs count in any case. Calls that
/// they don't explain then wait for another reason, such as a slow backend server.
const LEARNING_TIME: Duration = Duration::from_secs(3);

/// Finds the services whose load isn't explained yet.
#[derive(Debug, Default)]
pub(crate) struct UnlearntLoads {
    services: BTreeMap<ServiceId, Learning>,
}

#[derive(Debug, Default)]
struct Learning {
    /// Time since the first call.
    age: Duration,
    /// Calls in flight at the last plan, if there was one.
    in_flight: Option<f64>,
    done: bool,
}

impl UnlearntLoads {
    /// Returns the slots that calls to a service will soon need, if the learnt costs, by which the
    /// demand needs `explained` slots, don't explain its load yet.
    pub fn expected(
        &mut self,
        service: &ServiceId,
        capacity: Capacity,
        explained: f64,
        elapsed: Duration,
    ) -> Option<f64> {
        let learning = self.services.entry(service.clone()).or_default();
        if learning.done {
            return None;
        }
        let before = learning.in_flight.replace(capacity.in_flight);
        let before = before.unwrap_or(capacity.in_flight);
        if before > 0.0 {
            learning.age += elapsed;
        }
        let rise = (capacity.in_flight - before).max(0.0) / elapsed.as_secs_f64().max(0.001);
        let expected = capacity.in_flight + rise * LEAD_TIME.as_secs_f64();
        let is_explained = explained >= expected * EXPLAINED_FRACTION;
        let is_loaded = capacity.in_flight >= capacity.slots * EXPLAINED_FRACTION;
        learning.done = learning.age >= LEARNING_TIME || (is_loaded && is_explained);
        (!learning.done && !is_explained).then_some(expected)
    }
}
