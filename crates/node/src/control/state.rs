//! The control state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use filbertwheel_backend::Announcement;
use filbertwheel_core::{
    Beat, Claim, Clock, ConfigLog, Configuration, Delta, Fence, Member, OrganisationId, Pulse,
    Rate, Status, Tokens, Version, VmId, invariant,
};
use filbertwheel_peer::{Controls, SinkError};
use filbertwheel_platform::{Objects, Table};
use filbertwheel_policy::{
    LeaseRow, Link, Purse, Root, RootError, Roster, SHARE_LIFETIME, Tenure, Voter,
};

use crate::control::children::Children;
use crate::metrics::Metrics;
use crate::snapshot::{Board, Snapshot};

/// How long a node may serve keyed routes after its last beat that was answered.
pub(crate) const SERVING_LEASE: Duration = Duration::from_secs(8);
/// Time without an answered beat after which a node looks for another root.
const LOST_TIME: Duration = Duration::from_millis(1_500);

/// What the control state works with.
#[derive(Debug)]
pub(crate) struct Parts {
    pub clock: Arc<dyn Clock>,
    pub table: Arc<dyn Table>,
    pub objects: Arc<dyn Objects>,
    pub controls: Arc<dyn Controls>,
    pub purse: Arc<Mutex<Purse>>,
    pub board: Board,
    pub metrics: Arc<Metrics>,
    pub beat: Duration,
}

/// The control state of one node.
#[derive(Debug)]
pub(crate) struct Control {
    pub parts: Parts,
    me: Member,
    roster: Roster,
    tenure: Arc<Tenure>,
    config: ConfigLog,
    lease: Option<Instant>,
    /// When the latest beat that was answered was sent.
    answered: Option<Instant>,
    link: Link,
    /// Position of this node's view in its parent's sequence.
    seen: u64,
    /// Version that every live member has confirmed, as the parent says.
    confirmed: Version,
    role: Role,
}

/// Where the node stands in its region's tree.
#[derive(Debug)]
enum Role {
    /// No root is known yet.
    Lost,
    /// Another node is the root.
    Child(SocketAddr),
    /// This node is the root.
    Root(Box<Lead>),
}

/// What a root keeps.
#[derive(Debug)]
struct Lead {
    root: Root,
    children: Children,
}

impl Control {
    /// The state of a node that has just started.
    pub fn open(parts: Parts, me: Member) -> Self {
        Self {
            parts,
            tenure: Arc::new(Tenure::open(me.vm.clone(), SERVING_LEASE)),
            me,
            roster: Roster::default(),
            config: ConfigLog::default(),
            lease: None,
            answered: None,
            link: Link::default(),
            seen: 0,
            confirmed: 0,
            role: Role::Lost,
        }
    }

    /// The node itself.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// The members that are known.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// The configuration in force.
    pub fn config(&self) -> &Configuration {
        self.config.current()
    }

    /// Whether this node is the root.
    pub fn is_root(&self) -> bool {
        matches!(self.role, Role::Root(_))
    }

    /// The root that this node follows, if it's another node.
    pub fn parent(&self) -> Option<SocketAddr> {
        match self.role {
            Role::Child(root) => Some(root),
            _ => None,
        }
    }

    /// Fence of the root that this node follows or is.
    pub fn fence(&self) -> Fence {
        self.link.fence()
    }

    /// Whether the node needs another root.
    pub fn is_lost(&self, now: Instant) -> bool {
        let silent = |at: Instant| now.saturating_duration_since(at) > LOST_TIME;
        self.parent().is_none() || self.answered.is_none_or(silent)
    }

    /// The root's state, where this node is the root.
    pub fn root_mut(&mut self) -> Option<&mut Root> {
        match &mut self.role {
            Role::Root(lead) => Some(&mut lead.root),
            _ => None,
        }
    }

    /// The voters that the root's next renewal names.
    pub fn choose_voters(&self, now: Instant) -> Vec<Voter> {
        let Role::Root(lead) = &self.role else {
            return Vec::new();
        };
        let live = lead.children.names();
        let members = live.filter_map(|vm| self.roster.member(vm));
        lead.root.reign().choose(members, now)
    }

    /// Whether what this root has granted is all that can be in use.
    pub fn is_settled(&self, now: Instant) -> bool {
        matches!(&self.role, Role::Root(lead) if lead.root.reign().is_settled(now))
    }

    /// Takes note of the backend server.
    pub fn announce(&mut self, announcement: &Announcement) {
        self.me.service = Some(announcement.service.clone());
        self.me.slots = announcement.slots;
        if self.me.status < Status::Draining {
            self.me.status = announcement.status;
        }
        self.heed_drain();
        self.publish();
    }

    /// Starts or ends the node's leave.
    pub fn set_status(&mut self, status: Status) {
        self.me.status = status;
        self.publish();
    }

    /// Follows another root, unless it's an earlier one.
    pub fn follow(&mut self, root: SocketAddr, fence: Fence) {
        let before = self.fence();
        if !self.link.follow(fence) {
            return;
        }
        if fence > before {
            self.seen = 0;
        }
        self.role = Role::Child(root);
    }

    /// Becomes the root by a write sent at `sent`, which replaced the row `earlier`.
    pub fn lead(&mut self, fence: Fence, earlier: Option<&LeaseRow>, sent: Instant) {
        invariant!(
            "fence-grows",
            fence > self.fence(),
            "fence {fence} does not grow"
        );
        if !self.link.follow(fence) {
            return;
        }
        tracing::info!("control: This node is now the root with fence {fence}.");
        self.seen = 0;
        let now = self.parts.clock.now();
        let own = Voter {
            vm: self.me.vm.clone(),
            incarnation: self.me.incarnation,
        };
        self.role = Role::Root(Box::new(Lead {
            root: Root::open(own, fence, earlier, sent, now),
            children: Children::default(),
        }));
    }

    /// Stops being the root.
    pub fn step_down(&mut self) {
        if self.is_root() {
            tracing::warn!("control: This node is no longer the root.");
            self.role = Role::Lost;
        }
    }

    /// The node's next beat.
    pub fn next_beat(&mut self) -> Beat {
        let now = self.parts.clock.now();
        self.link.begin(now);
        let demands = self.purse().demands(now);
        Beat {
            member: self.me.clone(),
            number: self.link.number(),
            heard: self.link.heard(),
            fence: self.fence(),
            config: self.config().version,
            roster: self.seen,
            demands,
        }
    }

    /// Takes another node's beat.
    pub fn take_beat(&mut self, beat: &Beat) -> Result<Pulse, SinkError> {
        let limits = self.limits();
        let Role::Root(lead) = &mut self.role else {
            return Err(SinkError::NoRoot);
        };
        let now = self.parts.clock.now();
        let taken = lead.root.take_beat(beat, &limits, now);
        let fence = lead.root.fence();
        // A root that may have been replaced doesn't know the latest configuration.
        let lease = if lead.root.reign().is_live(now) {
            SERVING_LEASE
        } else {
            Duration::ZERO
        };
        let shares = taken.map_err(|error| self.turn_down(error))?;
        self.hear(beat, now);
        // Positions of an earlier root's sequence mean nothing here.
        let known = if beat.fence == fence { beat.roster } else { 0 };
        Ok(Pulse {
            number: beat.number,
            fence,
            lease,
            lifetime: SHARE_LIFETIME,
            confirmed: self.confirmed(),
            delta: self.config.since(beat.config),
            roster: self.roster.position(),
            members: self.roster.since(known),
            shares,
        })
    }

    /// Takes the answer to a beat.
    pub fn take_pulse(&mut self, pulse: Pulse) {
        let Some(sent) = self.link.accept(pulse.number, pulse.fence) else {
            return;
        };
        let now = self.parts.clock.now();
        self.apply(pulse.delta);
        let lease = sent + pulse.lease;
        Arc::make_mut(&mut self.tenure).observe(pulse.fence, &pulse.members, lease, now);
        for member in pulse.members {
            self.roster.merge(member);
        }
        self.seen = pulse.roster;
        self.confirmed = pulse.confirmed;
        if pulse.lease > Duration::ZERO {
            self.answered = Some(sent);
            self.lease = Some(sent + pulse.lease);
        }
        if let Some(shares) = pulse.shares {
            let limits = self.limits();
            let limit = |organisation: &OrganisationId| limits.get(organisation).copied();
            self.purse()
                .adopt(&shares, limit, sent + pulse.lifetime, now);
        }
        self.publish();
    }

    /// Takes another node's claim.
    pub fn take_claim(&mut self, claim: &Claim) -> Result<Tokens, SinkError> {
        if !self.is_root() {
            return Err(SinkError::NoRoot);
        }
        if claim.fence != self.fence() {
            return Err(SinkError::WrongFence);
        }
        let now = self.parts.clock.now();
        let organisation = &claim.organisation;
        let Some(known) = self.config().organisations.get(organisation) else {
            return Ok(Tokens {
                count: 0,
                retry_after: SERVING_LEASE,
            });
        };
        let limit = known.limit;
        let mut purse = self.purse();
        purse.ask(organisation, claim.count, now);
        let count = purse.pay(organisation, limit, claim.count, now);
        let retry_after = Duration::try_from_secs_f64(1.0 / limit.rate).unwrap_or(SERVING_LEASE);
        Ok(Tokens { count, retry_after })
    }

    /// Brings the configuration up to date. Versions never go back.
    pub fn apply(&mut self, delta: Delta) {
        match self.config.apply(delta) {
            Ok(false) => return,
            Ok(true) => {}
            Err(error) => tracing::error!("control: A change does not fit: {error}."),
        }
        let version = self.config().version;
        tracing::info!("control: Configuration {version} is in force.");
        self.parts.metrics.config.set(version as i64);
        self.heed_drain();
        self.publish();
    }

    /// The configuration's version that every live member has confirmed.
    pub fn confirmed(&self) -> Version {
        let Role::Root(lead) = &self.role else {
            return self.confirmed;
        };
        // Nodes that an earlier root still serves haven't been heard yet.
        if !lead
            .root
            .has_outlived(SERVING_LEASE, self.parts.clock.now())
        {
            return self.confirmed;
        }
        lead.children.confirmed().min(self.config().version)
    }

    /// Children that haven't confirmed a version.
    pub fn unconfirmed(&self, version: Version) -> Vec<VmId> {
        match &self.role {
            Role::Root(lead) => lead.children.unconfirmed(version),
            _ => Vec::new(),
        }
    }

    /// Configuration version of each node that reports to this one; `None` unless it's the root.
    pub fn versions(&self) -> Option<Vec<(VmId, Version)>> {
        match &self.role {
            Role::Root(lead) => Some(lead.children.versions()),
            _ => None,
        }
    }

    /// Marks children that have been silent for too long as gone.
    pub fn expire_children(&mut self) {
        let now = self.parts.clock.now();
        let Role::Root(lead) = &mut self.role else {
            return;
        };
        let silent = lead.children.expire(now);
        for vm in &silent {
            if let Some(member) = self.roster.member(vm).cloned() {
                tracing::warn!("control: {vm} is silent and counts as gone.");
                self.roster.merge(Member {
                    status: Status::Gone,
                    ..member
                });
            }
        }
        if !silent.is_empty() {
            self.publish();
        }
    }

    /// Purse of the node, shared with traffic.
    pub fn purse(&self) -> MutexGuard<'_, Purse> {
        self.parts
            .purse
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn hear(&mut self, beat: &Beat, now: Instant) {
        if let Role::Root(lead) = &mut self.role {
            lead.children.hear(beat, now);
        }
        if self.roster.merge(beat.member.clone()) {
            self.publish();
        }
    }

    fn turn_down(&mut self, error: RootError) -> SinkError {
        match error {
            RootError::OutOfOrder => SinkError::OutOfOrder,
            RootError::Deposed => {
                self.step_down();
                SinkError::WrongFence
            }
        }
    }

    /// Takes no new work once an operator has drained this VM.
    fn heed_drain(&mut self) {
        let drained = self.config().is_drained(&self.me.vm, self.me.incarnation);
        if drained && self.me.status < Status::Draining {
            tracing::info!("control: An operator drains this VM.");
            self.me.status = Status::Draining;
        }
    }

    fn limits(&self) -> BTreeMap<OrganisationId, Rate> {
        let organisations = self.config().organisations.iter();
        organisations
            .map(|(name, organisation)| (name.clone(), organisation.limit))
            .collect()
    }

    fn publish(&self) {
        self.parts.board.store(Arc::new(Snapshot {
            config: Arc::new(self.config().clone()),
            roster: Arc::new(self.roster.clone()),
            tenure: Arc::clone(&self.tenure),
            me: self.me.clone(),
            lease: self.lease,
        }));
    }
}
