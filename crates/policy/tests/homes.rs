//! Regions in which a request may be processed.

use std::time::Duration;

use filbertwheel_core::{OrganisationPolicy, RegionId, RouteRule, Rules, Target};
use filbertwheel_policy::{AllowedRegions, BackendLoad, BackendView, has_room};

fn regions(names: &[&'static str]) -> Vec<RegionId> {
    names.iter().map(|name| (*name).into()).collect()
}

fn route(homes: &[&'static str]) -> RouteRule {
    RouteRule {
        id: "sheets".into(),
        host: "rounds.example".into(),
        prefix: "/sheets/".into(),
        targets: vec![Target {
            service: "rounds".into(),
            weight: 1,
        }],
        idempotent: true,
        open: false,
        priority: 0,
        timeout: None,
        objective: Duration::from_secs(1),
        max_attempts: 2,
        homes: regions(homes),
    }
}

/// Returns the regions among three in which requests may be processed.
fn allowed(of_route: &[&'static str], of_organisation: &[&'static str]) -> Vec<&'static str> {
    let route = route(of_route);
    let mut rules = Rules::with_routes(1, [route.clone()]);
    let policy = OrganisationPolicy {
        homes: regions(of_organisation),
        ..OrganisationPolicy::default()
    };
    rules.organisations.insert("ward".into(), policy);
    let allowed = AllowedRegions::of(&rules, Some(&route), Some(&"ward".into()));
    let all = ["lahore", "multan", "quetta"];
    let contained: Vec<&str> = all
        .into_iter()
        .filter(|region| allowed.contains(&(*region).into()))
        .collect();
    assert_eq!(allowed.is_empty(), contained.is_empty());
    assert_eq!(
        allowed.is_unrestricted(),
        of_route.is_empty() && of_organisation.is_empty()
    );
    contained
}

// Guards against requests that are processed outside the homes of their route or their organisation, and
// against one of the two that overrules the other.
#[test]
fn homes_of_route_and_organisation_both_bind() {
    assert_eq!(allowed(&[], &[]), ["lahore", "multan", "quetta"]);
    assert_eq!(allowed(&["multan"], &[]), ["multan"]);
    assert_eq!(allowed(&[], &["lahore", "quetta"]), ["lahore", "quetta"]);
    assert_eq!(
        allowed(&["lahore", "multan"], &["multan", "quetta"]),
        ["multan"]
    );
    assert!(allowed(&["lahore"], &["quetta"]).is_empty());
}

// Guards against homes that a request on a route which this node doesn't know, or of an organisation that
// has left the rules, takes from elsewhere.
#[test]
fn what_the_rules_lack_has_no_homes() {
    let rules = Rules::with_routes(1, []);
    assert!(AllowedRegions::of(&rules, None, Some(&"ward".into())).is_unrestricted());
}

fn view(running: u32, queued: u32, pending: u32) -> BackendView {
    BackendView {
        load: BackendLoad {
            running,
            queued,
            slots: 8,
            ..BackendLoad::default()
        },
        pending,
        ..BackendView::default()
    }
}

// Guards against requests that are let in while the homes are full, whatever is free elsewhere, and against
// refusals while a slot there is free or about to be.
#[test]
fn homes_without_room_take_no_further_requests() {
    assert!(has_room([view(8, 0, 0), view(3, 0, 0)]));
    assert!(has_room([view(8, 1, 0), view(8, 1, 0)]));
    assert!(!has_room([view(8, 2, 0), view(8, 2, 0)]));
    assert!(!has_room([view(8, 0, 4), view(8, 0, 0)]));
    assert!(!has_room([]));
}
