//! Attempts to run a request on a backend server.

use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertwheel_macros::value;

use crate::{Header, Method, OrganisationId, Priority, RequestId, RouteId, ServiceId, Text};

/// One attempt to run a request on a backend server of a service.
#[value]
pub struct Attempt {
    /// Id that the sender chose for the request, passed unchanged to the backend server.
    pub request: RequestId,
    /// The route that matched the request.
    pub route: RouteId,
    /// The service that handles the request.
    pub service: ServiceId,
    /// The organisation that sent the request; `None` on an open route.
    pub organisation: Option<OrganisationId>,
    /// Service of the VM that the request originates from.
    pub caller: ServiceId,
    /// Priority; 0 is the highest.
    pub priority: Priority,
    /// Whether it is safe to run the request more than once.
    pub idempotent: bool,
    /// Whether it is part of a running request. Refusing it would waste the work already done.
    pub nested: bool,
    /// When the backend server ends its work on the request.
    pub deadline: Instant,
    /// Latency objective: a response within this time keeps its full value.
    pub objective: Duration,
    /// HTTP method of the request.
    pub method: Method,
    /// Path and query.
    pub path: Text,
    /// Headers to forward.
    pub headers: Vec<Header>,
    /// The complete body.
    pub body: Bytes,
}

impl Attempt {
    /// Returns the time left until the deadline.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}
