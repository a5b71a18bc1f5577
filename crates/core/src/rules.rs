//! The rules in force: what operators have laid down, in the form that requests are judged by.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use filbertwheel_macros::{message, value};

use crate::{OrganisationId, Priority, Rate, RouteId, ServiceId, Text, Version};

/// A version of everything that operators have laid down.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Rules {
    /// The version; later ones are larger.
    pub version: Version,
    /// Organisations by name.
    pub organisations: BTreeMap<OrganisationId, OrganisationPolicy>,
    /// Which organisation a key stands for.
    pub keys: HashMap<Text, OrganisationId>,
    /// Bounds on what callers send.
    pub limits: RequestLimits,
    /// Routes by host, those with longer prefixes first.
    by_host: HashMap<Text, Vec<Arc<RouteRule>>>,
    /// Routes by name.
    by_id: HashMap<RouteId, Arc<RouteRule>>,
}

/// What an organisation may use.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OrganisationPolicy {
    /// Rate and burst over the whole fleet; `None` where there's no limit.
    pub limit: Option<Rate>,
    /// Priority that goes before those of the routes; 0 is the highest.
    pub priority: Option<Priority>,
}

/// How requests to one host and prefix are treated.
#[value]
pub struct RouteRule {
    /// Name of the route.
    pub id: RouteId,
    /// Host that it's for, in lower case; empty for all hosts.
    pub host: Text,
    /// Start of the paths that it covers.
    pub prefix: Text,
    /// Services that its requests are spread over, with their weights.
    pub targets: Vec<Target>,
    /// Whether its requests may run twice.
    pub idempotent: bool,
    /// Whether it's open to callers without a key.
    pub open: bool,
    /// How much its requests matter; 0 is the highest.
    pub priority: Priority,
    /// Longest time that a caller is kept waiting; `None` where there's no bound.
    pub timeout: Option<Duration>,
    /// Time within which an answer has its full worth.
    pub objective: Duration,
    /// Backend servers that one request may be sent to, at most.
    pub max_attempts: u32,
}

/// The order in which requests are taken where there isn't room for all; the least goes first.
#[message]
#[derive(Copy, Eq, PartialOrd, Ord, Hash)]
pub struct Rank {
    /// Priority of the organisation, or of the route where the organisation has none.
    pub organisation: Priority,
    /// Priority of the route, which decides among organisations of one priority.
    pub route: Priority,
}

/// One of the services that a route leads to.
#[value]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its part of the requests, next to the other targets' weights.
    pub weight: u32,
}

/// Bounds on what callers send.
#[value]
#[derive(Copy)]
pub struct RequestLimits {
    /// Largest head in bytes.
    pub head_bytes: usize,
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// How long a head may take to arrive.
    pub head_timeout: Duration,
    /// How long a connection may be idle between requests.
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
    /// Rules with these routes, and nothing else.
    pub fn open(version: Version, routes: impl IntoIterator<Item = RouteRule>) -> Self {
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

    /// The route of a request: of its host, the one with the longest prefix that begins the path.
    pub fn route(&self, host: &[u8], path: &[u8]) -> Option<&Arc<RouteRule>> {
        let host = host.to_ascii_lowercase();
        let exact = self.by_host.get(host.as_slice());
        let routes = exact.or_else(|| self.by_host.get(&[][..]))?;
        routes
            .iter()
            .find(|candidate| path.starts_with(candidate.prefix.as_bytes()))
    }

    /// A route by its name.
    pub fn route_by_id(&self, id: &RouteId) -> Option<&Arc<RouteRule>> {
        self.by_id.get(id)
    }

    /// All routes, in no order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<RouteRule>> {
        self.by_id.values()
    }

    /// The rank of an organisation's requests on a route.
    pub fn rank(&self, route: &RouteRule, organisation: Option<&OrganisationId>) -> Rank {
        let policy = organisation.and_then(|name| self.organisations.get(name));
        let priority = policy.and_then(|policy| policy.priority);
        Rank {
            organisation: priority.unwrap_or(route.priority),
            route: route.priority,
        }
    }

    /// Rate and burst of an organisation, where it has a limit.
    pub fn limit(&self, organisation: &OrganisationId) -> Option<Rate> {
        self.organisations.get(organisation)?.limit
    }
}
