//! Token buckets for a node's shares of the organisations' rate limits.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbertwheel_core::{Demand, OrganisationId, Rate, Share, value};

use crate::{FULL_PORTION, TokenBucket, TokenReceipt};

/// Weight of the latest interval in the EWMA of a falling demand. A slow decay keeps the shares of
/// nodes with few calls from moving with each call: the part that moves is unusable until both ends
/// have confirmed it.
const DEMAND_FALL_WEIGHT: f64 = 0.05;
/// Demand below which a holding without a share is dropped.
const MIN_DEMAND_PER_S: f64 = 0.01;
/// How long a claimed token may be spent after the claim was sent.
pub const CLAIM_LIFETIME: Duration = Duration::from_secs(1);
/// How long the granting node reserves room in its bucket for a claimed token, counted from the
/// grant. This is longer than `CLAIM_LIFETIME`, so that the token cannot be spent after the
/// reservation ends.
const CLAIM_RESERVATION: Duration = Duration::from_millis(1_500);

/// The node's shares and the demand on them.
#[derive(Debug, Default)]
pub struct ShareBuckets {
    holdings: BTreeMap<OrganisationId, Holding>,
    measured_at: Option<Instant>,
    /// Number of buckets created so far.
    buckets_created: u64,
}

#[derive(Debug)]
struct Holding {
    portion: u64,
    expires: Instant,
    bucket: TokenBucket,
    /// Number of the bucket; a receipt of an earlier bucket is not refunded.
    bucket_number: u64,
    requested: u64,
    demand: f64,
}

/// The node's share has no token left.
#[value]
pub struct OutOfTokens {
    /// Time until a token accrues, or `None` if the node holds no share.
    pub wait: Option<Duration>,
}

impl ShareBuckets {
    /// Returns the portion in billionths and the smoothed demand in calls per second of each
    /// organisation.
    pub fn portions(&self) -> Vec<(OrganisationId, u64, f64)> {
        let holdings = self.holdings.iter();
        holdings
            .map(|(name, holding)| (name.clone(), holding.portion, holding.demand))
            .collect()
    }

    /// Spends one token of an organisation. The receipt refunds it if the call does not run.
    pub fn charge(
        &mut self,
        organisation: &OrganisationId,
        limit: Rate,
        now: Instant,
    ) -> Result<TokenReceipt, OutOfTokens> {
        let holding = self.holding(organisation, now);
        holding.requested += 1;
        let scaled = holding.live_limit(limit, now)?;
        let mut receipt = holding
            .bucket
            .take(scaled, now)
            .map_err(OutOfTokens::with_wait)?;
        receipt.bucket = holding.bucket_number;
        Ok(receipt)
    }

    /// Spends up to `count` tokens for another node's claim. Returns the number of tokens spent.
    pub fn grant_tokens(
        &mut self,
        organisation: &OrganisationId,
        limit: Rate,
        count: u32,
        now: Instant,
    ) -> u32 {
        let holding = self.holding(organisation, now);
        (0..count)
            .take_while(|_| holding.grant_token(limit, now).is_ok())
            .count() as u32
    }

    /// Refunds the token of a call that did not run.
    pub fn refund(&mut self, organisation: &OrganisationId, receipt: TokenReceipt, now: Instant) {
        if let Some(holding) = self.holdings.get_mut(organisation)
            && holding.bucket_number == receipt.bucket
            && now < holding.expires
        {
            holding.bucket.refund(receipt);
        }
    }

    /// Drops all shares.
    pub fn clear(&mut self) {
        self.holdings.clear();
    }

    /// Replaces all shares. `limits` returns the full rate limit of an organisation.
    pub fn set_shares(
        &mut self,
        shares: &[Share],
        limits: impl Fn(&OrganisationId) -> Option<Rate>,
        expires: Instant,
        now: Instant,
    ) {
        for (organisation, holding) in &mut self.holdings {
            let share = shares
                .iter()
                .find(|share| share.organisation == *organisation);
            let limit = limits(organisation).unwrap_or(Rate {
                rate: 0.0,
                burst: 0.0,
            });
            // Accrue tokens at the old portion first, then cap them at the burst of the new one.
            holding
                .bucket
                .refill(scaled(limit, holding.portion_at(now)), now);
            holding.portion = share.map_or(0, |share| share.portion);
            holding.expires = expires;
            holding.bucket.refill(scaled(limit, holding.portion), now);
        }
        for share in shares {
            let holding = self.holding(&share.organisation, now);
            holding.portion = share.portion;
            holding.expires = expires;
        }
    }

    /// Returns the smoothed demand since the last call, and the portions held.
    pub fn demands(&mut self, now: Instant) -> Vec<Demand> {
        let elapsed = self
            .measured_at
            .map(|at| now.saturating_duration_since(at).as_secs_f64());
        let elapsed = elapsed.unwrap_or(1.0).max(0.001);
        self.measured_at = Some(now);
        for holding in self.holdings.values_mut() {
            let rate = holding.requested as f64 / elapsed;
            holding.requested = 0;
            // A rise takes effect at once, a fall is smoothed.
            let smoothed = holding.demand + (rate - holding.demand) * DEMAND_FALL_WEIGHT;
            holding.demand = smoothed.max(rate);
        }
        self.holdings
            .retain(|_, holding| holding.demand >= MIN_DEMAND_PER_S || holding.portion_at(now) > 0);
        self.holdings
            .iter()
            .map(|(organisation, holding)| holding.to_demand(organisation, now))
            .collect()
    }

    /// Adds another node's claim to the demand.
    pub fn record_demand(&mut self, organisation: &OrganisationId, count: u32, now: Instant) {
        self.holding(organisation, now).requested += u64::from(count);
    }

    fn holding(&mut self, organisation: &OrganisationId, now: Instant) -> &mut Holding {
        self.holdings
            .entry(organisation.clone())
            .or_insert_with(|| {
                self.buckets_created += 1;
                Holding {
                    portion: 0,
                    expires: now,
                    bucket: TokenBucket::empty(now),
                    bucket_number: self.buckets_created,
                    requested: 0,
                    demand: 0.0,
                }
            })
    }
}

impl OutOfTokens {
    fn with_wait(wait: Duration) -> Self {
        Self { wait: Some(wait) }
    }
}

impl Holding {
    /// Returns the part of the rate limit that may be spent now.
    fn live_limit(&mut self, limit: Rate, now: Instant) -> Result<Rate, OutOfTokens> {
        let portion = self.portion_at(now);
        if portion == 0 {
            // No tokens accrue without a valid share.
            self.bucket.drain(now);
            return Err(OutOfTokens { wait: None });
        }
        Ok(scaled(limit, portion))
    }

    fn grant_token(&mut self, limit: Rate, now: Instant) -> Result<(), OutOfTokens> {
        let scaled = self.live_limit(limit, now)?;
        let until = now + CLAIM_RESERVATION;
        self.bucket
            .send(scaled, now, until)
            .map_err(OutOfTokens::with_wait)
    }

    fn portion_at(&self, now: Instant) -> u64 {
        if now < self.expires { self.portion } else { 0 }
    }

    fn to_demand(&self, organisation: &OrganisationId, now: Instant) -> Demand {
        Demand {
            organisation: organisation.clone(),
            rate: self.demand,
            held: self.portion_at(now),
        }
    }
}

fn scaled(limit: Rate, portion: u64) -> Rate {
    let part = portion as f64 / FULL_PORTION as f64;
    Rate {
        rate: limit.rate * part,
        burst: limit.burst * part,
    }
}
