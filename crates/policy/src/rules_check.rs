//! Findings in operators' rules that are valid but can't be meant: entries that can never take effect,
//! and statements that contradict each other.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derive_more::Display;
use filbertwheel_core::{OrganisationId, RouteId, RouteRule, Rules, ServiceId, Text, value};

use crate::AllowedRegions;

/// Something in valid rules that can't be meant.
#[value]
#[derive(PartialOrd, Ord, Display)]
pub enum RulesFinding {
    /// Several routes have the same name.
    #[display("route {route}: several routes have this name; give each a name of its own")]
    DuplicateRoute {
        /// Name of the routes.
        route: RouteId,
    },
    /// An earlier route takes all requests that this one would get.
    #[display("route {route}: never matches, since route {earlier} has the same host and prefix")]
    UnreachableRoute {
        /// Route that gets no requests.
        route: RouteId,
        /// Route that takes them.
        earlier: RouteId,
    },
    /// The route is of a kind that this version doesn't know.
    #[display("route {route}: its kind is unknown, so its requests run at most once")]
    UnknownKind {
        /// The route.
        route: RouteId,
    },
    /// The route sends requests to a service that isn't listed, though others are.
    #[display("route {route}: service {service} isn't listed; list it or correct its name")]
    UnlistedService {
        /// The route.
        route: RouteId,
        /// The service.
        service: ServiceId,
    },
    /// One of the services of the route never gets a request.
    #[display("route {route}: service {service} gets nothing, since its weight is 0")]
    ZeroWeight {
        /// The route.
        route: RouteId,
        /// The service.
        service: ServiceId,
    },
    /// Requests are given up before the latency objective has passed.
    #[display(
        "route {route}: gives up after {timeout:?}, before its latency objective of {objective:?}"
    )]
    TimeoutBelowObjective {
        /// The route.
        route: RouteId,
        /// Maximum time until the caller gets a response.
        timeout: Duration,
        /// Latency objective.
        objective: Duration,
    },
    /// No route sends requests to a listed service.
    #[display("service {service}: no route sends requests to it")]
    UnusedService {
        /// The service.
        service: ServiceId,
    },
    /// The organisation has no key, so it can only send requests that need none.
    #[display("organisation {organisation}: has no key")]
    OrganisationWithoutKey {
        /// The organisation.
        organisation: OrganisationId,
    },
    /// All requests of the organisation on the route are refused.
    #[display(
        "organisation {organisation}: is refused on route {route}, as they share no home region"
    )]
    NoCommonHome {
        /// The organisation.
        organisation: OrganisationId,
        /// The route.
        route: RouteId,
    },
}

/// Returns what can't be meant in valid rules, in a stable order.
pub fn check_rules(rules: &Rules) -> Vec<RulesFinding> {
    let mut findings = BTreeSet::new();
    check_reachability(rules, &mut findings);
    for rule in rules.all_routes() {
        check_route(rules, rule, &mut findings);
    }
    let unknown = rules.unknown_kinds.iter().cloned();
    findings.extend(unknown.map(|route| RulesFinding::UnknownKind { route }));
    check_services(rules, &mut findings);
    check_organisations(rules, &mut findings);
    findings.into_iter().collect()
}

/// Finds routes that another one hides, and names that several routes have.
fn check_reachability(rules: &Rules, findings: &mut BTreeSet<RulesFinding>) {
    let mut first: BTreeMap<(&Text, &Text), &RouteId> = BTreeMap::new();
    let mut names = BTreeSet::new();
    for rule in rules.all_routes() {
        let route = rule.id.clone();
        if !names.insert(&rule.id) {
            findings.insert(RulesFinding::DuplicateRoute {
                route: route.clone(),
            });
        }
        let earlier = *first.entry((&rule.host, &rule.prefix)).or_insert(&rule.id);
        if earlier != &rule.id {
            let earlier = earlier.clone();
            findings.insert(RulesFinding::UnreachableRoute { route, earlier });
        }
    }
}

fn check_route(rules: &Rules, rule: &RouteRule, findings: &mut BTreeSet<RulesFinding>) {
    let route = || rule.id.clone();
    for target in &rule.targets {
        let service = || target.service.clone();
        if !rules.services.is_empty() && !rules.services.contains_key(&target.service) {
            findings.insert(RulesFinding::UnlistedService {
                route: route(),
                service: service(),
            });
        }
        if target.weight == 0 {
            findings.insert(RulesFinding::ZeroWeight {
                route: route(),
                service: service(),
            });
        }
    }
    if let Some(timeout) = rule.timeout.filter(|timeout| *timeout < rule.objective) {
        findings.insert(RulesFinding::TimeoutBelowObjective {
            route: route(),
            timeout,
            objective: rule.objective,
        });
    }
}

fn check_services(rules: &Rules, findings: &mut BTreeSet<RulesFinding>) {
    let targets = rules.all_routes().flat_map(|rule| &rule.targets);
    let used: BTreeSet<&ServiceId> = targets.map(|target| &target.service).collect();
    let unused = rules.services.keys().filter(|one| !used.contains(one));
    findings.extend(unused.map(|service| RulesFinding::UnusedService {
        service: service.clone(),
    }));
}

fn check_organisations(rules: &Rules, findings: &mut BTreeSet<RulesFinding>) {
    let with_key: BTreeSet<&OrganisationId> = rules.keys.values().collect();
    for organisation in rules.organisations.keys() {
        let name = || organisation.clone();
        if !with_key.contains(organisation) {
            findings.insert(RulesFinding::OrganisationWithoutKey {
                organisation: name(),
            });
        }
        let closed = rules.all_routes().filter(|rule| !rule.open);
        let homeless = closed
            .filter(|rule| AllowedRegions::of(rules, Some(rule), Some(organisation)).is_empty());
        findings.extend(homeless.map(|rule| RulesFinding::NoCommonHome {
            organisation: name(),
            route: rule.id.clone(),
        }));
    }
}
