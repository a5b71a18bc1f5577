//! What this node knows of the holder of the lease on the rate limits.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertwheel_core::{Fence, VmId};
use filbertwheel_policy::PortionGrant;

use super::Control;
use super::state::{OfferedLease, Peer};

/// Time without a report after which a peer counts as unreachable even if its link seems to be up,
/// so that it may be spending its emergency portion.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(1_500);
/// Minimum number of reports that an unreachable peer has missed.
const MISSED_REPORTS: u32 = 3;
/// Longest time that a message travels on a link.
const MAX_TRANSIT: Duration = Duration::from_millis(1_200);
/// Time after a restore of the store in which responses from before it may still arrive.
const LATE_RESPONSES: Duration = Duration::from_millis(1_750);
/// Time without a report of the lease holder after which it counts as lost.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(2_500);

impl Control {
    /// Records that the lease holder has given up its lease and offers it to this node.
    pub(super) fn note_offer(&mut self, vm: &VmId, fence: Fence, left: Duration) {
        let known = self.holder.as_ref();
        if known.is_some_and(|(holder, known, _)| (holder, *known) == (vm, fence)) {
            self.holder = None;
            self.released_fence = Some(fence);
            self.offered = Some(OfferedLease {
                fence,
                until: self.parts.clock.now() + left.saturating_sub(MAX_TRANSIT),
                epoch: self.parts.epoch.latest(),
            });
            self.publish();
        }
    }

    /// Records that the node on `vm` has stated at `heard` that it holds the lease.
    pub(super) fn note_holder(&mut self, vm: &VmId, fence: Fence, heard: Instant) {
        let released = self.released_fence.is_some_and(|ended| fence <= ended);
        let known = self.holder.as_ref();
        if released || known.is_some_and(|(_, known, at)| (fence, heard) < (*known, *at)) {
            return;
        }
        let holder_changed = known.is_none_or(|(known, ..)| known != vm);
        self.holder = Some((vm.clone(), fence, heard));
        self.drop_lease_if_older(fence);
        if holder_changed {
            tracing::info!(
                vm = %vm,
                fence,
                "control: Another node holds the lease on the rate limits."
            );
            self.publish();
        }
    }

    /// Gives up the lease if `fence`, another node's fencing token, is newer.
    fn drop_lease_if_older(&mut self, fence: Fence) {
        if self.lease.as_ref().is_some_and(|own| own.fence < fence) {
            self.drop_lease();
            tracing::warn!(
                fence,
                "control: Another node holds a newer lease on the rate limits."
            );
        }
    }

    /// Gives up the lease, and with it this node's own portions.
    pub(super) fn drop_lease(&mut self) {
        if self.lease.take().is_some() {
            self.parts.engine.portions().clear();
            self.publish();
        }
    }

    /// If this node holds the lease, reserves the emergency portions of the unreachable peers,
    /// which they may spend without it.
    pub(super) fn check_reachability(&mut self, now: Instant) {
        let timeout = UNREACHABLE_AFTER.max(self.report_interval() * MISSED_REPORTS);
        let peers = self.peers.values();
        let unreachable = peers.filter(|peer| {
            !peer.link.is_up() || now.saturating_duration_since(peer.last_heard) > timeout
        });
        let (unreachable, nodes) = (unreachable.count(), self.peers.len() + 1);
        if let Some(lease) = &mut self.lease {
            lease.ledger.reserve_emergency(unreachable, nodes);
        }
    }

    /// Returns whether all nodes that this one knows are connected, the one on `holder` included, and
    /// have stated since the last restore of the store that they don't hold the lease.
    pub(super) fn all_idle(&self, holder: Option<&VmId>) -> bool {
        let Some(restored) = self.parts.epoch.restored() else {
            return false;
        };
        let known = |vm: &VmId| *vm == self.local_member.vm || self.peers.contains_key(vm);
        let settled = restored + LATE_RESPONSES;
        let idle = |peer: &Peer| {
            let report = peer.last_report;
            let stated = report.is_some_and(|report| report.at >= settled && !report.holds_lease);
            peer.link.is_up() && stated
        };
        !self.peers.is_empty()
            && holder.is_none_or(known)
            && self.peers.values().all(idle)
            && !self.has_holder(self.parts.clock.now())
    }

    /// Returns whether this node holds the lease or the lease holder has reported recently.
    pub(super) fn has_holder(&self, now: Instant) -> bool {
        self.lease.is_some()
            || self
                .holder
                .as_ref()
                .is_some_and(|(_, _, heard)| now.saturating_duration_since(*heard) < HOLDER_TIMEOUT)
    }

    /// Applies granted portions, unless a newer lease holder is known.
    pub(super) fn apply_grant(&mut self, fence: Fence, grant: &PortionGrant) {
        if self
            .holder
            .as_ref()
            .is_some_and(|(_, known, _)| fence < *known)
        {
            return;
        }
        let (now, limits) = (self.parts.clock.now(), Arc::clone(&self.limits));
        self.parts
            .engine
            .portions()
            .set_portions(grant, &limits, now);
    }
}
