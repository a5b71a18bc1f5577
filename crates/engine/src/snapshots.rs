//! What control publishes to traffic.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use bytes::Bytes;
use filbertwheel_core::{Member, RouteId, Rules, ServiceId, Version, VmId};
use filbertwheel_peer::Link;
use filbertwheel_policy::{AdmissionPlan, Distance, RequestCost};

/// The latest snapshot, shared by control and traffic.
pub(crate) type SharedSnapshot = Arc<ArcSwap<Snapshot>>;

/// An immutable view of the control state.
#[derive(Debug, Clone)]
pub(crate) struct Snapshot {
    /// The node itself.
    pub local_member: Member,
    /// The rules in force, if any are known yet.
    pub rules: Option<Arc<Rules>>,
    /// The same as operators wrote them.
    pub document: Bytes,
    /// Members that take work, by service.
    pub services: Arc<BTreeMap<ServiceId, Vec<Target>>>,
    /// Nodes in the fleet, this one included.
    pub nodes: usize,
    /// Who divides the organisations' rates.
    pub holder: Option<Holder>,
    /// Which requests are refused for want of capacity further down.
    pub admission_plan: Arc<AdmissionPlan>,
    /// What requests cost further down.
    pub costs: Arc<HashMap<RouteId, RequestCost>>,
    /// Mean seconds of a run of each route over the fleet.
    pub elapsed: Arc<HashMap<RouteId, f64>>,
    /// Whether members were read at least once.
    pub members_known: bool,
    /// Whether the node is stopping.
    pub stopping: bool,
}

/// Another node whose backend server takes work, or this one.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub member: Member,
    /// The link to it; `None` for this node itself.
    pub link: Option<Link>,
    pub distance: Distance,
}

/// The node that divides the organisations' rates.
#[derive(Debug, Clone)]
pub(crate) struct Holder {
    pub vm: VmId,
    /// The link to it; `None` where it's this node.
    pub link: Option<Link>,
    /// Until when it may pay, where it's this node.
    pub expires: Option<Instant>,
}

impl Snapshot {
    /// What a node knows that has just started.
    pub fn open(local_member: Member) -> Self {
        Self {
            local_member,
            rules: None,
            document: Bytes::new(),
            services: Arc::default(),
            nodes: 1,
            holder: None,
            admission_plan: Arc::default(),
            costs: Arc::default(),
            elapsed: Arc::default(),
            members_known: false,
            stopping: false,
        }
    }

    /// Version of the rules in force; 0 where none are known.
    pub fn version(&self) -> Version {
        self.rules.as_ref().map_or(0, |rules| rules.version)
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.rules.is_some() && self.members_known && !self.stopping
    }
}
