//! What would not fit if a failure domain were evacuated.

use std::collections::{BTreeMap, BTreeSet};

use filbertwheel_core::DomainId;
use filbertwheel_policy::{BackendCapacity, headroom};

fn server(domain: &'static str, service: &'static str, in_flight: f64) -> BackendCapacity {
    BackendCapacity {
        domain: domain.into(),
        service: service.into(),
        slots: 10.0,
        in_flight,
    }
}

// Guards against an answer that counts the slots of domains which are evacuated already, leaves the calls
// out that have to move, or trusts an idle moment over the demand.
#[test]
fn the_rest_of_the_fleet_has_to_take_demand_and_calls_in_flight() {
    let servers = [
        server("east", "rounds", 6.0),
        server("west", "rounds", 7.0),
        server("north", "rounds", 0.0),
        server("east", "desk", 1.0),
    ];
    let demand = BTreeMap::from([("rounds".into(), 8.0), ("desk".into(), 3.0)]);
    let lacking = |evacuated: &[&'static str], domain: &'static str| -> Vec<f64> {
        let evacuated: BTreeSet<DomainId> = evacuated.iter().map(|one| (*one).into()).collect();
        let rooms = headroom(&servers, &evacuated, &demand);
        let rooms = rooms.get(&DomainId::from(domain)).into_iter().flatten();
        rooms.map(|room| room.lacking).collect()
    };
    // By service: desk, rounds.
    assert_eq!(lacking(&[], "east"), [3.0, 0.0]);
    assert_eq!(lacking(&[], "west"), [0.0]);
    assert_eq!(lacking(&["north"], "west"), [3.0]);
    assert_eq!(lacking(&["west", "north"], "east"), [3.0, 13.0]);
    assert!(lacking(&["west"], "west").is_empty());
}
