//! The root of a region's tree: its followers and their shares.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use derive_more::{Display, Error};
use filbertwheel_core::{Fence, Grant, Heartbeat, OrganisationId, Rate, VmId, copy_value};

use crate::term::CLOCK_DRIFT_MARGIN;
use crate::{LeaseRow, LeaseTerm, ShareLedger, ShareLedgerError, Voter};

/// A root with its term and its share ledger.
#[derive(Debug)]
pub struct Root {
    fence: Fence,
    term: LeaseTerm,
    ledger: ShareLedger,
    predecessors_end: Option<Instant>,
    is_first: bool,
    /// Children whose shares cannot be adopted.
    excluded: BTreeSet<VmId>,
}

/// Why a root rejects a heartbeat.
#[copy_value]
#[derive(Display, Error)]
pub enum RootError {
    /// The sender follows a newer root.
    #[display("a newer root exists")]
    Superseded,
    /// A later heartbeat was recorded already.
    #[display("the heartbeat is out of order")]
    OutOfOrder,
}

impl From<ShareLedgerError> for RootError {
    fn from(error: ShareLedgerError) -> Self {
        match error {
            ShareLedgerError::OutOfOrder => Self::OutOfOrder,
        }
    }
}

impl Root {
    /// Creates the root for a lease with `fence` that was acquired by a write sent at `sent`.
    /// `earlier` is the row that the write replaced.
    pub fn open(
        own: Voter,
        fence: Fence,
        earlier: Option<&LeaseRow>,
        sent: Instant,
        now: Instant,
    ) -> Self {
        Self {
            fence,
            ledger: ShareLedger::open(own.vm.clone()),
            term: LeaseTerm::open(own, earlier, sent, now),
            predecessors_end: None,
            is_first: earlier.is_none(),
            excluded: BTreeSet::new(),
        }
    }

    /// Excludes the children of `former_ledger`, the node's ledger from before it was the root,
    /// from adoption: they hold parts of the node's own share. That share itself may be adopted
    /// only if it came from the previous root, as `is_below_root` states.
    pub fn exclude_children(&mut self, former_ledger: &ShareLedger, is_below_root: bool) {
        let own = &self.term.own().vm;
        let children = former_ledger.children().filter(|vm| *vm != own);
        self.excluded = children.cloned().collect();
        if !is_below_root {
            self.excluded.insert(own.clone());
        }
    }

    /// Returns whether a newcomer is accepted even if the root has enough children, because its
    /// vote is needed here.
    pub fn accepts_all(&self, heartbeat: &Heartbeat, now: Instant) -> bool {
        let is_voter = |voter: &Voter| voter.vm == heartbeat.member.vm;
        !self.term.predecessors_ended(now) || self.term.voters().iter().any(is_voter)
    }

    /// Fencing token of the root's lease.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// The period in which this root may grant shares.
    pub fn term(&self) -> &LeaseTerm {
        &self.term
    }

    /// The same, for renewals.
    pub fn term_mut(&mut self) -> &mut LeaseTerm {
        &mut self.term
    }

    /// The granted shares.
    pub fn ledger(&self) -> &ShareLedger {
        &self.ledger
    }

    /// Returns whether everything that earlier roots granted for `lifetime` has expired.
    pub fn earlier_grants_expired(&self, lifetime: Duration, now: Instant) -> bool {
        let predecessors_ended_at = self.term.predecessors_ended_at();
        self.is_first
            || predecessors_ended_at.is_some_and(|at| now >= at + lifetime + CLOCK_DRIFT_MARGIN)
    }

    /// Handles a heartbeat and returns the sender's shares, or `None` if it keeps those that it
    /// has.
    pub fn handle_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        limits: &BTreeMap<OrganisationId, Rate>,
        now: Instant,
    ) -> Result<Option<Grant>, RootError> {
        if heartbeat.fence > self.fence {
            return Err(RootError::Superseded);
        }
        let followed_at = self.ledger.record_heartbeat(heartbeat, now)?;
        if heartbeat.fence < self.fence {
            return Ok(None);
        }
        let voter = Voter {
            vm: heartbeat.member.vm.clone(),
            incarnation: heartbeat.member.incarnation,
        };
        if let Some(at) = followed_at {
            self.term.support(voter.clone(), at);
        }
        self.term.promise(voter, now);
        let Some(predecessors_ended_at) = self.term.predecessors_ended_at() else {
            return Ok(None);
        };
        self.reserve_earlier_grants(predecessors_ended_at);
        if !self.term.may_grant(now) {
            return Ok(None);
        }
        Ok(self
            .ledger
            .allocate(heartbeat, limits, predecessors_ended_at, now))
    }

    /// Reserves, once, what an earlier root may have granted.
    fn reserve_earlier_grants(&mut self, predecessors_ended_at: Instant) {
        if self.predecessors_end.is_none() && !self.is_first {
            self.ledger
                .reserve_earlier_grants(predecessors_ended_at, std::mem::take(&mut self.excluded));
            self.predecessors_end = Some(predecessors_ended_at);
        }
    }
}
