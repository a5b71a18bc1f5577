//! Status document for operators: evacuated failure domains, and what would not fit if one were evacuated
//! now.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use filbertwheel_core::{DomainId, StorePosition};
use filbertwheel_policy::{BackendCapacity, Headroom, headroom};
use serde::Serialize;

use crate::control::usable_slots;
use crate::engine::Engine;
use crate::snapshots::{Snapshot, Target};

/// What an operator sees of a node's view of the fleet.
#[derive(Debug, Serialize)]
struct StatusDocument {
    /// Failure domain of this node.
    domain: String,
    /// Position in the store up to which this node knows the operators' rows.
    store: StorePosition,
    evacuated: Vec<EvacuatedDomain>,
    /// What is left without each domain that isn't evacuated.
    if_evacuated: Vec<RemainingCapacity>,
}

#[derive(Debug, Serialize)]
struct EvacuatedDomain {
    domain: String,
    /// Seconds since a node first learnt of the evacuation.
    since_s: f64,
    /// Whether its backend servers get no calls any more.
    effective: bool,
    /// Position of the row that asks for it.
    store: StorePosition,
    /// Number of backend servers there that are known.
    servers: usize,
}

#[derive(Debug, Serialize)]
struct RemainingCapacity {
    domain: String,
    fits: bool,
    services: Vec<RemainingSlots>,
}

#[derive(Debug, Serialize)]
struct RemainingSlots {
    service: String,
    /// Slots without the domain.
    slots: f64,
    /// Calls that run or are queued, in all domains.
    in_flight: f64,
    /// Slots that the demand of callers occupies on average.
    demand: f64,
    /// Slots that are lacking.
    lacking: f64,
}

impl Engine {
    /// Returns the status document as JSON.
    pub(crate) fn status_text(&self) -> String {
        let snapshot = self.snapshots.load();
        let document = self.status_document(&snapshot, self.clock.now());
        serde_json::to_string_pretty(&document).unwrap_or_else(|error| {
            tracing::error!("engine: The status document can't be encoded: {error}.");
            String::new()
        })
    }

    fn status_document(&self, snapshot: &Snapshot, now: Instant) -> StatusDocument {
        let servers = self.server_capacities(snapshot);
        let evacuated: BTreeSet<DomainId> = snapshot.evacuated_domains.keys().cloned().collect();
        let in_force = snapshot.evacuated_domains.iter();
        let remaining = headroom(&servers, &evacuated, &snapshot.demanded_slots);
        StatusDocument {
            domain: snapshot.local_member.domain.to_string(),
            store: snapshot.known_evacuations.as_of(),
            evacuated: in_force
                .map(|(domain, evacuation)| EvacuatedDomain {
                    domain: domain.to_string(),
                    effective: now >= evacuation.effective,
                    since_s: now
                        .saturating_duration_since(evacuation.since)
                        .as_secs_f64(),
                    store: evacuation.position,
                    servers: servers.iter().filter(|one| one.domain == *domain).count(),
                })
                .collect(),
            if_evacuated: remaining_capacities(remaining),
        }
    }

    /// Returns the capacities of all serving backend servers, as this node knows them.
    fn server_capacities(&self, snapshot: &Snapshot) -> Vec<BackendCapacity> {
        let services = snapshot.services.iter();
        let servers = services
            .flat_map(|(service, targets)| targets.iter().map(move |target| (service, target)));
        let capacity = |target: &Target| {
            let load = match &target.link {
                None => self.runner.load(),
                Some(link) => link.view(target.distance).load,
            };
            let slots = usable_slots(&target.member, &load);
            (f64::from(slots), f64::from(load.running + load.queued))
        };
        servers
            .map(|(service, target)| {
                let (slots, in_flight) = capacity(target);
                BackendCapacity {
                    domain: target.member.domain.clone(),
                    service: service.clone(),
                    slots,
                    in_flight,
                }
            })
            .collect()
    }
}

fn remaining_capacities(remaining: BTreeMap<DomainId, Vec<Headroom>>) -> Vec<RemainingCapacity> {
    let slots = |headroom: Headroom| RemainingSlots {
        service: headroom.service.to_string(),
        slots: headroom.slots,
        in_flight: headroom.in_flight,
        demand: headroom.demand,
        lacking: headroom.lacking,
    };
    let domains = remaining.into_iter();
    domains
        .map(|(domain, services)| RemainingCapacity {
            domain: domain.to_string(),
            fits: services.iter().all(|headroom| headroom.lacking <= 0.0),
            services: services.into_iter().map(slots).collect(),
        })
        .collect()
}
