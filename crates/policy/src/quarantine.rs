//! Quarantine of requests that crash their backend server.
//!
//! The requests in flight when a backend server crashes become suspects. A suspect runs
//! exclusively, that is, while no other suspect runs; if its backend server crashes again, the
//! suspect is the cause. A suspect that completes is cleared. Nodes exchange crash reports, and the
//! crashes of a fingerprint are counted over all nodes. Where several backend servers crash
//! together, a common fingerprint is in flight at each of them by coincidence, so such crashes
//! count once, unless it was the very same request.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use filbertwheel_core::{
    Attempt, Method, OrganisationId, RefusalKind, RequestId, ServiceId, Text, VmId, copy_value,
    message,
};

/// Crashes after which a fingerprint is quarantined.
pub const CRASH_LIMIT: u32 = 3;
/// How long a fingerprint stays suspect or quarantined after its last crash.
const SUSPECT_LIFETIME: Duration = Duration::from_secs(600);
/// Crashes on different VMs, of different requests, that are closer together than this count as
/// one.
const COINCIDENCE_WINDOW: Duration = Duration::from_millis(50);
/// Maximum number of crashes kept per fingerprint.
const MAX_CRASHES_PER_FINGERPRINT: usize = 16;
/// Maximum number of suspect fingerprints.
const MAX_SUSPECTS: usize = 1_000;

/// Identifies all requests that look the same to a backend server.
#[message]
#[derive(Eq, PartialOrd, Ord)]
pub struct Fingerprint {
    /// Organisation of the requests, if any.
    pub organisation: Option<OrganisationId>,
    /// Service that they address.
    pub service: ServiceId,
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: Text,
    /// Hash of the body.
    pub body: Text,
}

/// Reports that a fingerprint was in flight when a backend server crashed.
#[message]
pub struct CrashReport {
    /// Fingerprint in flight.
    pub fingerprint: Fingerprint,
    /// VM of the backend server.
    pub vm: VmId,
    /// Request with that fingerprint that was in flight there.
    pub request: RequestId,
    /// Time since the crash.
    pub age: Duration,
}

/// How a call may run, given the crashes of its fingerprint.
#[copy_value]
pub enum RunMode {
    /// Concurrently with other calls.
    Concurrent,
    /// While no other suspect runs.
    Exclusive,
    /// Not at all; it is refused.
    Refused(RefusalKind),
}

/// Suspect fingerprints as known to one node.
#[derive(Debug, Default)]
pub struct Quarantine {
    own_vm: VmId,
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// Suspects that run exclusively here. Several can run at once only until the first crash makes
    /// them suspect.
    exclusive: BTreeSet<Fingerprint>,
}

#[derive(Debug, Default)]
struct Suspect {
    /// Crashes in order of time.
    crashes: Vec<Crash>,
}

#[derive(Debug, Clone)]
struct Crash {
    vm: VmId,
    request: RequestId,
    at: Instant,
}

impl Fingerprint {
    /// Computes the fingerprint of an attempt. `hash` hashes its body.
    pub fn of(attempt: &Attempt, hash: impl Fn(&[u8]) -> Text) -> Self {
        let path = attempt.path.as_bytes().split(|byte| *byte == b'?').next();
        Self {
            organisation: attempt.organisation.clone(),
            service: attempt.service.clone(),
            method: attempt.method.clone(),
            path: String::from_utf8_lossy(path.unwrap_or_default())
                .into_owned()
                .into(),
            body: hash(&attempt.body),
        }
    }
}

impl Quarantine {
    /// Creates an empty quarantine for the node on VM `own_vm`.
    pub fn open(own_vm: VmId) -> Self {
        Self {
            own_vm,
            ..Self::default()
        }
    }

    /// Returns how a call may run at present.
    pub fn run_mode(&self, fingerprint: &Fingerprint, now: Instant) -> RunMode {
        let suspect = self.suspects.get(fingerprint);
        let Some(suspect) = suspect.filter(|suspect| suspect.is_active(now)) else {
            return RunMode::Concurrent;
        };
        let total = suspect.crash_count();
        if total >= CRASH_LIMIT {
            return RunMode::Refused(RefusalKind::Quarantined);
        }
        // Many calls were in flight at a single crash on another VM, so they aren't serialised here
        // yet.
        if total == 1 && suspect.crashes.iter().all(|crash| crash.vm != self.own_vm) {
            return RunMode::Concurrent;
        }
        if self.exclusive.is_empty() {
            RunMode::Exclusive
        } else {
            RunMode::Refused(RefusalKind::Overloaded)
        }
    }

    /// Records that a suspect starts to run exclusively.
    pub fn begin_exclusive(&mut self, fingerprint: &Fingerprint) {
        self.exclusive.insert(fingerprint.clone());
    }

    /// Records that a suspect no longer runs.
    pub fn end_exclusive(&mut self, fingerprint: &Fingerprint) {
        self.exclusive.remove(fingerprint);
    }

    /// Records a completed call, which clears its fingerprint unless that is quarantined.
    pub fn record_success(&mut self, fingerprint: &Fingerprint) {
        self.exclusive.remove(fingerprint);
        let suspect = self.suspects.get(fingerprint);
        if suspect.is_some_and(|suspect| suspect.crash_count() < CRASH_LIMIT) {
            self.suspects.remove(fingerprint);
        }
    }

    /// Records a crash of the backend server with calls in flight. Returns the reports for the
    /// other nodes. If suspects were in flight, only they are reported.
    pub fn record_crash(
        &mut self,
        in_flight: &BTreeMap<Fingerprint, RequestId>,
        now: Instant,
    ) -> Vec<CrashReport> {
        self.remove_expired(now);
        // A suspect that ran exclusively is a likelier cause than one that is merely suspect.
        let ran_exclusively = |fingerprint: &Fingerprint| self.exclusive.contains(fingerprint);
        let is_suspect = |fingerprint: &Fingerprint| self.suspects.contains_key(fingerprint);
        let any_exclusive = in_flight.keys().any(ran_exclusively);
        let any_suspect = in_flight.keys().any(is_suspect);
        let reports: Vec<CrashReport> = in_flight
            .iter()
            .filter(|(fingerprint, _)| !any_exclusive || ran_exclusively(fingerprint))
            .filter(|(fingerprint, _)| !any_suspect || is_suspect(fingerprint))
            .map(|(fingerprint, request)| CrashReport {
                fingerprint: fingerprint.clone(),
                vm: self.own_vm.clone(),
                request: request.clone(),
                age: Duration::ZERO,
            })
            .collect();
        for report in &reports {
            self.exclusive.remove(&report.fingerprint);
            self.add_report(report, now);
        }
        reports
    }

    /// Merges a report of another node. Returns whether it was new.
    pub fn merge(&mut self, report: &CrashReport, now: Instant) -> bool {
        self.remove_expired(now);
        let suspect = self.suspects.get(&report.fingerprint);
        let known = suspect.is_some_and(|suspect| suspect.contains(report));
        if known || report.age >= SUSPECT_LIFETIME {
            return false;
        }
        self.add_report(report, now);
        true
    }

    /// Returns all known crashes, for a node that has just joined.
    pub fn reports(&self, now: Instant) -> Vec<CrashReport> {
        let suspects = self.suspects.iter();
        let reports = suspects.flat_map(|(fingerprint, suspect)| {
            suspect.crashes.iter().map(|crash| CrashReport {
                fingerprint: fingerprint.clone(),
                vm: crash.vm.clone(),
                request: crash.request.clone(),
                age: now.saturating_duration_since(crash.at),
            })
        });
        reports.collect()
    }

    /// Returns the number of crashes of a fingerprint over all nodes.
    pub fn crash_count(&self, fingerprint: &Fingerprint) -> u32 {
        self.suspects
            .get(fingerprint)
            .map_or(0, Suspect::crash_count)
    }

    /// Returns the number of suspect fingerprints.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether no fingerprint is suspect.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Adds the crash of a report.
    fn add_report(&mut self, report: &CrashReport, now: Instant) {
        let suspect = self.suspects.entry(report.fingerprint.clone());
        let crash = Crash {
            vm: report.vm.clone(),
            request: report.request.clone(),
            at: now.checked_sub(report.age).unwrap_or(now),
        };
        suspect.or_default().insert(crash);
        if self.suspects.len() > MAX_SUSPECTS {
            self.drop_oldest();
        }
    }

    /// Drops the fingerprint with the fewest crashes, and among those the one with the oldest last
    /// crash.
    fn drop_oldest(&mut self) {
        let least = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| (suspect.crash_count(), suspect.last()))
            .map(|(fingerprint, _)| fingerprint.clone());
        if let Some(fingerprint) = least {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Drops the fingerprints whose last crash is too old.
    fn remove_expired(&mut self, now: Instant) {
        self.suspects.retain(|_, suspect| suspect.is_active(now));
    }
}

impl Suspect {
    /// Returns whether a reported crash is already recorded.
    fn contains(&self, report: &CrashReport) -> bool {
        let same = |known: &Crash| known.vm == report.vm && known.request == report.request;
        self.crashes.iter().any(same)
    }

    /// Inserts a crash in order of time, up to the maximum number.
    fn insert(&mut self, crash: Crash) {
        if self.crashes.len() < MAX_CRASHES_PER_FINGERPRINT {
            let place = self.crashes.partition_point(|known| known.at <= crash.at);
            self.crashes.insert(place, crash);
        }
    }

    /// Counts the crashes, with coinciding ones as one.
    fn crash_count(&self) -> u32 {
        let mut counted: Vec<&Crash> = Vec::new();
        for crash in &self.crashes {
            let coincides = counted.iter().any(|earlier| {
                earlier.vm != crash.vm
                    && earlier.request != crash.request
                    && crash.at.saturating_duration_since(earlier.at) < COINCIDENCE_WINDOW
            });
            if !coincides {
                counted.push(crash);
            }
        }
        counted.len() as u32
    }

    fn last(&self) -> Option<Instant> {
        self.crashes.last().map(|crash| crash.at)
    }

    /// Returns whether the last crash is recent enough to count.
    fn is_active(&self, now: Instant) -> bool {
        let last = self.last();
        last.is_some_and(|last| now.saturating_duration_since(last) < SUSPECT_LIFETIME)
    }
}
