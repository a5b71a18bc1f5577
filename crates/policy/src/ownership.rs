//! Since when a node has been the sole owner of a request id without interruption.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use filbertwheel_core::{Fence, Member, ServiceId, VmId, value};

use crate::Roster;
use crate::owner::{RequestKey, request_owner};

/// Maximum number of views kept. With more changes than that, the reported ownership begins later
/// than it did.
const MAX_VIEWS: usize = 64;
/// Serving leases that must pass before no other node can consider itself the owner.
const SETTLING_LEASES: u32 = 3;

/// History of one node's membership views, from which it derives which requests it owns and since
/// when.
///
/// A node with a valid serving lease has seen every change that its root knew one lease ago. After
/// a node has followed one root for three leases without interruption, every other node with a
/// lease has seen it as a member, so no other node considers itself the owner.
#[derive(Debug, Clone)]
pub struct OwnershipHistory {
    local_vm: VmId,
    settling_time: Duration,
    /// The members reported by the current root. Members reported by earlier roots are dropped,
    /// because nodes that followed other roots may have seen different ones.
    roster: Roster,
    fence: Fence,
    views: VecDeque<(Instant, MembershipView)>,
    lease_expires: Option<Instant>,
}

/// A node's view of the members of its service.
#[value]
struct MembershipView {
    fence: Fence,
    service: Option<ServiceId>,
    vms: Vec<VmId>,
}

impl OwnershipHistory {
    /// Creates the history of a node that has just started. `lease` is the duration of serving
    /// leases.
    pub fn open(local_vm: VmId, lease: Duration) -> Self {
        Self {
            local_vm,
            settling_time: lease * SETTLING_LEASES,
            roster: Roster::default(),
            fence: 0,
            views: VecDeque::new(),
            lease_expires: None,
        }
    }

    /// Returns whether the node owns a request in its latest view.
    pub fn owns(&self, key: &RequestKey) -> bool {
        let latest = self.views.back();
        latest.is_some_and(|(_, view)| self.is_owner_in(view, key))
    }

    /// Returns the time since when no other node can have run a request, or `None` if this node is
    /// not its owner or has no valid serving lease.
    pub fn sole_owner_since(&self, key: &RequestKey, now: Instant) -> Option<Instant> {
        if self.lease_expires.is_none_or(|until| until <= now) {
            return None;
        }
        let mut since: Option<Instant> = None;
        let mut fence = None;
        for (at, view) in &self.views {
            let interrupted = fence != Some(view.fence)
                && since.is_some_and(|since| *at < since + self.settling_time);
            since = match since {
                _ if !self.is_owner_in(view, key) => None,
                Some(since) if !interrupted => Some(since),
                _ => Some(*at),
            };
            fence = Some(view.fence);
        }
        since.map(|since| since + self.settling_time)
    }

    /// Records members reported by the root with `fence`, and the expiry of the serving lease that
    /// it granted. The first report of a root contains all its members.
    pub fn observe(
        &mut self,
        fence: Fence,
        members: &[Member],
        lease_expires: Instant,
        now: Instant,
    ) {
        if self.lease_expires.is_none_or(|until| until <= now) {
            // Changes may have been missed while there was no lease.
            self.views.clear();
        }
        self.lease_expires = Some(lease_expires);
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
        if self.views.len() > MAX_VIEWS {
            self.views.pop_front();
        }
    }

    fn view(&self) -> MembershipView {
        let member = self.roster.member(&self.local_vm);
        let service = member.and_then(|member| member.service.clone());
        let vms = service
            .iter()
            .flat_map(|service| self.roster.serving(service));
        let vms = vms.map(|member| member.vm.clone()).collect();
        MembershipView {
            fence: self.fence,
            service,
            vms,
        }
    }

    fn is_owner_in(&self, view: &MembershipView, key: &RequestKey) -> bool {
        view.service.as_ref() == Some(&key.service)
            && request_owner(&view.vms, key) == Some(&self.local_vm)
    }
}
