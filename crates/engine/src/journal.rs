//! Logs one line for each decision about a request, up to a number of lines per second.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use filbertwheel_core::{OrganisationId, RequestId, RequestRate, RouteId, Version, VmId};
use filbertwheel_policy::BackendView;

/// Maximum lines per second about requests without a complete response, failed or slow responses,
/// attempts and failed runs.
const MAX_FAILED_LINES: u32 = 60;
/// Maximum lines per second about other requests with a complete response.
const MAX_PLAIN_LINES: u32 = 5;

/// Counts the lines of the current second and those left out.
#[derive(Debug, Default)]
pub(crate) struct Journal {
    failed: AtomicU32,
    plain: AtomicU32,
    left_out: AtomicU32,
}

/// The request that a decision was about, and the version of the rules it was based on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LogEntry<'a> {
    pub request: &'a RequestId,
    pub route: Option<&'a RouteId>,
    pub organisation: Option<&'a OrganisationId>,
    /// Version of the rules in force at the decision.
    pub version: Version,
}

/// Where a request was sent last.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LastAttempt<'a> {
    pub vm: &'a VmId,
    /// Number of attempts up to it.
    pub tries: usize,
    pub choice: Option<ChoiceInputs>,
}

/// What the choice of a backend server was based on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ChoiceInputs {
    /// Time that the call was expected to take.
    expected: Duration,
    /// Work that the backend server had, in seconds per slot.
    backlog: f32,
    slowness: f32,
    /// Age of what was known of it.
    age: Option<Duration>,
}

impl ChoiceInputs {
    /// Returns what speaks for or against a backend server.
    pub fn of(view: &BackendView, expected: Duration, now: Instant) -> Self {
        let reported = view.reported;
        Self {
            expected,
            backlog: view.load.backlog,
            slowness: view.load.slowness,
            age: reported.map(|at| now.saturating_duration_since(at)),
        }
    }

    fn expected_ms(&self) -> u64 {
        self.expected.as_millis() as u64
    }

    fn backlog_ms(&self) -> u64 {
        (self.backlog * 1_000.0) as u64
    }

    fn age_ms(&self) -> Option<u64> {
        self.age.map(|age| age.as_millis() as u64)
    }
}

impl Journal {
    /// Logs a request that ended without a complete response.
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

    /// Logs a request that ended with a complete response. `failed` is set if the response was an
    /// error of the backend server or took longer than the route's objective.
    pub fn request_answered(
        &self,
        entry: LogEntry<'_>,
        status: u16,
        last: LastAttempt<'_>,
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
        let choice = last.choice;
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
            vm = %last.vm,
            tries = last.tries,
            took_ms,
            expected_ms = choice.map(|choice| choice.expected_ms()),
            backlog_ms = choice.map(|choice| choice.backlog_ms()),
            slowness = choice.map(|choice| choice.slowness),
            load_age_ms = choice.and_then(|choice| choice.age_ms()),
            "entry: Request ended."
        );
    }

    /// Logs an attempt that is followed by another one. `pending` is the number of calls in flight
    /// from this node to that VM, `choice` what spoke for it.
    pub fn attempt_ended(
        &self,
        entry: LogEntry<'_>,
        vm: &VmId,
        outcome: &str,
        next: &str,
        pending: u32,
        choice: ChoiceInputs,
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
            expected_ms = choice.expected_ms(),
            backlog_ms = choice.backlog_ms(),
            slowness = choice.slowness,
            load_age_ms = choice.age_ms(),
            "dispatch: Attempt ended."
        );
    }

    /// Logs a call without a complete response from the local backend server. `limit` is the limit on
    /// its requests per second, if it states one.
    pub fn run_failed(
        &self,
        request: &RequestId,
        outcome: &str,
        running: usize,
        queued: usize,
        limit: Option<RequestRate>,
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
            limit,
            took_ms,
            "runner: Run ended."
        );
    }

    /// Starts the count of a new second.
    pub fn begin_second(&self) {
        self.failed.store(0, Ordering::Relaxed);
        self.plain.store(0, Ordering::Relaxed);
        let left_out = self.left_out.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            tracing::info!(
                left_out,
                "journal: Log lines were left out to limit their rate."
            );
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
