//! Counts of token claims, which show operators why requests were refused as over a rate.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use derive_more::Display;
use filbertwheel_core::{OrganisationId, copy_value};

/// Maximum number of organisations that a summary names.
const MAX_NAMED: usize = 3;

/// Why a request found no token.
#[copy_value]
#[derive(Display)]
pub(crate) enum TokenShortage {
    /// The lease holder has no token of the organisation left.
    #[display("the lease holder has no token left")]
    Exhausted,
    /// No lease holder grants tokens, and this node's emergency portion is spent.
    #[display("no lease holder grants tokens, and the emergency portion is spent")]
    NoHolder,
}

/// Claims that a lease holder has answered, by organisation.
#[derive(Debug, Default)]
pub(crate) struct ClaimCounts(Mutex<BTreeMap<OrganisationId, ClaimCount>>);

#[derive(Debug, Default)]
struct ClaimCount {
    granted: u64,
    denied: u64,
}

/// Claims answered since the last summary.
#[derive(Debug, Default)]
pub(crate) struct ClaimSummary {
    pub granted: u64,
    pub denied: u64,
    /// Number of organisations that claims were denied to.
    pub denied_organisations: usize,
    /// The organisations with most denied claims, each with their number.
    pub most_denied: String,
}

impl ClaimCounts {
    /// Counts a claim.
    pub fn record(&self, organisation: &OrganisationId, granted: bool) {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(organisation.clone()).or_default();
        if granted {
            count.granted += 1;
        } else {
            count.denied += 1;
        }
    }

    /// Returns the claims since the last call of this function.
    pub fn take(&self) -> ClaimSummary {
        let counts = {
            let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *counts)
        };
        let mut denied: Vec<(&OrganisationId, u64)> = counts
            .iter()
            .map(|(name, count)| (name, count.denied))
            .filter(|(_, denied)| *denied > 0)
            .collect();
        denied.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        let named = denied.iter().take(MAX_NAMED);
        let named: Vec<String> = named
            .map(|(name, count)| format!("{name}: {count}"))
            .collect();
        ClaimSummary {
            granted: counts.values().map(|count| count.granted).sum(),
            denied: counts.values().map(|count| count.denied).sum(),
            denied_organisations: denied.len(),
            most_denied: named.join(", "),
        }
    }
}
