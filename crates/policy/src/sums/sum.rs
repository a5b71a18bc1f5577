//! Sums over some nodes of the fleet.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use filbertwheel_core::{Epoch, Fence, Rank, RouteId, RulesStamp, ServiceId, VmId, message};

use crate::{EvacuationReport, RouteDemand};

/// Range of plausible demands, slots and rates.
const FIGURE_RANGE: RangeInclusive<f32> = 0.0..=1e9;
/// Maximum number of backend servers of a service.
const MAX_SERVERS: u32 = 1_000_000;
/// Longest time for which a backend server is plausibly cold.
const MAX_WARMUP: Duration = Duration::from_secs(86_400);
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
    /// Number of its serving backend servers.
    pub servers: u32,
    /// Those of them that are cold.
    pub cold: ColdCapacity,
}

/// Capacity of the cold backend servers of a service.
#[message]
#[derive(Default, Copy)]
pub struct ColdCapacity {
    /// Number of them.
    pub servers: u32,
    /// Requests per second that they take.
    pub rate: f32,
    /// Slots that they can use at that rate.
    pub slots: f32,
    /// Time until the last of them is warm.
    pub left: Duration,
}

impl ServiceCapacity {
    /// Returns whether most of the service's backend servers are cold.
    pub fn is_warming_up(&self) -> bool {
        self.cold.servers * 2 > self.servers
    }

    /// Adds the capacity of other backend servers of the service.
    fn add(&mut self, other: &Self, elapsed: Duration) {
        self.slots += other.slots;
        self.in_flight += other.in_flight;
        self.servers += other.servers;
        self.cold.servers += other.cold.servers;
        self.cold.rate += other.cold.rate;
        self.cold.slots += other.cold.slots;
        let left = other.cold.left.saturating_sub(elapsed);
        self.cold.left = self.cold.left.max(left);
    }

    fn figures(&self) -> [f32; 4] {
        [self.slots, self.in_flight, self.cold.rate, self.cold.slots]
    }

    fn none(service: &ServiceId) -> Self {
        Self {
            service: service.clone(),
            slots: 0.0,
            in_flight: 0.0,
            servers: 0,
            cold: ColdCapacity::default(),
        }
    }
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
    /// Returns whether the figures can come from measurements.
    pub fn is_plausible(&self) -> bool {
        let rates = self.demand.iter().map(|one| one.rate);
        rates
            .chain(self.capacities.iter().flat_map(ServiceCapacity::figures))
            .all(|figure| FIGURE_RANGE.contains(&figure))
            && self.capacities.iter().all(|one| {
                one.servers <= MAX_SERVERS
                    && one.cold.servers <= one.servers
                    && one.cold.left <= MAX_WARMUP
            })
    }

    /// Adds up sums, each with the time that has passed since it was received.
    pub fn merge<'a>(sums: impl IntoIterator<Item = (&'a Self, Duration)>) -> Self {
        let mut total = Self::default();
        let mut demand: BTreeMap<(&RouteId, Rank), f32> = BTreeMap::new();
        let mut capacities: BTreeMap<&ServiceId, ServiceCapacity> = BTreeMap::new();
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
                let total = capacities.entry(&one.service);
                let total = total.or_insert_with(|| ServiceCapacity::none(&one.service));
                total.add(one, elapsed);
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
        total.capacities = capacities.into_values().collect();
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
