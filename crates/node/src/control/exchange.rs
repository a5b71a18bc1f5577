//! Beats and pulses: what a node tells its parent and answers its children.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertwheel_core::{
    Demand, Grant, Heartbeat, HeartbeatReply, Member, OrganisationId, Status, Version,
};
use filbertwheel_peer::ControlError;
use filbertwheel_policy::{
    AttachOutcome, FANOUT, ParentSession, Root, RootError, SHARE_LIFETIME, ShareLedger,
    choose_child,
};

use crate::control::Control;
use crate::control::state::SERVING_LEASE;

impl Control {
    /// Settles the node's own shares, as a child of its own.
    pub fn settle_own(&mut self) {
        let now = self.parts.clock.now();
        let demands = self.buckets().demands(now);
        self.own.begin(now);
        let beat = self.beat(&self.own, self.config().version, demands);
        if self.merge(beat.member.clone()) {
            self.subtree.queue_report(beat.member.clone());
            self.publish();
        }
        if let Ok((grant, lifetime)) = self.grant(&beat, now) {
            let pulse = self.pulse(&beat, None, grant, lifetime, now);
            self.take_own(pulse, now);
        }
    }

    /// The next beat for the parent.
    pub fn next_beat(&mut self) -> Heartbeat {
        let now = self.parts.clock.now();
        self.link.begin(now);
        let config = self.children.confirmed(self.config().version);
        let members = self.subtree.report();
        let demands = self.branch.demands(now);
        Heartbeat {
            members,
            ..self.beat(&self.link, config, demands)
        }
    }

    /// Takes another node's beat.
    pub fn take_beat(&mut self, beat: &Heartbeat) -> Result<HeartbeatReply, ControlError> {
        let now = self.parts.clock.now();
        if self.link.parent().is_none() && !self.is_root() {
            return Err(ControlError::NoRoot);
        }
        if let Some(parent) = self.redirect(beat, now) {
            return Ok(self.pulse(beat, Some(parent), None, SHARE_LIFETIME, now));
        }
        let (grant, lifetime) = self.grant(beat, now)?;
        self.hear(beat, now);
        Ok(self.pulse(beat, None, grant, lifetime, now))
    }

    /// Takes the answer to a beat that carried `reported`.
    pub fn take_pulse(&mut self, pulse: HeartbeatReply, reported: &[Member]) {
        let before = self.fence();
        let Some(sent) = self.link.accept(&pulse) else {
            return;
        };
        let now = self.parts.clock.now();
        if pulse.parent.is_none() {
            self.observe(&pulse, sent, now);
        }
        self.apply(pulse.delta);
        for member in pulse.members {
            self.merge(member);
        }
        self.seen = pulse.roster;
        self.confirmed = pulse.confirmed;
        if pulse.lease > Duration::ZERO {
            self.lease = Some(sent + pulse.lease);
            self.link.refresh(sent);
        }
        if let Some(parent) = pulse.parent {
            self.attach(parent, pulse.fence);
        } else {
            self.subtree.acknowledge(reported);
            self.refill(pulse.grant, sent + pulse.lifetime, now);
        }
        if pulse.fence > before {
            self.report_all();
        }
        self.publish();
    }

    /// Beats to another parent from now on.
    pub fn attach(&mut self, parent: SocketAddr, fence: u64) {
        let now = self.parts.clock.now();
        if self.is_root() {
            return;
        }
        let before = (self.link.parent(), self.fence());
        if self.link.attach(parent, fence, now) == AttachOutcome::Fresh {
            self.branch = ShareLedger::below_root(self.me().vm.clone(), now);
        }
        if before != (self.link.parent(), self.fence()) {
            self.seen = 0;
            self.report_all();
        }
    }

    /// Marks children as gone that have been silent for too long, and those that were below them
    /// and haven't found another parent.
    pub fn expire_children(&mut self) {
        let now = self.parts.clock.now();
        let silent = self.children.expire(now);
        for vm in &silent {
            self.subtree.remove_child(vm, now);
        }
        let late = self.subtree.expire(now);
        for vm in silent.iter().chain(&late) {
            self.mark_gone(vm);
        }
    }

    fn beat(&self, link: &ParentSession, config: Version, demands: Vec<Demand>) -> Heartbeat {
        Heartbeat {
            member: self.me().clone(),
            number: link.number(),
            since: link.since(),
            heard: link.heard(),
            fence: self.fence(),
            config,
            roster: self.seen,
            members: Vec::new(),
            demands,
        }
    }

    fn pulse(
        &self,
        beat: &Heartbeat,
        parent: Option<SocketAddr>,
        grant: Option<Grant>,
        lifetime: Duration,
        now: Instant,
    ) -> HeartbeatReply {
        // Positions of another root's time mean nothing here.
        let known = if beat.fence == self.fence() {
            beat.roster
        } else {
            0
        };
        HeartbeatReply {
            number: beat.number,
            stamp: self.ledger().stamp(&beat.member.vm),
            fence: self.fence(),
            root: self.root_address(),
            parent,
            lease: parent.map_or_else(|| self.lease_left(now), |_| Duration::ZERO),
            lifetime,
            confirmed: self.confirmed(),
            delta: self.config.delta_since(beat.config),
            roster: self.roster.position(),
            members: self.roster.since(known),
            grant,
        }
    }

    /// The parent to which a newcomer is sent on, where there's no room.
    fn redirect(&self, beat: &Heartbeat, now: Instant) -> Option<SocketAddr> {
        let vm = &beat.member.vm;
        let takes_all = |root: &Root| root.takes_all(beat, now);
        let stays = self.children.names().any(|child| child == vm)
            || self.children.names().count() < FANOUT
            || beat.member.status == Status::Gone
            || self.root().is_some_and(takes_all);
        if stays {
            return None;
        }
        let child = choose_child(vm, self.children.names())?;
        self.roster.member(child).map(|member| member.address)
    }

    fn grant(
        &mut self,
        beat: &Heartbeat,
        now: Instant,
    ) -> Result<(Option<Grant>, Duration), ControlError> {
        let limits = self.limits();
        if let Some(root) = self.root_mut() {
            let taken = root.handle_heartbeat(beat, &limits, now);
            let grant = taken.map_err(|error| self.turn_down(error))?;
            return Ok((grant, SHARE_LIFETIME));
        }
        if beat.fence > self.fence() {
            return Err(ControlError::WrongFence);
        }
        let noted = self.branch.record_heartbeat(beat, now);
        noted.map_err(|_| ControlError::OutOfOrder)?;
        let grant = self.branch.allocate(beat, &limits, now, now);
        Ok((grant, self.branch.lifetime(now)))
    }

    fn take_own(&mut self, pulse: HeartbeatReply, now: Instant) {
        let Some(sent) = self.own.accept(&pulse) else {
            return;
        };
        if self.is_root() {
            self.observe(&pulse, sent, now);
            self.seen = pulse.roster;
            if pulse.lease > Duration::ZERO {
                self.lease = Some(sent + pulse.lease);
            }
            self.publish();
        }
        if let Some(grant) = pulse.grant {
            let limits = self.limits();
            let limit = |organisation: &OrganisationId| limits.get(organisation).copied();
            self.buckets()
                .set_shares(&grant.shares, limit, sent + pulse.lifetime, now);
        }
    }

    /// Takes note of what the root says of the members, for requests that run at most once.
    fn observe(&mut self, pulse: &HeartbeatReply, sent: Instant, now: Instant) {
        let lease = sent + pulse.lease;
        Arc::make_mut(&mut self.tenure).observe(pulse.fence, &pulse.members, lease, now);
    }

    fn refill(&mut self, grant: Option<Grant>, expires: Instant, now: Instant) {
        let Some(grant) = grant else { return };
        if grant.fresh {
            self.branch = ShareLedger::below_root(self.me().vm.clone(), now);
        }
        self.branch.set_supply(&grant.shares, expires, now);
    }

    fn hear(&mut self, beat: &Heartbeat, now: Instant) {
        self.children.hear(beat, now);
        let child = &beat.member.vm;
        let mut changed = false;
        for member in beat.members.iter().chain([&beat.member]) {
            let known = self.roster.member(&member.vm);
            if member.vm != self.me().vm && self.subtree.record(child, member, known) {
                changed |= self.merge(member.clone());
            }
        }
        if changed {
            self.publish();
        }
    }

    fn mark_gone(&mut self, vm: &filbertwheel_core::VmId) {
        let Some(member) = self.roster.member(vm).cloned() else {
            return;
        };
        if member.status == Status::Gone || *vm == self.me().vm {
            return;
        }
        tracing::warn!("control: {vm} is silent and counts as gone.");
        let gone = Member {
            status: Status::Gone,
            ..member
        };
        // Below the root, the word of the root decides: the member may have another parent.
        if self.is_root() {
            self.merge(gone);
            self.publish();
        } else {
            self.subtree.queue_report(gone);
        }
    }

    /// Tells a new parent of everything below.
    fn report_all(&mut self) {
        let names = self.subtree.vms().chain([&self.me().vm]);
        let members: Vec<Member> = names
            .filter_map(|vm| self.roster.member(vm).cloned())
            .collect();
        for member in members {
            self.subtree.queue_report(member);
        }
    }

    fn turn_down(&mut self, error: RootError) -> ControlError {
        match error {
            RootError::OutOfOrder => ControlError::OutOfOrder,
            RootError::Superseded => {
                self.step_down();
                ControlError::WrongFence
            }
        }
    }

    /// How long nodes below may serve from now on.
    fn lease_left(&self, now: Instant) -> Duration {
        match self.root() {
            // A root that may have been replaced doesn't know the latest configuration.
            Some(root) if !root.term().is_live(now) => Duration::ZERO,
            Some(_) => SERVING_LEASE,
            None => self
                .lease
                .map_or(Duration::ZERO, |until| until.saturating_duration_since(now)),
        }
    }

    fn root_address(&self) -> SocketAddr {
        let own = self.me().address;
        let above = self.link.distant_root().or(self.link.parent());
        above.filter(|_| !self.is_root()).unwrap_or(own)
    }
}
