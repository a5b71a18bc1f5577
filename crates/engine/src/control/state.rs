//! The control state: this node, the others, and the rules in force.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use bytes::Bytes;
use filbertwheel_core::{
    Clock, Fence, FleetSecret, Member, OrganisationId, Rate, ServiceId, Status, Version, VmId,
};
use filbertwheel_peer::{Link, LinkDriver, LinkEvent, LinkHandler, NodeReport};
use filbertwheel_policy::{Distance, PortionLedger, RouteProfile};

use super::plan::Plan;
use super::{Message, Shared};
use crate::engine::Engine;
use crate::runner::Standing;
use crate::settings::Dependencies;
use crate::snapshots::{Holder, Peer, SharedSnapshot, Snapshot};

/// Time without a report after which a node counts as out of reach, so that it may be spending
/// what's kept for the time without a holder.
const REACH_TIME: Duration = Duration::from_millis(1_500);
/// Reports that a node out of reach has missed, at least.
const MISSED_REPORTS: u32 = 3;
/// Time without a report after which the row of a node is removed from the store.
const DEAD_TIME: Duration = Duration::from_secs(120);
/// Time without a sign of the holder after which it counts as lost.
const HOLDER_SILENCE: Duration = Duration::from_millis(2_500);

/// What the control state works with.
#[derive(Debug)]
pub(crate) struct Parts {
    pub clock: Arc<dyn Clock>,
    pub sources: Dependencies,
    pub engine: Arc<Engine>,
    pub snapshots: SharedSnapshot,
    pub secret: FleetSecret,
    pub drivers: Sender<LinkDriver>,
    pub beat: Duration,
}

/// The control state of one node.
#[derive(Debug)]
pub(crate) struct Control {
    pub(super) parts: Parts,
    pub(super) me: Member,
    pub(super) others: BTreeMap<VmId, Other>,
    pub(super) plan: Plan,
    /// The record of the organisations' rates, where this node holds the lease on it.
    pub(super) ledger: Option<Holding>,
    /// The node that said last that it holds the lease.
    pub(super) holder: Option<(VmId, Fence, Instant)>,
    pub(super) stopping: bool,
    /// Time for which the VM was suspended, as far as it was noticed.
    pub(super) suspended: Duration,
    pub(super) joined: bool,
}

/// The lease on the organisations' rates, held by this node.
#[derive(Debug)]
pub(super) struct Holding {
    pub fence: Fence,
    pub ledger: PortionLedger,
    /// Until when it may be acted on.
    pub until: Instant,
}

/// Another node.
#[derive(Debug)]
pub(super) struct Other {
    pub member: Member,
    pub link: Link,
    pub profiles: Vec<RouteProfile>,
    pub asked: Vec<filbertwheel_policy::RouteDemand>,
    /// When it was heard last, or found where it wasn't heard yet.
    pub heard: Instant,
}

/// Control state that the tasks of the control thread share.
pub(crate) fn shared(parts: Parts, me: Member) -> Shared {
    Rc::new(RefCell::new(Control {
        parts,
        me,
        others: BTreeMap::new(),
        plan: Plan::default(),
        ledger: None,
        holder: None,
        stopping: false,
        suspended: super::ticks::suspended_time(),
        joined: false,
    }))
}

impl Control {
    /// Takes note of where the backend server stands.
    fn stand(&mut self, standing: Standing) {
        let status = if self.stopping {
            Status::Draining
        } else {
            standing.status
        };
        let changed = self.me.service.as_ref() != Some(&standing.service)
            || self.me.slots != standing.slots
            || self.me.status != status;
        self.me.service = Some(standing.service);
        self.me.slots = standing.slots;
        self.me.status = status;
        if changed {
            tracing::info!(status = ?status, slots = standing.slots, "control: The backend server has changed.");
            self.publish();
            self.report(false);
        }
    }

    /// Takes nothing new for the backend server from now on.
    pub(super) fn set_status(&mut self, status: Status) {
        if self.me.status != status {
            tracing::info!(status = ?status, "control: The backend server has changed.");
            self.me.status = status;
            self.publish();
            self.report(false);
        }
    }

    /// Begins to stop: callers and other nodes are told to stay away.
    pub fn stop(&mut self) {
        self.stopping = true;
        self.me.status = Status::Draining;
        self.publish();
        self.report(false);
    }

    /// Takes note of another node. One whose address is new is linked.
    pub(super) fn meet(&mut self, member: Member) {
        if member.vm == self.me.vm {
            return;
        }
        let known = self.others.get_mut(&member.vm);
        match known {
            Some(other) if other.member.address == member.address => {
                // A row only tells the address; the node itself tells the rest.
                if member.incarnation > 0 && other.member != member {
                    other.member = member;
                    self.publish();
                }
            }
            _ => {
                if let Some(other) = self.others.remove(&member.vm) {
                    other.link.close();
                }
                self.link(member);
                self.publish();
            }
        }
    }

    fn link(&mut self, member: Member) {
        tracing::info!(vm = %member.vm, address = %member.address, "control: A node was found.");
        let sink = Arc::clone(&self.parts.engine) as Arc<dyn LinkHandler>;
        let (secret, clock) = (self.parts.secret.clone(), Arc::clone(&self.parts.clock));
        let (link, driver) = Link::open(member.vm.clone(), member.address, sink, secret, clock);
        if self.parts.drivers.try_send(driver).is_err() {
            tracing::error!("control: No thread takes a new link.");
        }
        let other = Other {
            link,
            profiles: Vec::new(),
            asked: Vec::new(),
            heard: self.parts.clock.now(),
            member: member.clone(),
        };
        self.others.insert(member.vm, other);
    }

    pub(super) fn forget(&mut self, vm: &VmId) {
        if let Some(other) = self.others.remove(vm) {
            tracing::info!(vm = %vm, "control: A node is gone.");
            other.link.close();
            self.publish();
        }
    }

    /// Takes another node's report.
    fn take_report(&mut self, report: NodeReport) {
        let now = self.parts.clock.now();
        let vm = report.member.vm.clone();
        self.meet(report.member);
        if let Some(fence) = report.holder_fence {
            let newer = self
                .holder
                .as_ref()
                .is_none_or(|(_, known, _)| fence >= *known);
            let moved = self.holder.as_ref().is_none_or(|(known, ..)| *known != vm);
            if newer {
                self.holder = Some((vm.clone(), fence, now));
                self.resign_to(fence);
            }
            if newer && moved {
                tracing::info!(vm = %vm, fence, "control: A node divides the rates.");
                self.publish();
            }
        }
        let was_holder = self.holder.as_ref().is_some_and(|(known, ..)| *known == vm);
        if report.holder_fence.is_none() && was_holder {
            tracing::info!(vm = %vm, "control: A node no longer divides the rates.");
            self.holder = None;
            self.publish();
        }
        let Some(other) = self.others.get_mut(&vm) else {
            return;
        };
        other.heard = now;
        other.link.set_load(report.load);
        other.asked = report.demand;
        if let Some(profiles) = report.profiles {
            other.profiles = profiles;
        }
    }

    /// Gives the lease up where another node has a newer one.
    fn resign_to(&mut self, fence: Fence) {
        if self.ledger.as_ref().is_some_and(|own| own.fence < fence) {
            self.resign();
            tracing::warn!(fence, "control: Another node divides the rates now.");
        }
    }

    /// Stops dividing the rates, and spends nothing of what this node kept of them.
    pub(super) fn resign(&mut self) {
        if self.ledger.take().is_some() {
            self.parts.engine.allowance().clear();
            self.publish();
        }
    }

    /// As the holder, leaves to the nodes out of reach what they may spend without it.
    pub(super) fn check_reach(&mut self, now: Instant) {
        let reach = REACH_TIME.max(self.report_interval() * MISSED_REPORTS);
        let others = self.others.values();
        let lost = others.filter(|other| now.saturating_duration_since(other.heard) > reach);
        let (unreached, nodes) = (lost.count(), self.others.len() + 1);
        if let Some(holding) = &mut self.ledger {
            holding.ledger.reserve_emergency(unreached, nodes);
        }
    }

    /// As the holder, the nodes that have been gone for so long that their rows can be removed.
    pub(super) fn dead(&self, now: Instant) -> Vec<VmId> {
        if self.ledger.is_none() {
            return Vec::new();
        }
        let others = self.others.iter();
        let dead = others.filter(|(_, other)| {
            !other.link.is_up() && now.saturating_duration_since(other.heard) > DEAD_TIME
        });
        dead.map(|(vm, _)| vm.clone()).collect()
    }

    /// Whether a holder was heard lately.
    pub(super) fn has_holder(&self, now: Instant) -> bool {
        self.ledger.is_some()
            || self
                .holder
                .as_ref()
                .is_some_and(|(_, _, heard)| now.saturating_duration_since(*heard) < HOLDER_SILENCE)
    }

    /// Takes over rules that are newer than those in force.
    pub(super) fn take_rules(&mut self, document: Bytes) -> Option<Version> {
        let rules = match self.parts.sources.decoder.decode(&document) {
            Ok(rules) => rules,
            Err(error) => {
                tracing::warn!("control: New rules were turned down: {error}.");
                return None;
            }
        };
        let (version, known) = (rules.version, self.parts.snapshots.load().version());
        if version <= known {
            return None;
        }
        let snapshot = Snapshot {
            rules: Some(Arc::new(rules)),
            document,
            ..Snapshot::clone(&self.parts.snapshots.load())
        };
        self.parts.snapshots.store(Arc::new(snapshot));
        self.parts.engine.metrics.rules.set(version as i64);
        tracing::info!(version, before = known, "control: Rules are in force.");
        for other in self.others.values() {
            other.link.announce_rules(version);
        }
        Some(version)
    }

    /// Publishes what traffic decides by.
    pub(super) fn publish(&self) {
        let mut services: BTreeMap<ServiceId, Vec<Peer>> = BTreeMap::new();
        let mut add = |peer: Peer| {
            if let (Some(service), Status::Serving) = (&peer.member.service, peer.member.status) {
                services.entry(service.clone()).or_default().push(peer);
            }
        };
        add(Peer {
            member: self.me.clone(),
            link: None,
            distance: Distance::SameVm,
        });
        for other in self.others.values() {
            let near = other.member.domain == self.me.domain;
            add(Peer {
                member: other.member.clone(),
                link: Some(other.link.clone()),
                distance: if near {
                    Distance::SameDomain
                } else {
                    Distance::OtherDomain
                },
            });
        }
        let holder = match (&self.ledger, &self.holder) {
            (Some(holding), _) => Some(Holder {
                vm: self.me.vm.clone(),
                link: None,
                until: Some(holding.until),
            }),
            (None, Some((vm, ..))) => self.others.get(vm).map(|other| Holder {
                vm: vm.clone(),
                link: Some(other.link.clone()),
                until: None,
            }),
            (None, None) => None,
        };
        let snapshot = Snapshot {
            me: self.me.clone(),
            services: Arc::new(services),
            nodes: self.others.len() + 1,
            holder,
            joined: self.joined,
            stopping: self.stopping,
            ..Snapshot::clone(&self.parts.snapshots.load())
        };
        self.parts.snapshots.store(Arc::new(snapshot));
    }

    /// Tells all others what this node believes and does.
    pub(super) fn report(&mut self, with_profiles: bool) {
        let profiles = with_profiles.then(|| {
            let profiles = self.parts.engine.runner.profiles();
            self.plan.own_profiles.clone_from(&profiles);
            profiles
        });
        let report = NodeReport {
            member: self.me.clone(),
            load: self.parts.engine.runner.load(),
            version: self.parts.snapshots.load().version(),
            demand: self.plan.own_asked.clone(),
            profiles,
            holder_fence: self.ledger.as_ref().map(|holding| holding.fence),
        };
        for other in self.others.values() {
            other.link.send_report(&report);
        }
    }

    /// Limits of the organisations that have one.
    pub(super) fn limits(&self) -> BTreeMap<OrganisationId, Rate> {
        let snapshot = self.parts.snapshots.load();
        let organisations = snapshot
            .rules
            .as_ref()
            .map(|rules| rules.organisations.iter());
        let known = organisations.into_iter().flatten();
        known
            .filter_map(|(name, terms)| Some((name.clone(), terms.limit?)))
            .collect()
    }
}

/// Handles what traffic tells control.
pub(crate) async fn take_messages(control: Shared) {
    let engine = Arc::clone(&control.borrow().parts.engine);
    loop {
        engine.inbox.urgent().await;
        control.borrow_mut().take_inbox();
    }
}

impl Control {
    /// Handles the messages that wait.
    pub(super) fn take_inbox(&mut self) {
        for message in self.parts.engine.inbox.take() {
            match message {
                Message::Standing(standing) => self.stand(standing),
                Message::Left => self.set_status(Status::Gone),
                Message::LinkEvent(news) => self.take_news(news),
            }
        }
    }

    fn take_news(&mut self, news: LinkEvent) {
        match news {
            LinkEvent::Report(report) => self.take_report(*report),
            LinkEvent::Connected(member) => {
                // Where the store can't be read, the nodes that know this one link to it.
                self.joined = true;
                let vm = member.vm.clone();
                self.meet(member);
                self.publish();
                self.tell_suspicions(&vm);
            }
            LinkEvent::Disconnected(vm) => {
                tracing::info!(vm = %vm, "control: The link to a node was lost.")
            }
            LinkEvent::Rules(_, document) => {
                self.take_rules(document);
            }
            LinkEvent::PortionRequest(ask, answering) => {
                let (now, limits) = (self.parts.clock.now(), self.limits());
                if let Some(holding) = self.ledger.as_mut().filter(|one| now < one.until) {
                    let grant = holding.ledger.answer(&ask, &limits, now);
                    answering.grant(holding.fence, grant);
                }
            }
            LinkEvent::PortionGrant(fence, grant) => self.take_grant(fence, &grant),
            LinkEvent::CrashReports(suspicions) => self.parts.engine.runner.suspect(&suspicions),
        }
    }

    /// Tells a node that has just come of all requests that are suspected.
    fn tell_suspicions(&self, vm: &VmId) {
        let known = self.parts.engine.runner.suspicions();
        if let (Some(other), false) = (self.others.get(vm), known.is_empty()) {
            other.link.send_crash_reports(known);
        }
    }

    /// Tells all others of the requests that came under suspicion beside this node.
    pub(super) fn spread_suspicions(&self) {
        let fresh = self.parts.engine.runner.take_suspicions();
        if fresh.is_empty() {
            return;
        }
        for other in self.others.values() {
            other.link.send_crash_reports(fresh.clone());
        }
    }

    /// Takes over portions, unless a newer holder is known.
    pub(super) fn take_grant(&mut self, fence: Fence, grant: &filbertwheel_policy::PortionGrant) {
        if self
            .holder
            .as_ref()
            .is_some_and(|(_, known, _)| fence < *known)
        {
            return;
        }
        let (now, limits) = (self.parts.clock.now(), self.limits());
        self.parts
            .engine
            .allowance()
            .set_portions(grant, &limits, now);
    }
}
