//! The control state: the local node, its peers and the rules in force.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use filbertwheel_core::{
    Clock, DomainId, Epoch, Fence, FleetSecret, InstanceNotice, Member, RulesStamp, ServiceId,
    Status, VmId,
};
use filbertwheel_peer::{Link, LinkDriver, LinkHandler, NodeProcess, NodeReport};
use filbertwheel_policy::{
    Aggregation, DepartureRecovery, Distance, Evacuations, PortionLedger, ProcessMemory,
    RateLimits, RulesLineage, StopWindow, WatchDuty,
};

use super::Shared;
use super::plan::Plan;
use super::recovery::DeparturesRequest;
use crate::engine::Engine;
use crate::epochs::StoreEpoch;
use crate::runner::BackendState;
use crate::settings::Dependencies;
use crate::snapshots::{Holder, SharedSnapshot, Snapshot, Target};

/// Time after the start of a node in which its links to the listed nodes come up.
const LINK_START_TIME: Duration = Duration::from_millis(1_500);
/// Maximum number of requests for departures that wait for a reply.
const MAX_DEPARTURES_REQUESTS: usize = 4_096;

/// Parts that the control state is built from.
#[derive(Debug)]
pub(crate) struct ControlParts {
    pub clock: Arc<dyn Clock>,
    pub dependencies: Dependencies,
    pub epoch: Arc<StoreEpoch>,
    pub engine: Arc<Engine>,
    pub snapshots: SharedSnapshot,
    pub secret: FleetSecret,
    pub driver_sender: Sender<LinkDriver>,
    pub backend_report_interval: Duration,
}

/// The control state of one node.
#[derive(Debug)]
pub(crate) struct Control {
    pub(super) parts: ControlParts,
    pub(super) local_member: Member,
    pub(super) peers: BTreeMap<VmId, Peer>,
    pub(super) plan: Plan,
    pub(super) sums: Aggregation,
    /// Node that the sums over the fleet come from, as last logged.
    pub(super) aggregator: Option<VmId>,
    /// The lease on the rate limits, if this node holds it.
    pub(super) lease: Option<HeldLease>,
    /// The peer that last reported that it holds the lease, with its fencing token and the time of
    /// the report.
    pub(super) holder: Option<(VmId, Fence, Instant)>,
    /// Fencing token of the last lease that its holder has given up. Older notices of it may still
    /// arrive with the sums over the fleet.
    pub(super) released_fence: Option<Fence>,
    /// A lease that its holder has given up and offered to this node.
    pub(super) offered: Option<OfferedLease>,
    /// Fencing token of the lease holder that this node last requested portions from.
    pub(super) asked_fence: Option<Fence>,
    /// Which rules are in force, and which were before.
    pub(super) lineage: RulesLineage,
    /// Rate limits of the organisations that have one, by the rules in force.
    pub(super) limits: Arc<RateLimits>,
    /// Times of this node's stop, if it is shutting down.
    pub(super) stopping: Option<StopWindow>,
    /// Total suspension of the VM that has been handled so far.
    pub(super) suspended: Duration,
    pub(super) members_known: bool,
    /// Whether the table of nodes named this one when it was first read.
    pub(super) was_listed: Option<bool>,
    /// Whether this node is entered in the table of nodes and has read it since.
    pub(super) joined: bool,
    /// When this node started.
    pub(super) started: Instant,
    /// When the departures of before are known.
    pub(super) recovery: DepartureRecovery,
    /// Requests of other nodes for departures.
    pub(super) departures_requests: (Sender<DeparturesRequest>, Receiver<DeparturesRequest>),
    pub(super) watch_duty: WatchDuty,
    /// Whether this node follows the store, as it tells the others.
    pub(super) watching: bool,
    /// Which failure domains are evacuated.
    pub(super) evacuations: Evacuations,
    /// Evacuated domains that are of no known node, as logged.
    pub(super) unknown_domains: BTreeSet<DomainId>,
}

/// The lease on the organisations' rate limits, held by this node.
#[derive(Debug)]
pub(super) struct HeldLease {
    pub fence: Fence,
    pub ledger: PortionLedger,
    /// Time until which this node may act on the lease.
    pub expires: Instant,
}

/// A lease that its holder has given up and offered to this node.
#[derive(Debug, Clone, Copy)]
pub(super) struct OfferedLease {
    pub fence: Fence,
    /// Until when the lease would have stayed in force.
    pub until: Instant,
    /// Epoch of the store that this node knew when it received the offer.
    pub epoch: Option<Epoch>,
}

/// Another node of the fleet.
#[derive(Debug)]
pub(super) struct Peer {
    pub member: Member,
    pub link: Link,
    /// Time of the last report, or of the discovery of the node if it has not reported yet.
    pub last_heard: Instant,
    /// What the node has stated in its last report.
    pub last_report: Option<LastReport>,
    /// The processes that have run at the VM.
    pub processes: ProcessMemory,
}

/// What a node has stated in a report.
#[derive(Debug, Clone, Copy)]
pub(super) struct LastReport {
    /// When the report arrived.
    pub at: Instant,
    /// Stamp of the rules in force there.
    pub rules: RulesStamp,
    /// Whether the node held the lease.
    pub holds_lease: bool,
}

/// Creates the control state that the tasks of the control thread share.
pub(crate) fn open_control(parts: ControlParts, local_member: Member) -> Shared {
    let sums = Aggregation::open(
        local_member.vm.clone(),
        local_member.domain.clone(),
        local_member.incarnation,
    );
    let watch_duty = WatchDuty::open(local_member.vm.clone(), local_member.domain.clone());
    let started = parts.clock.now();
    Rc::new(RefCell::new(Control {
        parts,
        local_member,
        peers: BTreeMap::new(),
        plan: Plan::default(),
        sums,
        aggregator: None,
        lease: None,
        holder: None,
        released_fence: None,
        offered: None,
        asked_fence: None,
        lineage: RulesLineage::default(),
        limits: Arc::default(),
        stopping: None,
        suspended: super::ticks::suspended_time(),
        members_known: false,
        was_listed: None,
        joined: false,
        started,
        recovery: DepartureRecovery::open(started),
        departures_requests: async_channel::bounded(MAX_DEPARTURES_REQUESTS),
        watch_duty,
        watching: false,
        evacuations: Evacuations::default(),
        unknown_domains: BTreeSet::new(),
    }))
}

impl Control {
    /// Applies a reported state of the backend server.
    pub(super) fn set_backend_state(&mut self, state: BackendState) {
        let status = if self.stopping.is_some() {
            Status::Draining
        } else {
            state.status
        };
        let changed = self.local_member.service.as_ref() != Some(&state.service)
            || self.local_member.slots != state.slots
            || self.local_member.status != status;
        self.local_member.service = Some(state.service);
        self.local_member.slots = state.slots;
        self.local_member.status = status;
        if changed {
            tracing::info!(
                status = ?status,
                slots = state.slots,
                "control: The state of the backend server has changed."
            );
            self.publish();
            self.send_reports();
        }
    }

    /// Sets the status of the backend server, and publishes and reports it if it has changed.
    pub(super) fn set_status(&mut self, status: Status) {
        if self.local_member.status != status {
            tracing::info!(
                status = ?status,
                "control: The state of the backend server has changed."
            );
            self.local_member.status = status;
            self.publish();
            self.send_reports();
        }
    }

    /// Begins the shutdown: publishes and reports that the node is draining, and bounds the calls that
    /// other nodes run or hold for it.
    pub fn begin_shutdown(&mut self, window: StopWindow) {
        self.stopping = Some(window);
        self.local_member.status = Status::Draining;
        self.publish();
        self.announce_stop(window);
        self.send_reports();
    }

    fn announce_stop(&self, window: StopWindow) {
        let now = self.parts.clock.now();
        let noticed = window.noticed.saturating_duration_since(now);
        let closes = window.left(now);
        for peer in self.peers.values() {
            peer.link.announce_stop(noticed, closes);
        }
    }

    /// Adds or updates a peer. Opens a link if the peer or its address is new.
    pub(super) fn upsert_peer(&mut self, member: Member) {
        if member.vm == self.local_member.vm {
            return;
        }
        let known = self.peers.get_mut(&member.vm);
        match known {
            Some(peer) if peer.member.address == member.address => {
                // A row in the store contains only the address and the location; the rest is in the
                // reports of the node itself.
                if member.incarnation > 0 && peer.member != member {
                    peer.member = member;
                    self.publish();
                }
            }
            _ => {
                if let Some(peer) = self.peers.remove(&member.vm) {
                    peer.link.close();
                }
                self.connect(member);
                self.publish();
            }
        }
    }

    fn connect(&mut self, member: Member) {
        tracing::info!(
            vm = %member.vm,
            address = %member.address,
            "control: A node was discovered."
        );
        let handler = Arc::clone(&self.parts.engine) as Arc<dyn LinkHandler>;
        let (secret, clock) = (self.parts.secret.clone(), Arc::clone(&self.parts.clock));
        let (link, driver) = Link::open(member.vm.clone(), member.address, handler, secret, clock);
        if self.parts.driver_sender.try_send(driver).is_err() {
            tracing::error!("control: A new link can't be passed to a traffic thread.");
        }
        let peer = Peer {
            link,
            last_heard: self.parts.clock.now(),
            last_report: None,
            member: member.clone(),
            processes: ProcessMemory::default(),
        };
        self.peers.insert(member.vm, peer);
    }

    pub(super) fn remove_peer(&mut self, vm: &VmId) {
        if let Some(peer) = self.peers.remove(vm) {
            tracing::info!(vm = %vm, "control: A node was removed from the fleet.");
            peer.link.close();
            self.publish();
        }
    }

    /// Applies the report of another node.
    pub(super) fn apply_report(&mut self, report: NodeReport, notice: Option<InstanceNotice>) {
        let now = self.parts.clock.now();
        let process = NodeProcess::of(&report.member);
        let serving = report.member.status == Status::Serving;
        let vm = process.vm;
        let last_report = LastReport {
            at: now,
            rules: report.rules,
            holds_lease: report.holder_fence.is_some(),
        };
        self.upsert_peer(report.member);
        if let Some(fence) = report.holder_fence {
            self.note_holder(&vm, fence, now);
        }
        let was_holder = self.holder.as_ref().is_some_and(|(known, ..)| *known == vm);
        if report.holder_fence.is_none() && was_holder {
            tracing::info!(
                vm = %vm,
                "control: The lease holder no longer holds the lease on the rate limits."
            );
            self.released_fence = self.holder.take().map(|(_, fence, _)| fence);
            self.publish();
        }
        let Some(peer) = self.peers.get_mut(&vm) else {
            return;
        };
        peer.last_heard = now;
        peer.last_report = Some(last_report);
        peer.processes.record_report(process.incarnation, serving);
        if let Some(notice) = notice {
            peer.link.record_notice(notice);
        }
        peer.link.set_load(report.load);
    }

    /// Returns whether this node has just started, so that its links to the listed nodes may not be up
    /// yet.
    pub(super) fn is_starting(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) < LINK_START_TIME
    }

    /// Publishes a new snapshot to the traffic threads.
    pub(super) fn publish(&self) {
        let mut services: BTreeMap<ServiceId, Vec<Target>> = BTreeMap::new();
        let mut add = |target: Target| {
            if let (Some(service), Status::Serving) = (&target.member.service, target.member.status)
            {
                services.entry(service.clone()).or_default().push(target);
            }
        };
        add(Target {
            member: self.local_member.clone(),
            link: None,
            distance: Distance::SameVm,
        });
        for peer in self.peers.values() {
            let near = peer.member.domain == self.local_member.domain;
            add(Target {
                member: peer.member.clone(),
                link: Some(peer.link.clone()),
                distance: if near {
                    Distance::SameDomain
                } else {
                    Distance::OtherDomain
                },
            });
        }
        let holder = match (&self.lease, &self.holder) {
            (Some(lease), _) => Some(Holder {
                vm: self.local_member.vm.clone(),
                link: None,
                expires: Some(lease.expires),
            }),
            (None, Some((vm, ..))) => self.peers.get(vm).map(|peer| Holder {
                vm: vm.clone(),
                link: Some(peer.link.clone()),
                expires: None,
            }),
            (None, None) => None,
        };
        let snapshot = Snapshot {
            local_member: self.local_member.clone(),
            services: Arc::new(services),
            nodes: self.peers.len() + 1,
            holder,
            members_known: self.members_known,
            stopping: self.stopping,
            ..Snapshot::clone(&self.parts.snapshots.load())
        };
        self.parts.snapshots.store(Arc::new(snapshot));
    }

    /// Sends a report of this node to all peers.
    pub(super) fn send_reports(&self) {
        let report = NodeReport {
            member: self.local_member.clone(),
            load: self.parts.engine.runner.load(),
            rules: self.parts.snapshots.load().document.stamp,
            holder_fence: self.lease.as_ref().map(|lease| lease.fence),
        };
        // Others tell the next process here of a departure. Each response tells them the rest.
        let notice = self.parts.engine.runner.notice();
        let notice = notice.filter(|notice| notice.leaving);
        for peer in self.peers.values() {
            peer.link.send_report(&report, notice.clone());
        }
    }
}
