//! The operators' rules in the form in which they are applied to requests.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use filbertwheel_macros::{message, value};

use crate::{
    OrganisationId, Priority, Rate, RegionId, RequestRate, RouteId, ServiceId, Text, Version,
};

/// A version of the operators' configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Rules {
    /// Version number; later versions are larger.
    pub version: Version,
    /// Organisations by name.
    pub organisations: BTreeMap<OrganisationId, OrganisationPolicy>,
    /// Organisations by API key.
    pub keys: HashMap<Text, OrganisationId>,
    /// Limits on callers' requests.
    pub limits: RequestLimits,
    /// What operators state about services, by name. Services without any such statement are missing.
    pub services: BTreeMap<ServiceId, ServicePolicy>,
    /// Routes of a kind that this version doesn't know. Their requests are run at most once.
    pub unknown_kinds: Vec<RouteId>,
    /// Routes by host, sorted by descending length of the prefix.
    by_host: HashMap<Text, Vec<Arc<RouteRule>>>,
    /// Routes by name.
    by_id: HashMap<RouteId, Arc<RouteRule>>,
}

/// Rate limit, priority and home regions of an organisation.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OrganisationPolicy {
    /// Rate limit over the whole fleet; `None` means unlimited.
    pub limit: Option<Rate>,
    /// Priority that takes precedence over the routes' priorities; 0 is the highest.
    pub priority: Option<Priority>,
    /// Regions in which its requests may be processed; empty if they may be processed in any.
    pub homes: Vec<RegionId>,
}

/// What operators state about a service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServicePolicy {
    /// How its backend servers warm up; `None` if they take their full load from the start.
    pub warmup: Option<Warmup>,
}

/// How a backend server warms up after it has started.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Warmup {
    /// Requests per second that it takes from all nodes together while it is cold.
    pub rate: RequestRate,
    /// How long it usually stays cold.
    pub time: Duration,
}

/// Settings for the requests that match a host and a path prefix.
#[value]
pub struct RouteRule {
    /// Name of the route.
    pub id: RouteId,
    /// Host in lower case; empty matches all hosts.
    pub host: Text,
    /// Path prefix that it matches.
    pub prefix: Text,
    /// Services that the requests are distributed to, with their weights.
    pub targets: Vec<Target>,
    /// Whether it is safe to run a request more than once.
    pub idempotent: bool,
    /// Whether callers need no key.
    pub open: bool,
    /// Priority of the requests; 0 is the highest.
    pub priority: Priority,
    /// Maximum time until the caller gets a response; `None` means unlimited.
    pub timeout: Option<Duration>,
    /// Latency objective: a response within this time keeps its full value.
    pub objective: Duration,
    /// Maximum number of backend servers that one request is sent to.
    pub max_attempts: u32,
    /// Regions in which its requests may be processed; empty if they may be processed in any.
    pub homes: Vec<RegionId>,
}

/// Order in which requests are admitted when capacity is short; the smallest rank goes first.
#[message]
#[derive(Copy, Eq, PartialOrd, Ord, Hash)]
pub struct Rank {
    /// Priority of the organisation, or of the route if the organisation has none.
    pub organisation: Priority,
    /// Priority of the route, which orders requests of organisations with equal priority.
    pub route: Priority,
}

/// One of the services that a route distributes its requests to.
#[value]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Share of the requests relative to the weights of the other targets.
    pub weight: u32,
}

/// Limits on callers' requests.
#[value]
#[derive(Copy)]
pub struct RequestLimits {
    /// Maximum size of the head in bytes.
    pub head_bytes: usize,
    /// Maximum size of the body in bytes.
    pub body_bytes: usize,
    /// Maximum time for a head to arrive.
    pub head_timeout: Duration,
    /// Maximum idle time of a connection between requests.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 8 * 1024 * 1024,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

impl std::fmt::Display for Rank {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.organisation, self.route)
    }
}

impl Rules {
    /// Creates rules that contain only these routes.
    pub fn with_routes(version: Version, routes: impl IntoIterator<Item = RouteRule>) -> Self {
        let mut rules = Self {
            version,
            ..Self::default()
        };
        for route in routes {
            let route = Arc::new(route);
            rules.by_id.insert(route.id.clone(), Arc::clone(&route));
            rules
                .by_host
                .entry(route.host.clone())
                .or_default()
                .push(route);
        }
        for routes in rules.by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.as_bytes().len()));
        }
        rules
    }

    /// Returns the route of a request: the one with the longest matching prefix among the routes of
    /// its host, or among those for all hosts if no route names the host.
    pub fn route(&self, host: &[u8], path: &[u8]) -> Option<&Arc<RouteRule>> {
        let host = host.to_ascii_lowercase();
        let exact = self.by_host.get(host.as_slice());
        let routes = exact.or_else(|| self.by_host.get(&[][..]))?;
        routes
            .iter()
            .find(|candidate| path.starts_with(candidate.prefix.as_bytes()))
    }

    /// Returns a route by its name.
    pub fn route_by_id(&self, id: &RouteId) -> Option<&Arc<RouteRule>> {
        self.by_id.get(id)
    }

    /// Returns all routes in unspecified order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<RouteRule>> {
        self.by_id.values()
    }

    /// Returns all routes by host and descending length of the prefix, also those whose name another one
    /// has. Of equal prefixes, the first one matches.
    pub fn all_routes(&self) -> impl Iterator<Item = &Arc<RouteRule>> {
        let hosts: BTreeMap<&Text, &Vec<Arc<RouteRule>>> = self.by_host.iter().collect();
        hosts.into_values().flatten()
    }

    /// Returns the rank of an organisation's requests on a route.
    pub fn rank(&self, route: &RouteRule, organisation: Option<&OrganisationId>) -> Rank {
        let policy = organisation.and_then(|name| self.organisations.get(name));
        let priority = policy.and_then(|policy| policy.priority);
        Rank {
            organisation: priority.unwrap_or(route.priority),
            route: route.priority,
        }
    }

    /// Returns the rate limit of an organisation, if it has one.
    pub fn limit(&self, organisation: &OrganisationId) -> Option<Rate> {
        self.organisations.get(organisation)?.limit
    }
}
