//! Invariants checked at run time.

use std::sync::atomic::{AtomicU64, Ordering};

use filbertwheel_macros::value;

static BROKEN: AtomicU64 = AtomicU64::new(0);

/// Report of a broken invariant.
#[value]
pub struct InvariantReport {
    /// Name of the invariant as listed in docs/PROOFS.md.
    pub name: &'static str,
    /// The values that break it.
    pub detail: String,
}

/// Returns the number of broken invariants since the process started.
pub fn broken_invariants() -> u64 {
    BROKEN.load(Ordering::Relaxed)
}

/// Counts and logs a broken invariant. Panics in builds with debug assertions, so that tests fail.
pub fn report_invariant(report: &InvariantReport) {
    BROKEN.fetch_add(1, Ordering::Relaxed);
    tracing::error!("invariant: {} is broken: {}.", report.name, report.detail);
    debug_assert!(
        false,
        "invariant {} is broken: {}",
        report.name, report.detail
    );
}

/// Checks an invariant, named as in docs/PROOFS.md, and reports it if the condition is false.
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
