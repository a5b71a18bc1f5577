//! Finds out which requests crash the backend server.
//!
//! A backend server that dies cuts all its connections and answers nothing more. What was lost
//! since its last answer was in flight when it died.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use filbertwheel_backend::BackendError;
use filbertwheel_core::{Answer, Attempt, Clock, Refusal, RequestId, VmId, sha256_hex};
use filbertwheel_policy::{CRASH_LIMIT, CrashReport, Fingerprint, Quarantine, RunMode};

/// Lost requests that are remembered until the backend server answers again.
const LOST_REQUESTS: usize = 1_024;

/// What's known of requests that crash backend servers.
#[derive(Debug)]
pub(crate) struct Crashes {
    quarantine: Quarantine,
    /// Requests that were lost since the last answer, and when the first of them was.
    lost: BTreeMap<Fingerprint, RequestId>,
    since: Option<Instant>,
    /// Suspicions that the other nodes weren't told of, and since when they are held.
    fresh: Vec<(CrashReport, Instant)>,
}

impl Crashes {
    /// Nothing known yet at the node on `vm`.
    pub fn open(vm: VmId) -> Self {
        Self {
            quarantine: Quarantine::open(vm),
            lost: BTreeMap::new(),
            since: None,
            fresh: Vec::new(),
        }
    }

    /// Takes note that the backend server has died.
    pub fn died(&mut self) {
        let lost = std::mem::take(&mut self.lost);
        let Some(since) = self.since.take() else {
            return;
        };
        tracing::warn!(
            in_flight = lost.len(),
            "crashes: The backend server died with requests in flight."
        );
        let suspicions = self.quarantine.record_crash(&lost, since);
        for suspicion in &suspicions {
            self.log_barred(suspicion);
        }
        let held = suspicions.into_iter().map(|suspicion| (suspicion, since));
        self.fresh.extend(held);
    }

    /// Takes over what other nodes know.
    pub fn suspect(&mut self, suspicions: &[CrashReport], now: Instant) {
        for suspicion in suspicions {
            if self.quarantine.merge(suspicion, now) {
                self.log_barred(suspicion);
            }
        }
    }

    /// All suspicions.
    pub fn all(&self, now: Instant) -> Vec<CrashReport> {
        self.quarantine.reports(now)
    }

    /// The suspicions that the other nodes weren't told of.
    pub fn take(&mut self, now: Instant) -> Vec<CrashReport> {
        let fresh = self.fresh.drain(..);
        let aged = fresh.map(|(suspicion, since)| CrashReport {
            age: now.saturating_duration_since(since),
            ..suspicion
        });
        aged.collect()
    }

    fn log_barred(&self, suspicion: &CrashReport) {
        let crashes = self.quarantine.crash_count(&suspicion.fingerprint);
        if crashes >= CRASH_LIMIT {
            tracing::warn!(
                request = %suspicion.request,
                service = %suspicion.fingerprint.service,
                crashes,
                "crashes: Requests like this one are refused from now on."
            );
        }
    }

    fn ended(&mut self, attempt: &Attempt, ran: &Result<Answer, BackendError>, now: Instant) {
        match ran {
            Ok(_) => {
                self.lost.clear();
                self.since = None;
                if !self.quarantine.is_empty() {
                    self.quarantine.record_success(&fingerprint(attempt));
                }
            }
            Err(BackendError::Lost | BackendError::Broken) => {
                if self.lost.len() < LOST_REQUESTS {
                    let request = attempt.request.clone();
                    self.lost.insert(fingerprint(attempt), request);
                    self.since.get_or_insert(now);
                }
            }
            // What can't be reached right after it lost requests has died.
            Err(BackendError::NotSent) => self.died(),
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

/// Leave to run a request. Dropped early, it lets the next suspect run.
pub(crate) struct RunPermit<'a> {
    crashes: &'a Mutex<Crashes>,
    attempt: &'a Attempt,
    clock: &'a dyn Clock,
    /// Set where the request runs while no other suspect does.
    alone: Option<Fingerprint>,
}

impl<'a> RunPermit<'a> {
    /// Lets a request run, unless requests like it crash backend servers.
    pub fn obtain(
        crashes: &'a Mutex<Crashes>,
        attempt: &'a Attempt,
        clock: &'a dyn Clock,
    ) -> Result<Self, Refusal> {
        let mut permit = Self {
            crashes,
            attempt,
            clock,
            alone: None,
        };
        let mut state = lock(crashes);
        if state.quarantine.is_empty() {
            return Ok(permit);
        }
        let print = fingerprint(attempt);
        match state.quarantine.run_mode(&print, clock.now()) {
            RunMode::Concurrent => {}
            RunMode::Exclusive => {
                state.quarantine.begin(&print);
                permit.alone = Some(print);
            }
            RunMode::Rejected(kind) => return Err(kind.into()),
        }
        Ok(permit)
    }

    /// Takes note of how the run ended.
    pub fn close(self, ran: &Result<Answer, BackendError>) {
        lock(self.crashes).ended(self.attempt, ran, self.clock.now());
    }
}

impl Drop for RunPermit<'_> {
    fn drop(&mut self) {
        if let Some(print) = &self.alone {
            lock(self.crashes).quarantine.end(print);
        }
    }
}

fn lock(crashes: &Mutex<Crashes>) -> MutexGuard<'_, Crashes> {
    crashes.lock().unwrap_or_else(PoisonError::into_inner)
}
