//! Follows the rules that operators write to the store.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use filbertwheel_core::VmId;

use super::Shared;
use super::feed::{Feed, Update};
use super::state::Control;

/// Interval at which a node that doesn't watch the store checks whether it is to.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of nodes that a watcher announces new rules to. The others learn of them with the
/// sums over the fleet.
const MAX_ANNOUNCED: usize = 64;

/// Follows the rules without end, while this node is to watch the store.
pub(crate) async fn watch_rules(control: Shared) {
    let (mut feed, location, clock) = {
        let control = control.borrow();
        let parts = &control.parts;
        let location = parts.dependencies.rules;
        let feed = Feed::open(parts, location.table);
        (feed, location, Arc::clone(&parts.clock))
    };
    loop {
        if !control.borrow_mut().is_watch_due() {
            control.borrow_mut().set_watching(false);
            clock.sleep(CHECK_INTERVAL).await;
            continue;
        }
        let documents: Vec<Bytes> = match feed.next().await {
            Ok(Update::Listed(rows)) => {
                let rows = rows.into_iter();
                let own = rows.filter(|row| row.key.as_bytes() == location.key.as_bytes());
                own.map(|row| row.value).collect()
            }
            Ok(Update::Changed(changes)) => {
                let changes = changes.into_iter();
                let own = changes.filter(|(key, _)| key.as_bytes() == location.key.as_bytes());
                own.filter_map(|(_, row)| Some(row?.value)).collect()
            }
            Err(error) => {
                tracing::warn!("control: The rules can't be read: {error}.");
                control.borrow_mut().set_watching(false);
                feed.back_off().await;
                continue;
            }
        };
        let mut control = control.borrow_mut();
        control.set_watching(true);
        for document in documents {
            if let Some(version) = control.apply_rules(document) {
                control.announce_rules(version);
            }
        }
    }
}

impl Control {
    /// Returns whether this node is to watch the store. Before it knows the other nodes, none does.
    fn is_watch_due(&mut self) -> bool {
        let now = self.parts.clock.now();
        let starting = self.is_starting(now);
        if !self.joined && (starting || !self.members_known) {
            return false;
        }
        let own_domain = &self.local_member.domain;
        let connected = self
            .peers
            .values()
            .filter(|peer| peer.member.domain == *own_domain && (starting || peer.link.is_up()));
        let connected: Vec<&VmId> = connected.map(|peer| &peer.member.vm).collect();
        let watching = self.sums.fleet(now).map(|(sums, _)| sums.watchers.clone());
        self.watch_duty
            .is_due(connected, &watching.unwrap_or_default(), now)
    }

    /// Records whether this node follows the store.
    fn set_watching(&mut self, watching: bool) {
        if self.watching != watching {
            self.watching = watching;
            self.parts.engine.metrics.watching.set(watching.into());
            self.parts
                .engine
                .watching
                .store(watching, Ordering::Relaxed);
            tracing::info!(
                watching,
                "control: Whether this node watches the store has changed."
            );
        }
    }

    /// Announces rules that were read from the store to the other nodes of the failure domain.
    fn announce_rules(&self, version: filbertwheel_core::Version) {
        let own_domain = &self.local_member.domain;
        let peers = self.peers.values();
        let near = peers.filter(|peer| peer.member.domain == *own_domain);
        for peer in near.filter(|peer| peer.link.is_up()).take(MAX_ANNOUNCED) {
            peer.link.announce_rules(version);
        }
    }
}
