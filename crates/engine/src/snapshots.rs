//! Immutable snapshots of control state that the control thread publishes to the traffic threads.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use filbertwheel_core::{
    DomainId, Member, OrganisationId, RouteId, RouteRule, Rules, ServiceId, Version, VmId,
};
use filbertwheel_peer::{Link, RulesDocument};
use filbertwheel_policy::{
    AdmissionPlan, AllowedRegions, Distance, Evacuation, Evacuations, RequestCost, StopWindow,
    WarmupPlan,
};

/// The latest snapshot, shared by all threads.
pub(crate) type SharedSnapshot = Arc<ArcSwap<Snapshot>>;

/// An immutable copy of the control state.
#[derive(Debug, Clone)]
pub(crate) struct Snapshot {
    /// The local node.
    pub local_member: Member,
    /// The rules in force, if any are known yet.
    pub rules: Option<Arc<Rules>>,
    /// The document that the rules were decoded from; empty if none are known yet.
    pub document: RulesDocument,
    /// Nodes whose backend server is serving, by service.
    pub services: Arc<BTreeMap<ServiceId, Vec<Target>>>,
    /// Number of nodes in the fleet, this one included.
    pub nodes: usize,
    /// The lease holder, if one is known.
    pub holder: Option<Holder>,
    /// Which requests are shed for lack of capacity of a service.
    pub admission_plan: Arc<AdmissionPlan>,
    /// Which requests are refused while services warm up.
    pub warmup_plan: Arc<WarmupPlan>,
    /// Cost of a request of each route at each service.
    pub costs: Arc<HashMap<RouteId, RequestCost>>,
    /// Slots of each service that the demand of callers over the fleet occupies on average.
    pub demanded_slots: Arc<BTreeMap<ServiceId, f64>>,
    /// Mean run time of each route over the fleet, in seconds.
    pub elapsed: Arc<HashMap<RouteId, f64>>,
    /// Whether other nodes are known: their table was read, or one of them has connected.
    pub members_known: bool,
    /// Times of the node's stop, if it is shutting down.
    pub stopping: Option<StopWindow>,
    /// What this node knows of evacuations.
    pub known_evacuations: Arc<Evacuations>,
    /// Evacuated failure domains.
    pub evacuated_domains: Arc<BTreeMap<DomainId, Evacuation>>,
}

/// A node whose backend server is serving: a peer or the local node.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub member: Member,
    /// Link to the node; `None` for the local node.
    pub link: Option<Link>,
    pub distance: Distance,
}

/// The node that holds the lease on the rate limits.
#[derive(Debug, Clone)]
pub(crate) struct Holder {
    pub vm: VmId,
    /// Link to the lease holder; `None` if it is the local node.
    pub link: Option<Link>,
    /// Time until which the local node may grant tokens, if it is the lease holder.
    pub expires: Option<Instant>,
}

impl Snapshot {
    /// Creates the snapshot of a node that has just started.
    pub fn open(local_member: Member) -> Self {
        Self {
            local_member,
            rules: None,
            document: RulesDocument::default(),
            services: Arc::default(),
            nodes: 1,
            holder: None,
            admission_plan: Arc::default(),
            warmup_plan: Arc::default(),
            costs: Arc::default(),
            demanded_slots: Arc::default(),
            elapsed: Arc::default(),
            members_known: false,
            stopping: None,
            known_evacuations: Arc::default(),
            evacuated_domains: Arc::default(),
        }
    }

    /// Returns the version of the rules in force, or 0 if none are known.
    pub fn version(&self) -> Version {
        self.rules.as_ref().map_or(0, |rules| rules.version)
    }

    /// Returns the regions in which an organisation's requests on a route may be processed, by the rules
    /// in force. `admitted` is the route as it was when the request was admitted.
    pub fn allowed_regions<'a>(
        &'a self,
        admitted: &'a RouteRule,
        organisation: Option<&OrganisationId>,
    ) -> AllowedRegions<'a> {
        let Some(rules) = &self.rules else {
            return AllowedRegions::default();
        };
        let route = rules
            .route_by_id(&admitted.id)
            .map_or(admitted, Arc::as_ref);
        AllowedRegions::of(rules, Some(route), organisation)
    }

    /// Returns whether a failure domain is evacuated, so that its slots don't count.
    pub fn is_evacuated(&self, domain: &DomainId) -> bool {
        self.evacuated_domains.contains_key(domain)
    }

    /// Returns whether the backend servers of a failure domain get calls.
    pub fn gets_calls(&self, domain: &DomainId, now: Instant) -> bool {
        let evacuation = self.evacuated_domains.get(domain);
        evacuation.is_none_or(|evacuation| now < evacuation.effective)
    }

    /// Returns whether the node is ready for callers' requests.
    pub fn is_ready(&self) -> bool {
        self.rules.is_some() && self.members_known && self.stopping.is_none()
    }
}
