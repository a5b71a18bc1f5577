//! Heartbeats to the parent, and replies to the heartbeats of children.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertwheel_core::{
    Demand, Grant, Heartbeat, HeartbeatReply, Member, OrganisationId, Status, Version,
};
use filbertwheel_peer::ControlError;
use filbertwheel_policy::{
    AttachOutcome, MAX_CHILDREN, ParentSession, Root, RootError, SHARE_LIFETIME, ShareLedger,
    choose_child,
};

use crate::control::Control;
use crate::control::state::SERVING_LEASE;

impl Control {
    /// Allocates the node's own shares by a heartbeat to itself, as if it were its own child.
    pub fn renew_own_shares(&mut self) {
        let now = self.parts.clock.now();
        let demands = self.buckets().demands(now);
        self.own_session.begin(now);
        let heartbeat = self.heartbeat(&self.own_session, self.config().version, demands);
        if self.merge(heartbeat.member.clone()) {
            self.subtree.queue_report(heartbeat.member.clone());
            self.publish();
        }
        if let Ok((grant, lifetime)) = self.grant(&heartbeat, now) {
            let reply = self.reply(&heartbeat, None, grant, lifetime, now);
            self.apply_own_reply(reply, now);
        }
    }

    /// Builds the next heartbeat to the parent.
    pub fn next_heartbeat(&mut self) -> Heartbeat {
        let now = self.parts.clock.now();
        self.parent_session.begin(now);
        let config = self.children.confirmed(self.config().version);
        let members = self.subtree.report();
        let demands = self.child_ledger.demands(now);
        Heartbeat {
            members,
            ..self.heartbeat(&self.parent_session, config, demands)
        }
    }

    /// Handles a heartbeat from another node.
    pub fn handle_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
    ) -> Result<HeartbeatReply, ControlError> {
        let now = self.parts.clock.now();
        if self.parent_session.parent().is_none() && !self.is_root() {
            return Err(ControlError::NoRoot);
        }
        if let Some(parent) = self.redirect(heartbeat, now) {
            return Ok(self.reply(heartbeat, Some(parent), None, SHARE_LIFETIME, now));
        }
        let (grant, lifetime) = self.grant(heartbeat, now)?;
        self.record_heartbeat(heartbeat, now);
        Ok(self.reply(heartbeat, None, grant, lifetime, now))
    }

    /// Handles the reply to a heartbeat that reported the members `reported`.
    pub fn handle_reply(&mut self, reply: HeartbeatReply, reported: &[Member]) {
        let before = self.fence();
        let Some(sent) = self.parent_session.accept(&reply) else {
            return;
        };
        let now = self.parts.clock.now();
        if reply.parent.is_none() {
            self.record_ownership(&reply, sent, now);
        }
        self.apply(reply.delta);
        for member in reply.members {
            self.merge(member);
        }
        self.roster_position = reply.roster;
        self.confirmed = reply.confirmed;
        if reply.lease > Duration::ZERO {
            self.lease = Some(sent + reply.lease);
            self.parent_session.refresh(sent);
        }
        if let Some(parent) = reply.parent {
            self.attach(parent, reply.fence);
        } else {
            self.subtree.acknowledge(reported);
            self.update_supply(reply.grant, sent + reply.lifetime, now);
        }
        if reply.fence > before {
            self.report_all();
        }
        self.publish();
    }

    /// Sends heartbeats to another parent from now on.
    pub fn attach(&mut self, parent: SocketAddr, fence: u64) {
        let now = self.parts.clock.now();
        if self.is_root() {
            return;
        }
        let before = (self.parent_session.parent(), self.fence());
        if self.parent_session.attach(parent, fence, now) == AttachOutcome::Fresh {
            self.child_ledger = ShareLedger::below_root(self.local_member().vm.clone(), now);
        }
        if before != (self.parent_session.parent(), self.fence()) {
            self.roster_position = 0;
            self.report_all();
        }
    }

    /// Marks children as gone whose heartbeats have timed out, and their descendants that haven't
    /// attached to another parent in time.
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

    fn heartbeat(
        &self,
        parent_session: &ParentSession,
        config: Version,
        demands: Vec<Demand>,
    ) -> Heartbeat {
        Heartbeat {
            member: self.local_member().clone(),
            number: parent_session.number(),
            since: parent_session.first_number(),
            heard: parent_session.last_stamp(),
            fence: self.fence(),
            config,
            roster: self.roster_position,
            members: Vec::new(),
            demands,
        }
    }

    fn reply(
        &self,
        heartbeat: &Heartbeat,
        parent: Option<SocketAddr>,
        grant: Option<Grant>,
        lifetime: Duration,
        now: Instant,
    ) -> HeartbeatReply {
        // A roster position is only valid under the root that assigned it.
        let known = if heartbeat.fence == self.fence() {
            heartbeat.roster
        } else {
            0
        };
        HeartbeatReply {
            number: heartbeat.number,
            stamp: self.ledger().stamp(&heartbeat.member.vm),
            fence: self.fence(),
            root: self.root_address(),
            parent,
            lease: parent.map_or_else(|| self.lease_left(now), |_| Duration::ZERO),
            lifetime,
            confirmed: self.confirmed(),
            delta: self.config.delta_since(heartbeat.config),
            roster: self.roster.position(),
            members: self.roster.since(known),
            grant,
        }
    }

    /// Returns the child that a new node is redirected to if this node has no room for it.
    fn redirect(&self, heartbeat: &Heartbeat, now: Instant) -> Option<SocketAddr> {
        let vm = &heartbeat.member.vm;
        let accepts_all = |root: &Root| root.accepts_all(heartbeat, now);
        let stays = self.children.vms().any(|child| child == vm)
            || self.children.vms().count() < MAX_CHILDREN
            || heartbeat.member.status == Status::Gone
            || self.root().is_some_and(accepts_all);
        if stays {
            return None;
        }
        let child = choose_child(vm, self.children.vms())?;
        self.roster.member(child).map(|member| member.address)
    }

    fn grant(
        &mut self,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> Result<(Option<Grant>, Duration), ControlError> {
        let limits = self.limits();
        if let Some(root) = self.root_mut() {
            let handled = root.handle_heartbeat(heartbeat, &limits, now);
            let grant = handled.map_err(|error| self.refuse(error))?;
            return Ok((grant, SHARE_LIFETIME));
        }
        if heartbeat.fence > self.fence() {
            return Err(ControlError::WrongFence);
        }
        let recorded = self.child_ledger.record_heartbeat(heartbeat, now);
        recorded.map_err(|_| ControlError::OutOfOrder)?;
        let grant = self.child_ledger.allocate(heartbeat, &limits, now, now);
        Ok((grant, self.child_ledger.lifetime(now)))
    }

    fn apply_own_reply(&mut self, reply: HeartbeatReply, now: Instant) {
        let Some(sent) = self.own_session.accept(&reply) else {
            return;
        };
        if self.is_root() {
            self.record_ownership(&reply, sent, now);
            self.roster_position = reply.roster;
            if reply.lease > Duration::ZERO {
                self.lease = Some(sent + reply.lease);
            }
            self.publish();
        }
        if let Some(grant) = reply.grant {
            let limits = self.limits();
            let limit = |organisation: &OrganisationId| limits.get(organisation).copied();
            self.buckets()
                .set_shares(&grant.shares, limit, sent + reply.lifetime, now);
        }
    }

    /// Records the root's view of the members, from which the owners of request ids are derived.
    fn record_ownership(&mut self, reply: &HeartbeatReply, sent: Instant, now: Instant) {
        let lease = sent + reply.lease;
        Arc::make_mut(&mut self.ownership).observe(reply.fence, &reply.members, lease, now);
    }

    fn update_supply(&mut self, grant: Option<Grant>, expires: Instant, now: Instant) {
        let Some(grant) = grant else { return };
        if grant.fresh {
            self.child_ledger = ShareLedger::below_root(self.local_member().vm.clone(), now);
        }
        self.child_ledger.set_supply(&grant.shares, expires, now);
    }

    fn record_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) {
        self.children.record(heartbeat, now);
        let child = &heartbeat.member.vm;
        let mut changed = false;
        for member in heartbeat.members.iter().chain([&heartbeat.member]) {
            let known = self.roster.member(&member.vm);
            if member.vm != self.local_member().vm && self.subtree.record(child, member, known) {
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
        if member.status == Status::Gone || *vm == self.local_member().vm {
            return;
        }
        tracing::warn!("control: The heartbeats of {vm} timed out; it counts as gone.");
        let gone = Member {
            status: Status::Gone,
            ..member
        };
        // Only the root may mark a member as gone, since the member may have another parent.
        if self.is_root() {
            self.merge(gone);
            self.publish();
        } else {
            self.subtree.queue_report(gone);
        }
    }

    /// Queues reports on this node and its subtree for a new parent.
    fn report_all(&mut self) {
        let names = self.subtree.vms().chain([&self.local_member().vm]);
        let members: Vec<Member> = names
            .filter_map(|vm| self.roster.member(vm).cloned())
            .collect();
        for member in members {
            self.subtree.queue_report(member);
        }
    }

    fn refuse(&mut self, error: RootError) -> ControlError {
        match error {
            RootError::OutOfOrder => ControlError::OutOfOrder,
            RootError::Superseded => {
                self.step_down();
                ControlError::WrongFence
            }
        }
    }

    /// Returns the serving lease that this node can grant to its children.
    fn lease_left(&self, now: Instant) -> Duration {
        match self.root() {
            // A root that may have been replaced may not have the latest configuration.
            Some(root) if !root.term().is_live(now) => Duration::ZERO,
            Some(_) => SERVING_LEASE,
            None => self
                .lease
                .map_or(Duration::ZERO, |until| until.saturating_duration_since(now)),
        }
    }

    fn root_address(&self) -> SocketAddr {
        let own = self.local_member().address;
        let above = self
            .parent_session
            .distant_root()
            .or(self.parent_session.parent());
        above.filter(|_| !self.is_root()).unwrap_or(own)
    }
}
