//! Sums over the fleet that load shedding is planned from, and how they reach every node.
//!
//! Each node sends its own measurements to an aggregator of its group. Aggregators are ordinary
//! nodes, named by rendezvous hashing among the nodes that are connected. A failure domain is one
//! group; if it has many nodes, it is divided into groups, whose aggregators send their sums to
//! that of the domain. The aggregators of the domains exchange theirs, and pass the sums over the
//! fleet back along the same path. So a node handles as many messages in a large fleet as in a
//! small one.
//!
//! An aggregator keeps at most one sum for each group and one measurement for each node, so that
//! nothing counts twice when an aggregator or a node is replaced.

mod aggregation;
mod group;
mod sum;

pub use aggregation::{Aggregation, Outgoing};
pub use sum::{ColdCapacity, FleetSums, HolderNotice, ServiceCapacity};

use std::time::Duration;

use filbertwheel_core::{DomainId, Incarnation, VmId, message};

use crate::RouteProfile;
use group::GroupId;

/// Message between nodes about sums.
#[message]
pub enum SumMessage {
    /// A part of the sum of a group, for an aggregator of that group.
    Part(PartReport),
    /// The sum of a failure domain, for the aggregators of the other domains.
    Domain(DomainReport),
    /// The sums over the fleet.
    Fleet(FleetReport),
}

impl SumMessage {
    /// Returns whether the figures can come from measurements. Others would spoil the sums over all
    /// nodes.
    pub fn is_plausible(&self) -> bool {
        let state = match self {
            Self::Part(report) => &report.state,
            Self::Domain(report) => &report.state,
            Self::Fleet(report) => &report.state,
        };
        let mut profiles = state.profiles.iter().flatten();
        state.sums.is_plausible() && profiles.all(RouteProfile::is_plausible)
    }
}

/// Part of the sum of a group: a node or a smaller group.
#[message]
pub struct PartReport {
    /// Group that the part belongs to.
    group: GroupId,
    part: PartId,
    origin: Origin,
    /// Whether the sender asks for the sums over the fleet in return.
    serve: bool,
    state: ReportedSums,
}

/// Sum of a failure domain.
#[message]
pub struct DomainReport {
    domain: DomainId,
    origin: Origin,
    state: ReportedSums,
}

/// Sums over the fleet.
#[message]
pub struct FleetReport {
    sender: VmId,
    state: ReportedSums,
}

/// What a part consists of.
#[message]
#[derive(Eq, PartialOrd, Ord)]
enum PartId {
    Node(VmId),
    Group(GroupId),
}

/// The sender of a part, and the position of the message among its messages.
#[message]
#[derive(Eq)]
struct Origin {
    vm: VmId,
    incarnation: Incarnation,
    sequence: u64,
}

/// Sums as sent in a message.
#[message]
struct ReportedSums {
    /// Mean age of the measurements when the message was sent.
    age: Duration,
    sums: FleetSums,
    /// Route profiles; only some messages contain them.
    profiles: Option<Vec<RouteProfile>>,
}
