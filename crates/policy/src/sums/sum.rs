//! Sums over some nodes of the fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use filbertwheel_core::{Epoch, Fence, Rank, RouteId, RulesStamp, ServiceId, VmId, message};

use crate::{EvacuationReport, RouteDemand};

/// Maximum number of watchers of the store that a sum names.
const MAX_WATCHERS: usize = 8;

/// Measurements of some nodes, added up.
#[message]
#[derive(Default)]
pub struct FleetSums {
    /// Number of nodes.
    pub nodes: u32,
    /// Demand of callers by route and rank.
    pub demand: Vec<RouteDemand>,
    /// Capacity of each service.
    pub capacities: Vec<ServiceCapacity>,
    /// Stamp of the newest rules that are in force at any of the nodes.
    pub rules: RulesStamp,
    /// Highest epoch in which the store has responded to any of the nodes.
    pub epoch: Epoch,
    /// The lease holder, if it is one of the nodes.
    pub holder: Option<HolderNotice>,
    /// Nodes of one failure domain that watch the store.
    pub watchers: Vec<VmId>,
    /// What any of the nodes knows of evacuated failure domains.
    pub evacuations: EvacuationReport,
}

/// Capacity of a service and its present use.
#[message]
pub struct ServiceCapacity {
    /// The service.
    pub service: ServiceId,
    /// Slots of its serving backend servers.
    pub slots: f32,
    /// Calls that run or are queued there.
    pub in_flight: f32,
}

/// Notice of the lease holder that it holds the lease on the rate limits.
#[message]
pub struct HolderNotice {
    /// VM of the lease holder.
    pub vm: VmId,
    /// Fencing token of the lease.
    pub fence: Fence,
    /// Time since the lease holder stated this.
    pub age: Duration,
}

impl FleetSums {
    /// Adds up sums, each with the time that has passed since it was received.
    pub fn merge<'a>(sums: impl IntoIterator<Item = (&'a Self, Duration)>) -> Self {
        let mut total = Self::default();
        let mut demand: BTreeMap<(&RouteId, Rank), f32> = BTreeMap::new();
        let mut capacities: BTreeMap<&ServiceId, (f32, f32)> = BTreeMap::new();
        for (sum, elapsed) in sums {
            total.nodes += sum.nodes;
            total.rules = total.rules.max(sum.rules);
            total.epoch = total.epoch.max(sum.epoch);
            total.merge_holder(sum.holder.as_ref(), elapsed);
            total.evacuations.merge(&sum.evacuations, elapsed);
            let room = MAX_WATCHERS.saturating_sub(total.watchers.len());
            let watchers = sum.watchers.iter().take(room);
            total.watchers.extend(watchers.cloned());
            for one in &sum.demand {
                *demand.entry((&one.route, one.rank)).or_default() += one.rate;
            }
            for one in &sum.capacities {
                let (slots, in_flight) = capacities.entry(&one.service).or_default();
                *slots += one.slots;
                *in_flight += one.in_flight;
            }
        }
        total.demand = demand
            .into_iter()
            .map(|((route, rank), rate)| RouteDemand {
                route: route.clone(),
                rank,
                rate,
            })
            .collect();
        total.capacities = capacities
            .into_iter()
            .map(|(service, (slots, in_flight))| ServiceCapacity {
                service: service.clone(),
                slots,
                in_flight,
            })
            .collect();
        total
    }

    /// Keeps the notice with the newest fencing token, and of that the latest.
    fn merge_holder(&mut self, notice: Option<&HolderNotice>, elapsed: Duration) {
        let Some(notice) = notice else { return };
        let notice = HolderNotice {
            age: notice.age.saturating_add(elapsed),
            ..notice.clone()
        };
        let newer = self.holder.as_ref().is_none_or(|known| {
            (notice.fence, std::cmp::Reverse(notice.age))
                > (known.fence, std::cmp::Reverse(known.age))
        });
        if newer {
            self.holder = Some(notice);
        }
    }
}
