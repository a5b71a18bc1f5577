//! Requests that crash their backend server.
//!
//! What was in flight when a backend server died is suspect. A suspect runs alone; if its backend
//! server dies again, only the suspect can be the cause. One that completes has cleared its name.
//! Each node tells the others of the crashes beside it; a fingerprint's crashes are those of all nodes.
//! Where several backend servers die together, a common fingerprint was in flight at each of them by
//! chance, so crashes that come together count once, unless it was the very same request.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use filbertwheel_core::{
    Attempt, Method, OrganisationId, RefusalKind, RequestId, ServiceId, Text, VmId, copy_value,
    message,
};

/// Crashes after which a fingerprint is quarantined.
pub const CRASH_LIMIT: u32 = 3;
/// How long a suspicion or a quarantine lasts after the last crash.
const SUSPECT_LIFETIME: Duration = Duration::from_secs(600);
/// Crashes on different VMs, of different requests, that are closer together than this count once.
const COINCIDENCE_WINDOW: Duration = Duration::from_millis(50);
/// Crashes of one fingerprint that are remembered, at most.
const MAX_CRASHES_PER_FINGERPRINT: usize = 16;
/// Fingerprints that are remembered, at most.
const MAX_SUSPECTS: usize = 1_000;

/// Stands for all requests that look the same to a backend server.
#[message]
#[derive(Eq, PartialOrd, Ord)]
pub struct Fingerprint {
    /// For whom they run.
    pub organisation: Option<OrganisationId>,
    /// The service that they want.
    pub service: ServiceId,
    /// Their method.
    pub method: Method,
    /// Their path without the query.
    pub path: Text,
    /// Hash of their body.
    pub body: Text,
}

/// Tells that a fingerprint was in flight when a backend server died.
#[message]
pub struct CrashReport {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// VM of the backend server.
    pub vm: VmId,
    /// The request that was in flight there.
    pub request: RequestId,
    /// How long ago it was.
    pub age: Duration,
}

/// How a call may run.
#[copy_value]
pub enum RunMode {
    /// Beside others.
    Concurrent,
    /// While no other suspect runs.
    Exclusive,
    /// Not at all.
    Rejected(RefusalKind),
}

/// The fingerprints that one node suspects.
#[derive(Debug, Default)]
pub struct Quarantine {
    own_vm: VmId,
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// The suspects that run here. More than one run only until the first crash shows them.
    exclusive: BTreeSet<Fingerprint>,
}

#[derive(Debug, Default)]
struct Suspect {
    /// The crashes, the earliest first.
    crashes: Vec<Crash>,
}

#[derive(Debug, Clone)]
struct Crash {
    vm: VmId,
    request: RequestId,
    at: Instant,
}

impl Fingerprint {
    /// The fingerprint of an attempt. `hash` hashes its body.
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
    /// The quarantine of the node on VM `own`.
    pub fn open(own_vm: VmId) -> Self {
        Self {
            own_vm,
            ..Self::default()
        }
    }

    /// How a call may run now.
    pub fn run_mode(&self, fingerprint: &Fingerprint, now: Instant) -> RunMode {
        let suspect = self.suspects.get(fingerprint);
        let Some(suspect) = suspect.filter(|suspect| suspect.is_active(now)) else {
            return RunMode::Concurrent;
        };
        let total = suspect.crash_count();
        if total >= CRASH_LIMIT {
            return RunMode::Rejected(RefusalKind::Quarantined);
        }
        // A single crash elsewhere had many in flight; it's no reason yet to hold them up here.
        if total == 1 && suspect.crashes.iter().all(|crash| crash.vm != self.own_vm) {
            return RunMode::Concurrent;
        }
        if self.exclusive.is_empty() {
            RunMode::Exclusive
        } else {
            RunMode::Rejected(RefusalKind::Overloaded)
        }
    }

    /// Takes note of a suspect that starts to run alone.
    pub fn begin(&mut self, fingerprint: &Fingerprint) {
        self.exclusive.insert(fingerprint.clone());
    }

    /// Takes note of a suspect that no longer runs.
    pub fn end(&mut self, fingerprint: &Fingerprint) {
        self.exclusive.remove(fingerprint);
    }

    /// Takes note of a call that completed, which clears its name.
    pub fn record_success(&mut self, fingerprint: &Fingerprint) {
        self.exclusive.remove(fingerprint);
        let suspect = self.suspects.get(fingerprint);
        if suspect.is_some_and(|suspect| suspect.crash_count() < CRASH_LIMIT) {
            self.suspects.remove(fingerprint);
        }
    }

    /// Takes note of a backend server that died with calls in flight. Returns what the other nodes
    /// should know. Where a suspect was among them, the others stay free.
    pub fn record_crash(
        &mut self,
        in_flight: &BTreeMap<Fingerprint, RequestId>,
        now: Instant,
    ) -> Vec<CrashReport> {
        self.remove_expired(now);
        // One that ran alone explains the crash better than one that's merely known.
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

    /// Takes over what another node knows. Returns whether it's new.
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

    /// All that's known, for a node that has just come.
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

    /// Crashes of a fingerprint over all nodes.
    pub fn crash_count(&self, fingerprint: &Fingerprint) -> u32 {
        self.suspects
            .get(fingerprint)
            .map_or(0, Suspect::crash_count)
    }

    /// Fingerprints that are remembered.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

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

    /// Makes room. Among the least guilty, the one whose last crash is longest ago goes.
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

    fn remove_expired(&mut self, now: Instant) {
        self.suspects.retain(|_, suspect| suspect.is_active(now));
    }
}

impl Suspect {
    /// Whether a crash that's told is known already.
    fn contains(&self, report: &CrashReport) -> bool {
        let same = |known: &Crash| known.vm == report.vm && known.request == report.request;
        self.crashes.iter().any(same)
    }

    fn insert(&mut self, crash: Crash) {
        if self.crashes.len() < MAX_CRASHES_PER_FINGERPRINT {
            let place = self.crashes.partition_point(|known| known.at <= crash.at);
            self.crashes.insert(place, crash);
        }
    }

    /// The crashes, those that came together as one.
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

    fn is_active(&self, now: Instant) -> bool {
        let last = self.last();
        last.is_some_and(|last| now.saturating_duration_since(last) < SUSPECT_LIFETIME)
    }
}
