//! One log line for each decision about a request, bounded under load.

use std::sync::atomic::{AtomicU32, Ordering};

use filbertwheel_core::{OrganisationId, RequestId, RouteId, Version, VmId};

/// Lines a second about requests that had no whole answer.
const MAX_FAILED_LINES: u32 = 60;
/// Lines a second about requests that had one, and about tries that were followed by others.
const MAX_PLAIN_LINES: u32 = 5;

/// Counts lines, and what was left out.
#[derive(Debug, Default)]
pub(crate) struct Journal {
    failed: AtomicU32,
    plain: AtomicU32,
    left_out: AtomicU32,
}

/// What a decision was about and what it was based on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LogEntry<'a> {
    pub request: &'a RequestId,
    pub route: Option<&'a RouteId>,
    pub organisation: Option<&'a OrganisationId>,
    /// Version of the rules that decided.
    pub version: Version,
}

impl Journal {
    /// A request that ended without a whole answer.
    pub fn request_failed(
        &self,
        entry: LogEntry<'_>,
        outcome: &str,
        reason: &str,
        detail: &str,
        took_ms: u64,
    ) {
        if !self.admit(&self.failed, MAX_FAILED_LINES) {
            return;
        }
        let route = entry.route.map(ToString::to_string).unwrap_or_default();
        let organisation = entry.organisation.map(ToString::to_string);
        let organisation = organisation.unwrap_or_default();
        tracing::info!(
            request = %entry.request,
            route,
            organisation,
            rules = entry.version,
            outcome,
            reason,
            detail,
            took_ms,
            "entry: Request ended."
        );
    }

    /// A request that ended with a whole answer. `failed` says that it was an error of the backend
    /// server, or took longer than its objective.
    pub fn request_answered(
        &self,
        entry: LogEntry<'_>,
        status: u16,
        vm: &VmId,
        tries: usize,
        took_ms: u64,
        failed: bool,
    ) {
        let admitted = if failed {
            self.admit(&self.failed, MAX_FAILED_LINES)
        } else {
            self.admit(&self.plain, MAX_PLAIN_LINES)
        };
        if !admitted {
            return;
        }
        let route = entry.route.map(ToString::to_string).unwrap_or_default();
        let organisation = entry.organisation.map(ToString::to_string);
        let organisation = organisation.unwrap_or_default();
        tracing::info!(
            request = %entry.request,
            route,
            organisation,
            rules = entry.version,
            outcome = "whole",
            status,
            vm = %vm,
            tries,
            took_ms,
            "entry: Request ended."
        );
    }

    /// A try that had no whole answer, and the calls that this node has under way to that VM.
    pub fn attempt_ended(
        &self,
        entry: LogEntry<'_>,
        vm: &VmId,
        outcome: &str,
        next: &str,
        pending: u32,
    ) {
        if !self.admit(&self.failed, MAX_FAILED_LINES) {
            return;
        }
        tracing::info!(
            request = %entry.request,
            vm = %vm,
            outcome,
            next,
            pending,
            "dispatch: Try ended."
        );
    }

    /// A call that this node's own backend server didn't answer whole.
    pub fn run_failed(
        &self,
        request: &RequestId,
        outcome: &str,
        running: usize,
        queued: usize,
        took_ms: u64,
    ) {
        if !self.admit(&self.failed, MAX_FAILED_LINES) {
            return;
        }
        tracing::info!(
            request = %request,
            outcome,
            running,
            queued,
            took_ms,
            "runner: Run ended."
        );
    }

    /// Begins a new second.
    pub fn begin_second(&self) {
        self.failed.store(0, Ordering::Relaxed);
        self.plain.store(0, Ordering::Relaxed);
        let left_out = self.left_out.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            tracing::info!(left_out, "journal: Lines were left out.");
        }
    }

    fn admit(&self, counter: &AtomicU32, limit: u32) -> bool {
        let admitted = counter.fetch_add(1, Ordering::Relaxed) < limit;
        if !admitted {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        admitted
    }
}
