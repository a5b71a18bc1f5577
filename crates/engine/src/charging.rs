//! Charges requests to the rate limits of organisations.

use std::time::{Duration, Instant};

use filbertwheel_core::{OrganisationId, Refusal, RefusalKind, Rules};
use filbertwheel_peer::Link;
use filbertwheel_policy::TokenReceipt;

use crate::claims::TokenShortage;
use crate::engine::{Engine, lock};
use crate::snapshots::Snapshot;

/// Minimum pause between claims for an organisation that has no tokens left.
const MIN_CLAIM_PAUSE: Duration = Duration::from_millis(50);
/// Maximum pause between claims for an organisation that has no tokens left.
const MAX_CLAIM_PAUSE: Duration = Duration::from_millis(500);
/// Number of claims that a lease holder may leave unanswered before it counts as unresponsive.
const CLAIM_ATTEMPTS: u32 = 2;
/// Pause between claims to an unresponsive lease holder.
const HOLDER_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Minimum `retry-after` of a request over its organisation's rate limit.
const MIN_RATE_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Outcome of a token claim.
enum ClaimOutcome {
    Granted,
    /// The organisation has no tokens left.
    Exhausted,
    /// No lease holder could be reached that grants tokens.
    NoHolder,
}

impl Engine {
    /// Charges one request to an organisation's rate limit: to this node's portion, else by a claim
    /// at the lease holder, else to the emergency portion.
    pub(crate) async fn charge(
        &self,
        snapshot: &Snapshot,
        rules: &Rules,
        organisation: &OrganisationId,
        now: Instant,
    ) -> Result<Option<TokenReceipt>, (Refusal, TokenShortage)> {
        let Some(limit) = rules.limit(organisation) else {
            return Ok(None);
        };
        let wait = match self.portions().charge(organisation, limit, now) {
            Ok(receipt) => return Ok(Some(receipt)),
            Err(wait) => wait,
        };
        let shortage = match self.claim_from_holder(snapshot, organisation, now).await {
            ClaimOutcome::Granted => return Ok(None),
            ClaimOutcome::Exhausted => TokenShortage::Exhausted,
            ClaimOutcome::NoHolder => {
                let nodes = snapshot.nodes;
                let mut portions = self.portions();
                let charged = portions.charge_emergency(organisation, limit, nodes, now);
                if charged.is_ok() {
                    return Ok(None);
                }
                TokenShortage::NoHolder
            }
        };
        let after = wait.unwrap_or_default().max(MIN_RATE_RETRY_AFTER);
        Err((Refusal::retry_after(RefusalKind::OverRate, after), shortage))
    }

    /// Refunds the token of a request that did not run.
    pub(crate) fn refund(
        &self,
        organisation: &Option<OrganisationId>,
        receipt: Option<TokenReceipt>,
    ) {
        if let (Some(organisation), Some(receipt)) = (organisation, receipt) {
            self.portions().refund(organisation, receipt);
        }
    }

    /// Claims a token from the lease holder, unless the organisation is known to have none left or
    /// the lease holder did not respond lately.
    async fn claim_from_holder(
        &self,
        snapshot: &Snapshot,
        organisation: &OrganisationId,
        now: Instant,
    ) -> ClaimOutcome {
        let Some(holder) = &snapshot.holder else {
            return ClaimOutcome::NoHolder;
        };
        let Some(link) = &holder.link else {
            let may_grant = holder.expires.is_some_and(|expires| now < expires);
            return if may_grant {
                ClaimOutcome::Exhausted
            } else {
                ClaimOutcome::NoHolder
            };
        };
        let holder_paused = lock(&self.holder_paused_until).is_some_and(|until| now < until);
        if !link.is_up() || holder_paused {
            return ClaimOutcome::NoHolder;
        }
        let exhausted_until = lock(&self.exhausted_until).get(organisation).copied();
        if exhausted_until.is_some_and(|until| now < until) {
            return ClaimOutcome::Exhausted;
        }
        match self.claim_token(link, organisation).await {
            None => {
                *lock(&self.holder_paused_until) = Some(self.clock.now() + HOLDER_RETRY_PAUSE);
                tracing::warn!("engine: The lease holder does not respond to token claims.");
                ClaimOutcome::NoHolder
            }
            Some((0, 0)) => ClaimOutcome::NoHolder,
            Some((0, after_ms)) => {
                let pause = Duration::from_millis(after_ms.into());
                let pause = pause.clamp(MIN_CLAIM_PAUSE, MAX_CLAIM_PAUSE);
                lock(&self.exhausted_until).insert(organisation.clone(), now + pause);
                ClaimOutcome::Exhausted
            }
            Some(_) => ClaimOutcome::Granted,
        }
    }

    /// Claims one token. Returns `None` if the lease holder does not respond.
    async fn claim_token(&self, link: &Link, organisation: &OrganisationId) -> Option<(u32, u32)> {
        for _ in 0..CLAIM_ATTEMPTS {
            self.metrics.claims.inc();
            let claimed = link.claim_tokens(organisation, 1).await;
            if claimed.is_some() {
                return claimed;
            }
        }
        None
    }
}
