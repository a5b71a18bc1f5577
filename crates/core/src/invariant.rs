//! Invariants that the running program checks.

use std::sync::atomic::{AtomicU64, Ordering};

use filbertwheel_macros::value;

static BROKEN: AtomicU64 = AtomicU64::new(0);

/// A broken invariant.
#[value]
pub struct InvariantReport {
    /// Name of the invariant, as in docs/PROOFS.md.
    pub name: &'static str,
    /// What was seen.
    pub detail: String,
}

/// Number of broken invariants since the process started.
pub fn broken_invariants() -> u64 {
    BROKEN.load(Ordering::Relaxed)
}

/// Counts and logs a broken invariant; aborts the test in builds with debug assertions.
pub fn report_invariant(report: &InvariantReport) {
    BROKEN.fetch_add(1, Ordering::Relaxed);
    tracing::error!("invariant: {} is broken: {}.", report.name, report.detail);
    debug_assert!(
        false,
        "invariant {} is broken: {}",
        report.name, report.detail
    );
}

/// Checks an invariant by its name in docs/PROOFS.md.
#[macro_export]
macro_rules! invariant {
    ($name:expr, $holds:expr, $($detail:tt)+) => {
        if !$holds {
            $crate::report_invariant(&$crate::InvariantReport {
                name: $name,
                detail: format!($($detail)+),
            });
        }
    };
}
