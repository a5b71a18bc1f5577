//! Synthetic fleets of any size.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use filbertwheel_core::{
    Change, Configuration, Criticality, Demand, Edit, Heartbeat, Member, OrganisationId, Rate,
    Route, Status, Text, sha256_hex,
};

/// Members per service, as in the largest fleet: 2,400 members in 440 services.
const MEMBERS_PER_SERVICE: usize = 5;
/// Number of failure domains.
const DOMAINS: usize = 4;

/// Returns the member with this number.
pub fn member(number: usize) -> Member {
    Member {
        vm: format!("vm-{number:05}").into(),
        incarnation: 1_760_000_000_000 + number as u64,
        region: "lahore".into(),
        domain: format!("domain-{}", number % DOMAINS).into(),
        service: Some(format!("service-{:03}", number / MEMBERS_PER_SERVICE).into()),
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7_002),
        slots: 50,
        status: Status::Serving,
    }
}

/// Returns the id of the organisation with this number.
pub fn organisation(number: usize) -> OrganisationId {
    format!("organisation-{number:04}").into()
}

/// Returns the heartbeat of member `number` with demand from `organisations` organisations.
pub fn heartbeat(number: usize, organisations: usize) -> Heartbeat {
    let demands = (0..organisations)
        .map(|index| Demand {
            organisation: organisation(index),
            rate: 1.0 + (index as f64) / 3.0,
            held: 1_000_003 * (index as u64 + 1),
        })
        .collect();
    Heartbeat {
        member: member(number),
        number: 1,
        since: 0,
        members: Vec::new(),
        heard: 0,
        fence: 1,
        config: 1,
        roster: 0,
        demands,
    }
}

/// Returns a configuration with `organisations` organisations, each with two keys and a route.
pub fn configuration(organisations: usize) -> Configuration {
    let mut config = Configuration::default();
    for index in 0..organisations {
        for edit in edits(index) {
            let version = config.version + 1;
            let command = Text::from(format!("{version:032x}"));
            let applied = config.apply(&Change {
                version,
                command,
                edit,
            });
            assert!(applied.is_ok(), "edits of a synthetic fleet are valid");
        }
    }
    config
}

fn edits(index: usize) -> Vec<Edit> {
    let name = organisation(index);
    let key = |half: usize| Edit::AddKey {
        hash: sha256_hex(format!("{index}-{half}").as_bytes()),
        organisation: name.clone(),
    };
    let route = Route {
        service: format!("service-{index:03}").into(),
        method: None,
        prefix: "/".into(),
        criticality: Criticality::Normal,
        idempotent: true,
        open: false,
    };
    let limit = Rate {
        rate: 100.0,
        burst: 200.0,
    };
    vec![
        Edit::SetOrganisation {
            name: name.clone(),
            limit,
        },
        key(0),
        key(1),
        Edit::SetRoute {
            name: format!("route-{index:03}").into(),
            route,
        },
    ]
}
