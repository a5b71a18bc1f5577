//! The control state.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use filbertwheel_backend::Announcement;
use filbertwheel_core::{
    Change, Claim, Clock, Configuration, Delta, Fence, Member, OrganisationId, Rate, Status,
    Tokens, Version, VmId, invariant,
};
use filbertwheel_peer::Controls;
use filbertwheel_platform::Table;
use filbertwheel_policy::{LeaseRow, Ledger, Link, Purse, Root, Roster, Subtree, Voter};

use crate::control::children::Children;
use crate::metrics::Metrics;
use crate::snapshot::{Board, Snapshot};

/// How long a node may serve keyed routes after its last beat that was answered.
pub(crate) const SERVING_LEASE: Duration = Duration::from_secs(8);
/// Changes that are kept at hand for nodes that lag.
const CHANGES_KEPT: usize = 1_000;

/// What the control state works with.
#[derive(Debug)]
pub(crate) struct Parts {
    pub clock: Arc<dyn Clock>,
    pub table: Arc<dyn Table>,
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
    pub(super) roster: Roster,
    config: Configuration,
    changes: VecDeque<Change>,
    /// Until when the node may serve keyed routes.
    pub(super) lease: Option<Instant>,
    pub(super) link: Link,
    /// The exchange of the node with itself.
    pub(super) own: Link,
    /// The node's shares, and what it has given of them.
    pub(super) branch: Ledger,
    pub(super) children: Children,
    pub(super) subtree: Subtree,
    /// Position of this node's view in its parent's sequence.
    pub(super) seen: u64,
    /// Version that every live member has confirmed, as the parent says.
    pub(super) confirmed: Version,
    /// The root's state, where this node is the root.
    root: Option<Box<Root>>,
}

impl Control {
    /// The state of a node that has just started.
    pub fn open(parts: Parts, me: Member) -> Self {
        let branch = Ledger::branch(me.vm.clone(), parts.clock.now());
        Self {
            parts,
            me,
            roster: Roster::default(),
            config: Configuration::default(),
            changes: VecDeque::new(),
            lease: None,
            link: Link::default(),
            own: Link::default(),
            branch,
            children: Children::default(),
            subtree: Subtree::default(),
            seen: 0,
            confirmed: 0,
            root: None,
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
        &self.config
    }

    /// Whether this node is the root.
    pub fn is_root(&self) -> bool {
        self.root.is_some()
    }

    /// The parent, where this node isn't the root.
    pub fn parent(&self) -> Option<SocketAddr> {
        self.link.parent()
    }

    /// The root above the parent, where the parent isn't it.
    pub fn distant_root(&self) -> Option<SocketAddr> {
        self.link.distant_root()
    }

    /// Fence of the root that this node follows or is.
    pub fn fence(&self) -> Fence {
        self.link.fence()
    }

    /// Whether the node needs another parent.
    pub fn is_lost(&self, now: Instant) -> bool {
        self.link.is_lost(now)
    }

    /// The root's state, where this node is the root.
    pub fn root(&self) -> Option<&Root> {
        self.root.as_deref()
    }

    /// The root's state, for changes.
    pub fn root_mut(&mut self) -> Option<&mut Root> {
        self.root.as_deref_mut()
    }

    /// The shares that this node has given out.
    pub fn ledger(&self) -> &Ledger {
        self.root().map_or(&self.branch, Root::ledger)
    }

    /// The voters that the root's next renewal names.
    pub fn choose_voters(&self, now: Instant) -> Vec<Voter> {
        let Some(root) = self.root() else {
            return Vec::new();
        };
        let names = root.ledger().children();
        let members = names.filter_map(|vm| self.roster.member(vm));
        root.reign().choose(members, now)
    }

    /// Whether what this root has granted is all that can be in use.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.root().is_some_and(|root| root.reign().is_settled(now))
    }

    /// Takes note of the backend server.
    pub fn announce(&mut self, announcement: &Announcement) {
        self.me.service = Some(announcement.service.clone());
        self.me.slots = announcement.slots;
        if self.me.status < Status::Draining {
            self.me.status = announcement.status;
        }
        self.publish();
    }

    /// Starts or ends the node's leave.
    pub fn set_status(&mut self, status: Status) {
        self.me.status = status;
        self.publish();
    }

    /// Becomes the root by a write sent at `sent`, which replaced the row `earlier`.
    pub fn lead(&mut self, fence: Fence, earlier: Option<&LeaseRow>, sent: Instant) {
        invariant!(
            "fence-grows",
            fence > self.fence(),
            "fence {fence} does not grow"
        );
        tracing::info!("control: This node is now the root with fence {fence}.");
        let now = self.parts.clock.now();
        let own = Voter {
            vm: self.me.vm.clone(),
            incarnation: self.me.incarnation,
        };
        let mut root = Root::open(own, fence, earlier, sent, now);
        root.exclude(&self.branch, self.link.is_below_root());
        self.link.detach(fence);
        self.root = Some(Box::new(root));
        let live = self
            .roster
            .members()
            .filter(|member| member.status < Status::Gone);
        self.subtree.watch(live.map(|member| &member.vm), now);
    }

    /// Stops being the root.
    pub fn step_down(&mut self) {
        if self.root.take().is_some() {
            tracing::warn!("control: This node is no longer the root.");
            let now = self.parts.clock.now();
            self.branch = Ledger::branch(self.me.vm.clone(), now);
            self.link.detach(self.fence());
        }
    }

    /// Takes another node's claim.
    pub fn take_claim(&mut self, claim: &Claim) -> Tokens {
        let now = self.parts.clock.now();
        let organisation = &claim.organisation;
        let Some(known) = self.config.organisations.get(organisation) else {
            return Tokens {
                count: 0,
                retry_after: SERVING_LEASE,
            };
        };
        let limit = known.limit;
        let mut purse = self.purse();
        purse.ask(organisation, claim.count, now);
        let count = purse.pay(organisation, limit, claim.count, now);
        let retry_after = Duration::try_from_secs_f64(1.0 / limit.rate).unwrap_or(SERVING_LEASE);
        Tokens { count, retry_after }
    }

    /// Brings the configuration up to date. Versions never go back.
    pub fn apply(&mut self, delta: Delta) {
        let before = self.config.version;
        match delta {
            Delta::Changes(changes) => changes.into_iter().for_each(|change| self.change(change)),
            Delta::Whole(config) if config.version > before => {
                self.config = config;
                self.changes.clear();
            }
            Delta::Whole(_) => {}
        }
        let after = self.config.version;
        invariant!(
            "config-never-reverts",
            after >= before,
            "{before} became {after}"
        );
        if after > before {
            tracing::info!("control: Configuration {after} is in force.");
            self.parts.metrics.config.set(after as i64);
            self.publish();
        }
    }

    /// The configuration's version that every live member has confirmed.
    pub fn confirmed(&self) -> Version {
        let Some(root) = self.root() else {
            return self.confirmed;
        };
        // Nodes that an earlier root still serves haven't been heard yet.
        if !root.has_outlived(SERVING_LEASE, self.parts.clock.now()) {
            return self.confirmed;
        }
        self.children.confirmed(self.config.version)
    }

    /// Children below which a node hasn't confirmed a version.
    pub fn unconfirmed(&self, version: Version) -> Vec<VmId> {
        self.children.unconfirmed(version)
    }

    /// Purse of the node, shared with traffic.
    pub fn purse(&self) -> MutexGuard<'_, Purse> {
        self.parts
            .purse
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&mut self, change: Change) {
        if change.version <= self.config.version {
            return;
        }
        if let Err(error) = self.config.apply(&change) {
            tracing::error!("control: Change {} does not fit: {error}.", change.version);
            return;
        }
        self.changes.push_back(change);
        if self.changes.len() > CHANGES_KEPT {
            self.changes.pop_front();
        }
    }

    pub(super) fn delta_since(&self, version: Version) -> Delta {
        let first = self.changes.front().map(|change| change.version);
        let at_hand = first.is_some_and(|first| first <= version + 1);
        if version >= self.config.version || at_hand {
            let newer = self
                .changes
                .iter()
                .filter(|change| change.version > version);
            return Delta::Changes(newer.cloned().collect());
        }
        Delta::Whole(self.config.clone())
    }

    pub(super) fn limits(&self) -> BTreeMap<OrganisationId, Rate> {
        let organisations = self.config.organisations.iter();
        organisations
            .map(|(name, organisation)| (name.clone(), organisation.limit))
            .collect()
    }

    pub(super) fn publish(&self) {
        self.parts.board.store(Arc::new(Snapshot {
            config: Arc::new(self.config.clone()),
            roster: Arc::new(self.roster.clone()),
            me: self.me.clone(),
            lease: self.lease,
        }));
    }
}
