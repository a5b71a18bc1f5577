//! Detects which requests crash the backend server.
//!
//! A backend server that crashes closes all its connections. The requests whose connections were
//! lost since its last response were in flight at the crash, and are suspects.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use filbertwheel_backend::BackendError;
use filbertwheel_core::{Answer, Attempt, Clock, Refusal, RequestId, VmId, sha256_hex};
use filbertwheel_policy::{CRASH_LIMIT, CrashReport, Fingerprint, Quarantine, RunMode};

/// Maximum number of lost requests that are kept until the backend server responds again.
const MAX_LOST_REQUESTS: usize = 1_024;

/// Requests that are suspected of crashing backend servers.
#[derive(Debug)]
pub(crate) struct Crashes {
    quarantine: Quarantine,
    /// Requests lost since the last response.
    lost: BTreeMap<Fingerprint, RequestId>,
    /// When the first of them was lost.
    lost_since: Option<Instant>,
    /// Crash reports that are not yet sent to the other nodes, each with the time of the crash.
    unsent: Vec<(CrashReport, Instant)>,
}

impl Crashes {
    /// Creates the state of the node on `vm`, without any suspects.
    pub fn open(vm: VmId) -> Self {
        Self {
            quarantine: Quarantine::open(vm),
            lost: BTreeMap::new(),
            lost_since: None,
            unsent: Vec::new(),
        }
    }

    /// Records that the backend server has exited, which makes the lost requests suspects.
    pub fn record_exit(&mut self) {
        let lost = std::mem::take(&mut self.lost);
        let Some(lost_since) = self.lost_since.take() else {
            return;
        };
        tracing::warn!(
            in_flight = lost.len(),
            "crashes: The backend server exited with requests in flight."
        );
        let reports = self.quarantine.record_crash(&lost, lost_since);
        for report in &reports {
            self.log_quarantined(report);
        }
        let timed = reports.into_iter().map(|report| (report, lost_since));
        self.unsent.extend(timed);
    }

    /// Merges the crash reports of other nodes.
    pub fn merge_reports(&mut self, reports: &[CrashReport], now: Instant) {
        for report in reports {
            if self.quarantine.merge(report, now) {
                self.log_quarantined(report);
            }
        }
    }

    /// Returns all crash reports, those of other nodes included.
    pub fn reports(&self, now: Instant) -> Vec<CrashReport> {
        self.quarantine.reports(now)
    }

    /// Returns the crash reports that are not yet sent to the other nodes, and marks them as sent.
    pub fn take_unsent(&mut self, now: Instant) -> Vec<CrashReport> {
        let unsent = self.unsent.drain(..);
        let aged = unsent.map(|(report, lost_since)| CrashReport {
            age: now.saturating_duration_since(lost_since),
            ..report
        });
        aged.collect()
    }

    fn log_quarantined(&self, report: &CrashReport) {
        let crashes = self.quarantine.crash_count(&report.fingerprint);
        if crashes >= CRASH_LIMIT {
            tracing::warn!(
                request = %report.request,
                service = %report.fingerprint.service,
                crashes,
                "crashes: Requests with this fingerprint are now quarantined."
            );
        }
    }

    fn record_run(
        &mut self,
        attempt: &Attempt,
        result: &Result<Answer, BackendError>,
        now: Instant,
    ) {
        match result {
            Ok(_) => {
                self.lost.clear();
                self.lost_since = None;
                if !self.quarantine.is_empty() {
                    self.quarantine.record_success(&fingerprint(attempt));
                }
            }
            Err(BackendError::Lost | BackendError::Broken) => {
                if self.lost.len() < MAX_LOST_REQUESTS {
                    let request = attempt.request.clone();
                    self.lost.insert(fingerprint(attempt), request);
                    self.lost_since.get_or_insert(now);
                }
            }
            // A backend server that can't be reached right after it lost requests has exited.
            Err(BackendError::NotSent) => self.record_exit(),
            Err(BackendError::Refused(_) | BackendError::Late) => {}
        }
    }
}

fn fingerprint(attempt: &Attempt) -> Fingerprint {
    Fingerprint::of(attempt, |body| {
        if body.is_empty() {
            filbertwheel_core::Text::default()
        } else {
            sha256_hex(body)
        }
    })
}

/// Permission to run a request. Dropping it lets the next suspect run.
pub(crate) struct RunPermit<'a> {
    crashes: &'a Mutex<Crashes>,
    attempt: &'a Attempt,
    clock: &'a dyn Clock,
    /// Set if the request is a suspect, which runs while no other suspect does.
    exclusive: Option<Fingerprint>,
}

impl<'a> RunPermit<'a> {
    /// Obtains the permission to run a request. Refuses requests whose fingerprint is quarantined,
    /// and a suspect while another one runs.
    pub fn obtain(
        crashes: &'a Mutex<Crashes>,
        attempt: &'a Attempt,
        clock: &'a dyn Clock,
    ) -> Result<Self, Refusal> {
        let mut permit = Self {
            crashes,
            attempt,
            clock,
            exclusive: None,
        };
        let mut state = lock(crashes);
        if state.quarantine.is_empty() {
            return Ok(permit);
        }
        let fingerprint = fingerprint(attempt);
        match state.quarantine.run_mode(&fingerprint, clock.now()) {
            RunMode::Concurrent => {}
            RunMode::Exclusive => {
                state.quarantine.begin_exclusive(&fingerprint);
                permit.exclusive = Some(fingerprint);
            }
            RunMode::Refused(kind) => return Err(kind.into()),
        }
        Ok(permit)
    }

    /// Records the result of the run.
    pub fn finish(self, result: &Result<Answer, BackendError>) {
        lock(self.crashes).record_run(self.attempt, result, self.clock.now());
    }
}

impl Drop for RunPermit<'_> {
    fn drop(&mut self) {
        if let Some(fingerprint) = &self.exclusive {
            lock(self.crashes).quarantine.end_exclusive(fingerprint);
        }
    }
}

fn lock(crashes: &Mutex<Crashes>) -> MutexGuard<'_, Crashes> {
    crashes.lock().unwrap_or_else(PoisonError::into_inner)
}
