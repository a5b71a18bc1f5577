//! Which nodes watch the store.
//!
//! A few nodes of each failure domain watch the store and pass on what they read; the others follow
//! them. Each node decides for itself, by the nodes that say that they are watching. So no node is
//! told to watch, and one that fails, is cut off or is turned away by the store is replaced by the
//! next in an order that all nodes share.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use filbertwheel_core::{DomainId, VmId};

use crate::rendezvous;

/// Number of nodes of a failure domain that watch the store.
const WATCHERS: usize = 2;
/// Time without enough watchers after which the next node in order begins to watch.
const TAKEOVER_DELAY: Duration = Duration::from_millis(500);
/// Additional delay of each further node in order.
const RANK_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of nodes in order that add a delay.
const MAX_RANK: usize = 10;

/// Decides whether one node watches the store.
#[derive(Debug)]
pub struct WatchDuty {
    vm: VmId,
    domain: DomainId,
    /// Since when too few nodes that precede this one are watching.
    lacking: Option<Instant>,
}

impl WatchDuty {
    /// Creates the state of a node that has just started.
    pub fn open(vm: VmId, domain: DomainId) -> Self {
        Self {
            vm,
            domain,
            lacking: None,
        }
    }

    /// Returns whether this node is to watch the store. `connected` are the other nodes of its
    /// domain that it is connected to, `watching` those of all nodes that say that they watch.
    pub fn is_due<'a>(
        &mut self,
        connected: impl IntoIterator<Item = &'a VmId>,
        watching: &[VmId],
        now: Instant,
    ) -> bool {
        let own = self.order(&self.vm);
        let precedes = |vm: &&VmId| **vm != self.vm && self.order(vm) < own;
        if watching.iter().filter(precedes).count() >= WATCHERS {
            self.lacking = None;
            return false;
        }
        let rank = connected.into_iter().filter(precedes).count();
        let lacking = *self.lacking.get_or_insert(now);
        let delay = match rank.checked_sub(WATCHERS) {
            None => Duration::ZERO,
            Some(later) => TAKEOVER_DELAY + RANK_DELAY * later.min(MAX_RANK) as u32,
        };
        now.saturating_duration_since(lacking) >= delay
    }

    fn order<'a>(&self, vm: &'a VmId) -> (Reverse<u64>, &'a VmId) {
        let weight = rendezvous::weight(&[vm.as_bytes(), b"watch", self.domain.as_bytes()]);
        (Reverse(weight), vm)
    }
}
