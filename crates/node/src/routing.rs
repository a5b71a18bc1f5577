//! State for routing learned from this node's own calls: load, cut-offs and retry throttles.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use filbertwheel_core::{Call, CutOff, Method, OrganisationId, ServiceId, Text, VmId};
use filbertwheel_peer::LoadReport;
use filbertwheel_policy::{Candidate, CutOffs, LoadTracker, RetryThrottles, choose_backend};

use crate::snapshot::Snapshot;

/// Node that a call is sent to.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub vm: VmId,
    pub address: SocketAddr,
}

/// Routing state of the node. Shared by the traffic threads.
#[derive(Debug, Default)]
pub(crate) struct RoutingState {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    loads: LoadTracker,
    retry_throttles: RetryThrottles,
    cut_offs: CutOffs<CallKind>,
    /// Whether a first roster has been used. Only members that are added later count as new.
    has_roster: bool,
}

/// Calls that are expected to take the same path through the fleet, and so share cut-offs.
#[derive(Debug, PartialEq, Eq, Hash)]
struct CallKind {
    organisation: Option<OrganisationId>,
    service: ServiceId,
    method: Method,
    segment: Text,
}

impl RoutingState {
    /// Chooses the node that a call is sent to. `own_wait` is the wait at this node's own backend
    /// server.
    pub fn choose_target(
        &self,
        snapshot: &Snapshot,
        call: &Call,
        tried: &[VmId],
        own_wait: Duration,
        now: Instant,
    ) -> Option<Target> {
        let members: Vec<_> = snapshot
            .roster
            .serving(&call.service)
            .filter(|member| !tried.contains(&member.vm))
            .collect();
        let mut state = self.lock();
        let is_new = state.has_roster;
        state.has_roster |= !members.is_empty();
        let candidates: Vec<Candidate> = members
            .iter()
            .map(|member| {
                if !state.loads.contains(&member.vm) {
                    state.loads.add(&member.vm, is_new, now);
                }
                if member.vm == snapshot.local_member.vm {
                    state.loads.record_wait(&member.vm, own_wait, now);
                }
                let same_domain = member.domain == snapshot.local_member.domain;
                state.loads.candidate(&member.vm, same_domain, now)
            })
            .collect();
        drop(state);
        let index = choose_backend(&candidates, |count| rand::random_range(0..count))?;
        let member = members.get(index)?;
        Some(Target {
            vm: member.vm.clone(),
            address: member.address,
        })
    }

    /// Counts a call as pending until the returned guard is dropped.
    pub fn begin<'a>(&'a self, vm: &'a VmId, now: Instant) -> PendingCall<'a> {
        self.lock().loads.begin(vm, now);
        PendingCall { routing: self, vm }
    }

    /// Records the load that was reported with a verdict.
    pub fn record_reply(&self, vm: &VmId, call: &Call, load: &LoadReport, now: Instant) {
        let mut state = self.lock();
        state.loads.record_wait(vm, load.wait, now);
        state
            .cut_offs
            .record(call_kind(call), call.criticality, load.cut_off, now);
    }

    /// Records that a member was unreachable.
    pub fn record_unreachable(&self, vm: &VmId, now: Instant) {
        self.lock().loads.record_unreachable(vm, now);
    }

    /// Returns the cut-off by which a call would be shed downstream, if any.
    pub fn sheds(&self, call: &Call, now: Instant) -> Option<CutOff> {
        let kind = call_kind(call);
        let state = self.lock();
        state
            .cut_offs
            .sheds(&kind, call.criticality, call.rank, now)
    }

    /// Records a successful call to a service.
    pub fn record_success(&self, service: &ServiceId) {
        self.lock().retry_throttles.record_success(service);
    }

    /// Spends a retry to a service. Returns whether there was one.
    pub fn try_spend_retry(&self, service: &ServiceId) -> bool {
        self.lock().retry_throttles.try_spend(service)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Guard of a call that was sent and hasn't ended.
pub(crate) struct PendingCall<'a> {
    routing: &'a RoutingState,
    vm: &'a VmId,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.routing.lock().loads.end(self.vm);
    }
}

fn call_kind(call: &Call) -> CallKind {
    let mut segments = call.path.as_bytes().split(|byte| b"/?".contains(byte));
    let segment = segments.find(|segment| !segment.is_empty());
    let segment = std::str::from_utf8(segment.unwrap_or_default());
    CallKind {
        organisation: call.organisation.clone(),
        service: call.service.clone(),
        method: call.method.clone(),
        segment: segment.unwrap_or_default().into(),
    }
}
