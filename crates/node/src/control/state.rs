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
use filbertwheel_policy::{Ledger, Purse, Roster, SHARE_LIFETIME};

use crate::metrics::Metrics;
use crate::snapshot::{Board, Snapshot};

/// How long a node may serve keyed routes after its last beat that was answered.
pub(crate) const SERVING_LEASE: Duration = Duration::from_secs(5);
/// Silence after which a child is gone.
const CHILD_SILENCE: Duration = Duration::from_secs(6);

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
    config: ConfigLog,
    lease: Option<Instant>,
    beats: u64,
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
    Child { root: SocketAddr, fence: Fence },
    /// This node is the root.
    Root(Box<Root>),
}

#[derive(Debug)]
struct Root {
    fence: Fence,
    ledger: Ledger,
    children: BTreeMap<VmId, Heard>,
}

#[derive(Debug)]
struct Heard {
    at: Instant,
    config: Version,
}

impl Control {
    /// The state of a node that has just started.
    pub fn open(parts: Parts, me: Member) -> Self {
        Self {
            parts,
            me,
            roster: Roster::default(),
            config: ConfigLog::default(),
            lease: None,
            beats: 0,
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
            Role::Child { root, .. } => Some(root),
            _ => None,
        }
    }

    /// Fence of the root that this node follows or is.
    pub fn fence(&self) -> Fence {
        match &self.role {
            Role::Lost => 0,
            Role::Child { fence, .. } => *fence,
            Role::Root(root) => root.fence,
        }
    }

    /// Whether the last answered beat is older than the serving lease allows.
    pub fn is_cut_off(&self, now: Instant) -> bool {
        self.lease.is_none_or(|until| until <= now)
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

    /// Follows another root.
    pub fn follow(&mut self, root: SocketAddr, fence: Fence) {
        if fence < self.fence() {
            return;
        }
        if fence > self.fence() {
            self.seen = 0;
        }
        self.role = Role::Child { root, fence };
    }

    /// Becomes the root. `withheld` is when the shares of earlier roots have run out.
    pub fn lead(&mut self, fence: Fence, withheld: Option<Instant>) {
        invariant!(
            "fence-grows",
            fence > self.fence(),
            "fence {fence} does not grow"
        );
        tracing::info!("control: This node is now the root with fence {fence}.");
        let ledger = Ledger::open(self.me.vm.clone(), withheld);
        self.role = Role::Root(Box::new(Root {
            fence,
            ledger,
            children: BTreeMap::new(),
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
        self.beats += 1;
        let demands = self.purse().demands(self.parts.clock.now());
        Beat {
            member: self.me.clone(),
            number: self.beats,
            fence: self.fence(),
            config: self.config().version,
            roster: self.seen,
            demands,
        }
    }

    /// Takes another node's beat.
    pub fn take_beat(&mut self, beat: &Beat) -> Result<Pulse, SinkError> {
        let now = self.parts.clock.now();
        let limits = self.limits();
        let Role::Root(root) = &mut self.role else {
            return Err(SinkError::NoRoot);
        };
        if beat.fence > root.fence {
            return Err(SinkError::WrongFence);
        }
        let shares = root.ledger.settle(beat, &limits, now);
        let shares = shares.map_err(|_| SinkError::OutOfOrder)?;
        let heard = Heard {
            at: now,
            config: beat.config,
        };
        root.children.insert(beat.member.vm.clone(), heard);
        let fence = root.fence;
        if self.roster.merge(beat.member.clone()) {
            self.publish();
        }
        // Positions of an earlier root's sequence mean nothing here.
        let known = if beat.fence == fence { beat.roster } else { 0 };
        Ok(Pulse {
            fence,
            lease: SERVING_LEASE,
            lifetime: SHARE_LIFETIME,
            confirmed: self.confirmed(),
            delta: self.config.since(beat.config),
            roster: self.roster.position(),
            members: self.roster.since(known),
            shares,
        })
    }

    /// Takes the answer to a beat that was sent at `sent`.
    pub fn take_pulse(&mut self, pulse: Pulse, sent: Instant) {
        if pulse.fence < self.fence() {
            return;
        }
        let now = self.parts.clock.now();
        if let Role::Child { fence, .. } = &mut self.role {
            *fence = pulse.fence;
        }
        self.apply(pulse.delta);
        for member in pulse.members {
            self.roster.merge(member);
        }
        self.seen = pulse.roster;
        self.confirmed = pulse.confirmed;
        self.lease = Some(sent + pulse.lease);
        let limits = self.limits();
        let expires = sent + pulse.lifetime;
        let limit = |organisation: &OrganisationId| limits.get(organisation).copied();
        self.purse().adopt(&pulse.shares, limit, expires, now);
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
        let Role::Root(root) = &self.role else {
            return self.confirmed;
        };
        let versions = root.children.values().map(|heard| heard.config);
        versions.min().unwrap_or(0).min(self.config().version)
    }

    /// Children that haven't confirmed a version.
    pub fn unconfirmed(&self, version: Version) -> Vec<VmId> {
        let Role::Root(root) = &self.role else {
            return Vec::new();
        };
        let late = root
            .children
            .iter()
            .filter(|(_, heard)| heard.config < version);
        late.map(|(vm, _)| vm.clone()).collect()
    }

    /// Configuration version of each node that reports to this one; `None` unless it's the root.
    pub fn versions(&self) -> Option<Vec<(VmId, Version)>> {
        let Role::Root(root) = &self.role else {
            return None;
        };
        let children = root.children.iter();
        Some(
            children
                .map(|(vm, heard)| (vm.clone(), heard.config))
                .collect(),
        )
    }

    /// Marks children that have been silent for too long as gone.
    pub fn expire_children(&mut self) {
        let now = self.parts.clock.now();
        let Role::Root(root) = &mut self.role else {
            return;
        };
        let silent: Vec<VmId> = root
            .children
            .iter()
            .filter(|(_, heard)| now.saturating_duration_since(heard.at) > CHILD_SILENCE)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in silent {
            root.children.remove(&vm);
            if let Some(member) = self.roster.member(&vm).cloned() {
                tracing::warn!("control: {vm} is silent and counts as gone.");
                self.roster.merge(Member {
                    status: Status::Gone,
                    ..member
                });
            }
        }
        self.publish();
    }

    /// Purse of the node, shared with traffic.
    pub fn purse(&self) -> MutexGuard<'_, Purse> {
        self.parts
            .purse
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
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
            me: self.me.clone(),
            lease: self.lease,
        }));
    }
}
