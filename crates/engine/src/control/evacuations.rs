//! Follows which failure domains operators have evacuated.

use std::sync::Arc;
use std::time::Instant;

use filbertwheel_core::{DomainId, StorePosition, Text};
use filbertwheel_policy::{EvacuationChange, EvacuationReport, EvacuationRows, MAX_EVACUATED};

use super::feed::{Rows, Update};
use super::rules::MAX_ANNOUNCED;
use super::state::Control;
use crate::snapshots::Snapshot;

impl Control {
    /// Applies the rows of evacuated domains among those that were read from the store, and announces
    /// what changes to the other nodes of the failure domain.
    pub(super) fn observe_evacuations(&mut self, update: &Update) {
        let rows = self.evacuation_rows(&update.rows);
        if let EvacuationRows::Listed(rows) = &rows
            && rows.len() > MAX_EVACUATED
        {
            tracing::warn!(
                rows = rows.len(),
                "control: There are too many rows of evacuations; only the earliest hold."
            );
        }
        let now = self.parts.clock.now();
        let changes = self.evacuations.observe(rows, update.position, now);
        if self.apply_evacuations(&changes, "store") {
            self.announce_evacuations(now);
        }
    }

    /// Merges what another node knows of evacuations.
    pub(super) fn receive_evacuations(&mut self, report: &EvacuationReport) {
        let now = self.parts.clock.now();
        let changes = self.evacuations.receive(report, now);
        self.apply_evacuations(&changes, "another node");
    }

    /// Logs evacuations that name no failure domain of a known node, once for each.
    pub(super) fn note_unknown_domains(&mut self, now: Instant) {
        if !self.members_known || self.is_starting(now) {
            return;
        }
        let evacuated = Arc::clone(&self.parts.snapshots.load().evacuated_domains);
        self.unknown_domains
            .retain(|domain| evacuated.contains_key(domain));
        for domain in evacuated.keys() {
            if !self.is_known_domain(domain) && self.unknown_domains.insert(domain.clone()) {
                tracing::warn!(
                    domain = %domain,
                    "control: An evacuation names no failure domain of a known node."
                );
            }
        }
    }

    fn is_known_domain(&self, domain: &DomainId) -> bool {
        let mut peers = self.peers.values();
        self.local_member.domain == *domain || peers.any(|peer| peer.member.domain == *domain)
    }

    fn evacuation_rows(&self, rows: &Rows) -> EvacuationRows {
        let location = &self.parts.dependencies.operators;
        let domain = |key: &Text| {
            let domain = key.as_str()?.strip_prefix(location.evacuation_prefix)?;
            Some(DomainId::from(domain))
        };
        match rows {
            Rows::Listed(rows) => {
                let rows = rows.iter();
                let rows = rows.filter_map(|row| Some((domain(&row.key)?, row.revision)));
                EvacuationRows::Listed(rows.collect())
            }
            Rows::Changed(changes) => {
                let changes = changes.iter().filter_map(|(key, row)| {
                    Some((domain(key)?, row.as_ref().map(|row| row.revision)))
                });
                EvacuationRows::Changed(changes.collect())
            }
        }
    }

    /// Logs changes of the evacuations in force, and publishes them. Returns whether there are any.
    fn apply_evacuations(&mut self, changes: &[EvacuationChange], source: &'static str) -> bool {
        for change in changes {
            match change {
                EvacuationChange::Began(domain, position) => tracing::info!(
                    domain = %domain,
                    epoch = position.epoch,
                    revision = position.revision,
                    source,
                    "control: A failure domain is evacuated."
                ),
                EvacuationChange::Ended(domain, position) => tracing::info!(
                    domain = %domain,
                    epoch = position.epoch,
                    revision = position.revision,
                    source,
                    "control: The evacuation of a failure domain has ended."
                ),
            }
        }
        if !changes.is_empty() || self.evacuations.as_of() != self.published_evacuations() {
            self.publish_evacuations();
        }
        !changes.is_empty()
    }

    fn published_evacuations(&self) -> StorePosition {
        self.parts.snapshots.load().known_evacuations.as_of()
    }

    fn publish_evacuations(&self) {
        let evacuated = self.evacuations.in_force(self.parts.clock.now());
        let metrics = &self.parts.engine.metrics;
        metrics.evacuated_domains.set(evacuated.len() as i64);
        let is_own = evacuated.contains_key(&self.local_member.domain);
        metrics.own_domain_evacuated.set(is_own.into());
        self.parts.snapshots.store(Arc::new(Snapshot {
            known_evacuations: Arc::new(self.evacuations.clone()),
            evacuated_domains: Arc::new(evacuated),
            ..Snapshot::clone(&self.parts.snapshots.load())
        }));
    }

    /// Announces what this node knows of evacuations to the other nodes of the failure domain.
    fn announce_evacuations(&self, now: Instant) {
        let report = self.evacuations.report(now);
        let own_domain = &self.local_member.domain;
        let peers = self.peers.values();
        let near = peers.filter(|peer| peer.member.domain == *own_domain);
        for peer in near.filter(|peer| peer.link.is_up()).take(MAX_ANNOUNCED) {
            peer.link.announce_evacuations(&report);
        }
    }
}
