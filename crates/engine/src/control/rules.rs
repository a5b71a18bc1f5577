//! Follows the rules that operators write to the store.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use filbertwheel_core::{Rules, RulesStamp, StorePosition, VmId};
use filbertwheel_peer::RulesDocument;
use filbertwheel_policy::{RateLimits, ReadMode, RulesReading, RulesVerdict};

use super::Shared;
use super::feed::{Feed, Rows};
use super::state::{Control, Peer};
use crate::snapshots::Snapshot;

/// Interval at which a node that doesn't watch the store checks whether it is to.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of nodes that a watcher announces new rules to. The others learn of them with the
/// sums over the fleet.
pub(super) const MAX_ANNOUNCED: usize = 64;

/// Follows the rules without end, while this node is to watch the store.
pub(crate) async fn watch_rules(control: Shared) {
    let (mut feed, location, clock) = {
        let control = control.borrow();
        let parts = &control.parts;
        let location = parts.dependencies.operators;
        let feed = Feed::open(parts, location.table);
        (feed, location, Arc::clone(&parts.clock))
    };
    loop {
        if control.borrow().awaits_rules() || !control.borrow_mut().is_watch_due() {
            control.borrow_mut().set_watching(false);
            clock.sleep(CHECK_INTERVAL).await;
            continue;
        }
        let update = match feed.next().await {
            Ok(update) => update,
            Err(error) => {
                tracing::warn!("control: The rules can't be read: {error}.");
                control.borrow_mut().set_watching(false);
                feed.back_off().await;
                continue;
            }
        };
        let mut control = control.borrow_mut();
        control.set_watching(true);
        // A node that takes callers by the rules has to know the evacuations.
        control.observe_evacuations(&update);
        let epoch = update.position.epoch;
        let (mode, rows) = match update.rows {
            Rows::Listed(rows) => (ReadMode::Listed, rows),
            Rows::Changed(changes) => {
                let rows = changes.into_iter().filter_map(|(_, row)| row);
                (ReadMode::Followed, rows.collect())
            }
        };
        let own = rows.into_iter();
        for row in own.filter(|row| row.key.as_bytes() == location.rules_key.as_bytes()) {
            let revision = row.revision;
            let position = StorePosition { epoch, revision };
            if let Some(stamp) = control.observe_rules(row.value, position, mode) {
                control.announce_rules(stamp);
            }
        }
    }
}

impl Control {
    /// Returns whether this node leaves it to the other nodes for now to tell it the rules. Those in a
    /// restored store may be older than the ones that the others have in force, and its table of nodes
    /// may lack them.
    fn awaits_rules(&self) -> bool {
        let restored = self.parts.epoch.was_restored();
        let starting = self.is_starting(self.parts.clock.now());
        self.lineage.current().is_none() && restored && starting && !self.others_lack_rules()
    }

    /// Returns whether all nodes have just started, as far as this one knows: the table of nodes is
    /// from after its entry, and all nodes in it have stated that they have no rules.
    fn others_lack_rules(&self) -> bool {
        let lacks = |peer: &Peer| {
            let report = peer.last_report;
            peer.link.is_up() && report.is_some_and(|report| report.rules.version == 0)
        };
        let listed = self.was_listed == Some(true);
        listed && !self.peers.is_empty() && self.peers.values().all(lacks)
    }

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
    fn announce_rules(&self, stamp: RulesStamp) {
        let own_domain = &self.local_member.domain;
        let peers = self.peers.values();
        let near = peers.filter(|peer| peer.member.domain == *own_domain);
        for peer in near.filter(|peer| peer.link.is_up()).take(MAX_ANNOUNCED) {
            peer.link.announce_rules(stamp);
        }
    }

    /// Judges a document that was read from the store, and puts it in force if it is newer. Returns its
    /// stamp if it is in force now.
    fn observe_rules(
        &mut self,
        text: Bytes,
        position: StorePosition,
        mode: ReadMode,
    ) -> Option<RulesStamp> {
        let rules = self.decode_rules(&text)?;
        let reading = reading_of(&rules, &text, position);
        let verdict = self.lineage.observe(reading, mode);
        if verdict == RulesVerdict::Ignore && reading.version < self.rules_stamp().version {
            tracing::info!(
                version = reading.version,
                in_force = self.rules_stamp().version,
                epoch = position.epoch,
                revision = position.revision,
                "control: Rules in the store are older than those in force."
            );
        }
        self.apply_verdict(verdict, rules, text)
    }

    /// Judges the rules in force at another node, and puts them in force if they are newer.
    pub(super) fn receive_rules(&mut self, document: RulesDocument) {
        let Some(rules) = self.decode_rules(&document.text) else {
            return;
        };
        let reading = reading_of(&rules, &document.text, document.position);
        let verdict = self.lineage.receive(document.stamp, reading);
        self.apply_verdict(verdict, rules, document.text);
    }

    fn decode_rules(&self, text: &[u8]) -> Option<Rules> {
        let decoded = self.parts.dependencies.decoder.decode(text);
        decoded
            .inspect_err(|error| tracing::warn!("control: New rules were rejected: {error}."))
            .ok()
    }

    fn rules_stamp(&self) -> RulesStamp {
        self.parts.snapshots.load().document.stamp
    }

    /// Publishes rules that are in force now, or where those that stay in force stand now. Returns the
    /// stamp of the rules in force if it is new.
    fn apply_verdict(
        &mut self,
        verdict: RulesVerdict,
        rules: Rules,
        text: Bytes,
    ) -> Option<RulesStamp> {
        let mut snapshot = Snapshot::clone(&self.parts.snapshots.load());
        let position = self.lineage.current()?.1.position;
        let stamp = match verdict {
            RulesVerdict::Ignore if position == snapshot.document.position => return None,
            RulesVerdict::Ignore => None,
            RulesVerdict::Keep(stamp) => Some(stamp),
            RulesVerdict::Replace(stamp) => {
                tracing::info!(
                    version = stamp.version,
                    lineage = stamp.lineage,
                    before = snapshot.version(),
                    epoch = position.epoch,
                    revision = position.revision,
                    "control: New rules are in force."
                );
                self.note_unknown_kinds(&rules);
                self.limits = Arc::new(rate_limits(&rules));
                snapshot.rules = Some(Arc::new(rules));
                snapshot.document.text = text;
                Some(stamp)
            }
        };
        snapshot.document.position = position;
        if let Some(stamp) = stamp {
            snapshot.document.stamp = stamp;
            let metrics = &self.parts.engine.metrics;
            metrics.rules.set(stamp.version as i64);
            metrics.rules_lineage.set(stamp.lineage as i64);
        }
        self.parts.snapshots.store(Arc::new(snapshot));
        stamp
    }

    /// Logs and counts the routes of a kind that this version doesn't know.
    fn note_unknown_kinds(&self, rules: &Rules) {
        let (unknown, metrics) = (&rules.unknown_kinds, &self.parts.engine.metrics);
        metrics.unknown_kinds.set(unknown.len() as i64);
        for route in unknown {
            tracing::warn!(
                route = %route,
                version = rules.version,
                "control: A route is of an unknown kind; its requests are run at most once."
            );
        }
    }
}

fn reading_of(rules: &Rules, text: &[u8], position: StorePosition) -> RulesReading {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    RulesReading {
        version: rules.version,
        digest: hasher.finish(),
        position,
    }
}

/// Returns the rate limits of the organisations that have one.
fn rate_limits(rules: &Rules) -> RateLimits {
    let organisations = rules.organisations.iter();
    organisations
        .filter_map(|(name, policy)| Some((name.clone(), policy.limit?)))
        .collect()
}
