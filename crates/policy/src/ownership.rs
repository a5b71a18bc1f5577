//! How long a node has answered for a request id without a break.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use filbertwheel_core::{Fence, Member, ServiceId, VmId, value};

use crate::Roster;
use crate::owner::{RequestKey, request_owner};

/// Views that are kept. With more changes than that, tenures seem shorter than they are.
const VIEWS_KEPT: usize = 64;
/// Serving leases that have to pass before no other node can take itself for the owner.
const LEASES_TO_SETTLE: u32 = 3;

/// The views of one node, from which it derives for which requests it answers, and since when.
///
/// A node whose serving lease is valid has seen every change that its root knew one lease ago.
/// After three leases in which a node has followed one root without a break, every other node
/// with a lease has seen it as a member, so that no other takes itself for the owner.
#[derive(Debug, Clone)]
pub struct OwnershipHistory {
    me: VmId,
    settling: Duration,
    /// The members as the present root knows them. What earlier roots knew is left out, because
    /// nodes that followed others may have seen something else.
    roster: Roster,
    fence: Fence,
    views: VecDeque<(Instant, View)>,
    lease: Option<Instant>,
}

/// What a node sees of its service's members.
#[value]
struct View {
    fence: Fence,
    service: Option<ServiceId>,
    vms: Vec<VmId>,
}

impl OwnershipHistory {
    /// The tenure of a node that has just started. `lease` is the length of serving leases.
    pub fn open(me: VmId, lease: Duration) -> Self {
        Self {
            me,
            settling: lease * LEASES_TO_SETTLE,
            roster: Roster::default(),
            fence: 0,
            views: VecDeque::new(),
            lease: None,
        }
    }

    /// Whether the node owns a request in its latest view.
    pub fn owns(&self, key: &RequestKey) -> bool {
        let latest = self.views.back();
        latest.is_some_and(|(_, view)| self.owns_in(view, key))
    }

    /// The time from which on no other node can have run a request, or `None` where this node
    /// isn't its owner or has no serving lease.
    pub fn sole_owner_since(&self, key: &RequestKey, now: Instant) -> Option<Instant> {
        if self.lease.is_none_or(|until| until <= now) {
            return None;
        }
        let mut since: Option<Instant> = None;
        let mut fence = None;
        for (at, view) in &self.views {
            let interrupted =
                fence != Some(view.fence) && since.is_some_and(|since| *at < since + self.settling);
            since = match since {
                _ if !self.owns_in(view, key) => None,
                Some(since) if !interrupted => Some(since),
                _ => Some(*at),
            };
            fence = Some(view.fence);
        }
        since.map(|since| since + self.settling)
    }

    /// Takes note of the members that a root with `fence` tells of, and of the serving lease that
    /// it gives. The first time, a root tells of all its members.
    pub fn observe(&mut self, fence: Fence, members: &[Member], lease: Instant, now: Instant) {
        if self.lease.is_none_or(|until| until <= now) {
            // Changes may have been missed while there was no lease.
            self.views.clear();
        }
        self.lease = Some(lease);
        if self.fence != fence {
            self.roster = Roster::default();
            self.fence = fence;
        }
        for member in members {
            self.roster.merge(member.clone());
        }
        let view = self.view();
        if self.views.back().is_some_and(|(_, latest)| *latest == view) {
            return;
        }
        self.views.push_back((now, view));
        if self.views.len() > VIEWS_KEPT {
            self.views.pop_front();
        }
    }

    fn view(&self) -> View {
        let me = self.roster.member(&self.me);
        let service = me.and_then(|me| me.service.clone());
        let vms = service
            .iter()
            .flat_map(|service| self.roster.serving(service));
        let vms = vms.map(|member| member.vm.clone()).collect();
        View {
            fence: self.fence,
            service,
            vms,
        }
    }

    fn owns_in(&self, view: &View, key: &RequestKey) -> bool {
        view.service.as_ref() == Some(&key.service)
            && request_owner(&view.vms, key) == Some(&self.me)
    }
}
