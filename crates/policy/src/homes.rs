//! Regions in which a request may be processed.

use filbertwheel_core::{OrganisationId, RegionId, RouteRule, Rules};

use crate::BackendView;

/// Calls that may wait for each slot in the allowed regions before further requests are refused.
const QUEUED_PER_SLOT: f64 = 0.25;

/// Regions in which a request may be processed, by the homes of its route and its organisation.
#[derive(Debug, Clone, Copy, Default)]
pub struct AllowedRegions<'a> {
    /// Homes of the route; empty if it may be processed anywhere.
    route: &'a [RegionId],
    /// Homes of the organisation; empty if its requests may be processed anywhere.
    organisation: &'a [RegionId],
}

impl<'a> AllowedRegions<'a> {
    /// Returns the regions for an organisation's requests on a route, if these are known.
    pub fn of(
        rules: &'a Rules,
        route: Option<&'a RouteRule>,
        organisation: Option<&OrganisationId>,
    ) -> Self {
        let policy = organisation.and_then(|name| rules.organisations.get(name));
        Self {
            route: route.map_or(&[], |route| &route.homes),
            organisation: policy.map_or(&[], |policy| &policy.homes),
        }
    }

    /// Returns whether all regions are allowed.
    pub fn is_unrestricted(&self) -> bool {
        self.route.is_empty() && self.organisation.is_empty()
    }

    /// Returns whether no region is allowed: route and organisation have no home in common.
    pub fn is_empty(&self) -> bool {
        let homes = if self.route.is_empty() {
            self.organisation
        } else {
            self.route
        };
        !self.is_unrestricted() && !homes.iter().any(|region| self.contains(region))
    }

    /// Returns whether a request may be processed in a region.
    pub fn contains(&self, region: &RegionId) -> bool {
        let allows = |homes: &[RegionId]| homes.is_empty() || homes.contains(region);
        allows(self.route) && allows(self.organisation)
    }
}

/// Returns whether backend servers, to which alone a request may be sent, have room for one more. Free
/// slots elsewhere don't count.
pub fn has_room(servers: impl IntoIterator<Item = BackendView>) -> bool {
    let (mut slots, mut in_flight) = (0, 0);
    for BackendView { load, pending, .. } in servers {
        slots += load.slots;
        in_flight += load.running + load.queued + pending;
    }
    f64::from(in_flight) < f64::from(slots) * (1.0 + QUEUED_PER_SLOT)
}
