//! The control state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use filbertwheel_backend::Announcement;
use filbertwheel_core::{
    Claim, Clock, ConfigLog, Configuration, Delta, Fence, Member, OrganisationId, Rate, Status,
    Tokens, Version, VmId, invariant,
};
use filbertwheel_peer::ControlClient;
use filbertwheel_platform::{ObjectStore, Table};
use filbertwheel_policy::{
    LeaseRow, OwnershipHistory, ParentSession, Root, Roster, ShareBuckets, ShareLedger, Subtree,
    Voter,
};

use crate::control::children::Children;
use crate::metrics::Metrics;
use crate::snapshot::{SharedSnapshot, Snapshot};

/// How long a node may serve routes that require a key after its last successful heartbeat.
pub(crate) const SERVING_LEASE: Duration = Duration::from_secs(8);

/// Dependencies of the control state.
#[derive(Debug)]
pub(crate) struct ControlParts {
    pub clock: Arc<dyn Clock>,
    pub table: Arc<dyn Table>,
    pub objects: Arc<dyn ObjectStore>,
    pub control_client: Arc<dyn ControlClient>,
    pub buckets: Arc<Mutex<ShareBuckets>>,
    pub snapshots: SharedSnapshot,
    pub metrics: Arc<Metrics>,
    pub heartbeat_interval: Duration,
}

/// The control state of one node.
#[derive(Debug)]
pub(crate) struct Control {
    pub parts: ControlParts,
    local_member: Member,
    pub(super) roster: Arc<Roster>,
    pub(super) ownership: Arc<OwnershipHistory>,
    pub(super) config: ConfigLog,
    /// When the node's lease to serve routes that require a key expires.
    pub(super) lease: Option<Instant>,
    leaving: bool,
    pub(super) parent_session: ParentSession,
    /// Heartbeat session of the node with itself.
    pub(super) own_session: ParentSession,
    /// The node's shares, and the parts of them that it has lent to its children.
    pub(super) child_ledger: ShareLedger,
    pub(super) children: Children,
    pub(super) subtree: Subtree,
    /// Position in the parent's sequence of roster changes up to which this node has them.
    pub(super) roster_position: u64,
    /// Version that every live member has confirmed, as reported by the parent.
    pub(super) confirmed: Version,
    /// The root's state, if this node is the root.
    root: Option<Box<Root>>,
}

impl Control {
    /// Creates the state of a node that has just started.
    pub fn open(parts: ControlParts, local_member: Member) -> Self {
        let child_ledger = ShareLedger::below_root(local_member.vm.clone(), parts.clock.now());
        Self {
            parts,
            ownership: Arc::new(OwnershipHistory::open(
                local_member.vm.clone(),
                SERVING_LEASE,
            )),
            local_member,
            roster: Arc::default(),
            config: ConfigLog::default(),
            lease: None,
            leaving: false,
            parent_session: ParentSession::default(),
            own_session: ParentSession::default(),
            child_ledger,
            children: Children::default(),
            subtree: Subtree::default(),
            roster_position: 0,
            confirmed: 0,
            root: None,
        }
    }

    /// Returns this node's member record.
    pub fn local_member(&self) -> &Member {
        &self.local_member
    }

    /// Returns the known members.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns the configuration in force and its most recent changes.
    pub fn config_log(&self) -> &ConfigLog {
        &self.config
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Configuration {
        self.config.current()
    }

    /// Whether the node is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether this node is the root.
    pub fn is_root(&self) -> bool {
        self.root.is_some()
    }

    /// Returns the parent's address, unless this node is the root.
    pub fn parent(&self) -> Option<SocketAddr> {
        self.parent_session.parent()
    }

    /// Returns the root's address, if the parent isn't the root itself.
    pub fn distant_root(&self) -> Option<SocketAddr> {
        self.parent_session.distant_root()
    }

    /// Returns the fencing token of the root that this node follows or is.
    pub fn fence(&self) -> Fence {
        self.parent_session.fence()
    }

    /// Whether the node has to look for another parent.
    pub fn needs_parent(&self, now: Instant) -> bool {
        self.parent_session.needs_parent(now)
    }

    /// Returns the root's state, if this node is the root.
    pub fn root(&self) -> Option<&Root> {
        self.root.as_deref()
    }

    /// Returns the root's state for changes, if this node is the root.
    pub fn root_mut(&mut self) -> Option<&mut Root> {
        self.root.as_deref_mut()
    }

    /// Returns the ledger of the shares that this node has lent out.
    pub fn ledger(&self) -> &ShareLedger {
        self.root().map_or(&self.child_ledger, Root::ledger)
    }

    /// Chooses the voters for the root's next renewal of the lease.
    pub fn choose_voters(&self, now: Instant) -> Vec<Voter> {
        let Some(root) = self.root() else {
            return Vec::new();
        };
        let names = root.ledger().children();
        let members = names.filter_map(|vm| self.roster.member(vm));
        root.term().next_voters(members, now)
    }

    /// Whether the terms of all earlier roots have ended, so that only shares granted by this root
    /// can be in use.
    pub fn predecessors_ended(&self, now: Instant) -> bool {
        self.root()
            .is_some_and(|root| root.term().predecessors_ended(now))
    }

    /// Records the backend server's announcement.
    pub fn announce(&mut self, announcement: &Announcement) {
        self.local_member.service = Some(announcement.service.clone());
        self.local_member.slots = announcement.slots;
        if !self.leaving {
            self.local_member.status = announcement.status;
        }
        self.apply_drain();
        self.publish();
    }

    /// Sets the node's status for its shutdown. Announcements of its backend server no longer
    /// change it.
    pub fn leave(&mut self, status: Status) {
        self.leaving = true;
        self.local_member.status = status;
        self.publish();
    }

    /// Becomes the root after a write of the lease row, sent at `sent`, that replaced the row
    /// `earlier`.
    pub fn become_root(&mut self, fence: Fence, earlier: Option<&LeaseRow>, sent: Instant) {
        invariant!(
            "fence-grows",
            fence > self.fence(),
            "fence {fence} does not grow"
        );
        tracing::info!("control: This node is now the root with fence {fence}.");
        self.roster_position = 0;
        let now = self.parts.clock.now();
        let own = Voter {
            vm: self.local_member.vm.clone(),
            incarnation: self.local_member.incarnation,
        };
        let mut root = Root::open(own, fence, earlier, sent, now);
        root.exclude_children(&self.child_ledger, self.parent_session.is_below_root());
        self.parent_session.detach(fence);
        // The first reply under a new root has all members.
        self.roster_position = 0;
        self.root = Some(Box::new(root));
        let live = self
            .roster
            .members()
            .filter(|member| member.status < Status::Gone);
        self.subtree
            .await_rejoin(live.map(|member| &member.vm), now);
    }

    /// Stops being the root.
    pub fn step_down(&mut self) {
        if self.root.take().is_some() {
            tracing::warn!("control: This node is no longer the root.");
            let now = self.parts.clock.now();
            self.child_ledger = ShareLedger::below_root(self.local_member.vm.clone(), now);
            self.parent_session.detach(self.fence());
        }
    }

    /// Grants tokens for a claim, as far as the node's share has them.
    pub fn handle_claim(&mut self, claim: &Claim) -> Tokens {
        let now = self.parts.clock.now();
        let organisation = &claim.organisation;
        let Some(found) = self.config().organisations.get(organisation) else {
            return Tokens {
                count: 0,
                retry_after: SERVING_LEASE,
            };
        };
        let limit = found.limit;
        let mut buckets = self.buckets();
        buckets.record_demand(organisation, claim.count, now);
        let count = buckets.grant_tokens(organisation, limit, claim.count, now);
        let retry_after = Duration::try_from_secs_f64(1.0 / limit.rate).unwrap_or(SERVING_LEASE);
        Tokens { count, retry_after }
    }

    /// Applies changes of the configuration. Its version never goes back.
    pub fn apply(&mut self, delta: Delta) {
        match self.config.apply(delta) {
            Ok(false) => return,
            Ok(true) => {}
            Err(error) => tracing::error!("control: Applying a change failed: {error}."),
        }
        let version = self.config().version;
        tracing::info!("control: Configuration {version} is in force.");
        self.parts.metrics.config.set(version as i64);
        self.apply_drain();
        self.publish();
    }

    /// Returns the configuration version that every live member has confirmed.
    pub fn confirmed(&self) -> Version {
        let Some(root) = self.root() else {
            return self.confirmed;
        };
        // Nodes that still hold grants of an earlier root may not have sent a heartbeat yet.
        if !root.earlier_grants_expired(SERVING_LEASE, self.parts.clock.now()) {
            return self.confirmed;
        }
        self.children.confirmed(self.config().version)
    }

    /// Returns the children in whose subtrees a node hasn't confirmed a version.
    pub fn unconfirmed(&self, version: Version) -> Vec<VmId> {
        self.children.unconfirmed(version)
    }

    /// Returns the configuration version of each child; `None` if this node isn't the root.
    pub fn versions(&self) -> Option<Vec<(VmId, Version)>> {
        self.root().map(|_| self.children.versions())
    }

    /// Locks the node's token buckets, which are shared with the traffic threads.
    pub fn buckets(&self) -> MutexGuard<'_, ShareBuckets> {
        self.parts
            .buckets
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts draining once an operator has drained this VM.
    fn apply_drain(&mut self) {
        let drained = self
            .config()
            .is_drained(&self.local_member.vm, self.local_member.incarnation);
        if drained && self.local_member.status < Status::Draining {
            tracing::info!("control: Draining at an operator's command.");
            self.local_member.status = Status::Draining;
        }
    }

    pub(super) fn limits(&self) -> BTreeMap<OrganisationId, Rate> {
        let organisations = self.config().organisations.iter();
        organisations
            .map(|(name, organisation)| (name.clone(), organisation.limit))
            .collect()
    }

    /// Merges a member's record into the roster. The roster is shared with the traffic threads and
    /// copied only if the record is newer.
    pub(super) fn merge(&mut self, member: Member) -> bool {
        self.roster.is_newer(&member) && Arc::make_mut(&mut self.roster).merge(member)
    }

    pub(super) fn publish(&self) {
        self.parts.snapshots.store(Arc::new(Snapshot {
            config: self.config.snapshot(),
            roster: Arc::clone(&self.roster),
            ownership: Arc::clone(&self.ownership),
            local_member: self.local_member.clone(),
            lease: self.lease,
        }));
    }
}
