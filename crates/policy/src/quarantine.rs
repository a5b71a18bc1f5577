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
const MEMORY: Duration = Duration::from_secs(600);
/// Crashes on different VMs, of different requests, that are closer together than this count once.
const TOGETHER: Duration = Duration::from_millis(50);
/// Crashes of one fingerprint that are remembered, at most.
const CRASHES: usize = 16;
/// Fingerprints that are remembered, at most.
const CAPACITY: usize = 1_000;

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
    own: VmId,
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// The suspects that run here. More than one run only until the first crash shows them.
    alone: BTreeSet<Fingerprint>,
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
    pub fn open(own: VmId) -> Self {
        Self {
            own,
            ..Self::default()
        }
    }

    /// How a call may run now.
    pub fn run_mode(&self, fingerprint: &Fingerprint, now: Instant) -> RunMode {
        let suspect = self.suspects.get(fingerprint);
        let Some(suspect) = suspect.filter(|suspect| suspect.counts(now)) else {
            return RunMode::Concurrent;
        };
        let total = suspect.total();
        if total >= CRASH_LIMIT {
            return RunMode::Rejected(RefusalKind::Quarantined);
        }
        // A single crash elsewhere had many in flight; it's no reason yet to hold them up here.
        if total == 1 && suspect.crashes.iter().all(|crash| crash.vm != self.own) {
            return RunMode::Concurrent;
        }
        if self.alone.is_empty() {
            RunMode::Exclusive
        } else {
            RunMode::Rejected(RefusalKind::Overloaded)
        }
    }

    /// Takes note of a suspect that starts to run alone.
    pub fn begin(&mut self, fingerprint: &Fingerprint) {
        self.alone.insert(fingerprint.clone());
    }

    /// Takes note of a suspect that no longer runs.
    pub fn end(&mut self, fingerprint: &Fingerprint) {
        self.alone.remove(fingerprint);
    }

    /// Takes note of a call that completed, which clears its name.
    pub fn record_success(&mut self, fingerprint: &Fingerprint) {
        self.alone.remove(fingerprint);
        let suspect = self.suspects.get(fingerprint);
        if suspect.is_some_and(|suspect| suspect.total() < CRASH_LIMIT) {
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
        self.forget(now);
        // One that ran alone explains the crash better than one that's merely known.
        let ran_alone = |print: &Fingerprint| self.alone.contains(print);
        let known = |print: &Fingerprint| self.suspects.contains_key(print);
        let any_alone = in_flight.keys().any(ran_alone);
        let any_known = in_flight.keys().any(known);
        let blamed: Vec<CrashReport> = in_flight
            .iter()
            .filter(|(print, _)| !any_alone || ran_alone(print))
            .filter(|(print, _)| !any_known || known(print))
            .map(|(print, request)| CrashReport {
                fingerprint: print.clone(),
                vm: self.own.clone(),
                request: request.clone(),
                age: Duration::ZERO,
            })
            .collect();
        for suspicion in &blamed {
            self.alone.remove(&suspicion.fingerprint);
            self.blame(suspicion, now);
        }
        blamed
    }

    /// Takes over what another node knows. Returns whether it's new.
    pub fn merge(&mut self, suspicion: &CrashReport, now: Instant) -> bool {
        self.forget(now);
        let suspect = self.suspects.get(&suspicion.fingerprint);
        let known = suspect.is_some_and(|suspect| suspect.knows(suspicion));
        if known || suspicion.age >= MEMORY {
            return false;
        }
        self.blame(suspicion, now);
        true
    }

    /// All that's known, for a node that has just come.
    pub fn reports(&self, now: Instant) -> Vec<CrashReport> {
        let suspects = self.suspects.iter();
        let told = suspects.flat_map(|(fingerprint, suspect)| {
            suspect.crashes.iter().map(|crash| CrashReport {
                fingerprint: fingerprint.clone(),
                vm: crash.vm.clone(),
                request: crash.request.clone(),
                age: now.saturating_duration_since(crash.at),
            })
        });
        told.collect()
    }

    /// Crashes of a fingerprint over all nodes.
    pub fn crash_count(&self, fingerprint: &Fingerprint) -> u32 {
        self.suspects.get(fingerprint).map_or(0, Suspect::total)
    }

    /// Fingerprints that are remembered.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn blame(&mut self, suspicion: &CrashReport, now: Instant) {
        let suspect = self.suspects.entry(suspicion.fingerprint.clone());
        let crash = Crash {
            vm: suspicion.vm.clone(),
            request: suspicion.request.clone(),
            at: now.checked_sub(suspicion.age).unwrap_or(now),
        };
        suspect.or_default().add(crash);
        if self.suspects.len() > CAPACITY {
            self.drop_oldest();
        }
    }

    /// Makes room. Among the least guilty, the one whose last crash is longest ago goes.
    fn drop_oldest(&mut self) {
        let least = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| (suspect.total(), suspect.last()))
            .map(|(fingerprint, _)| fingerprint.clone());
        if let Some(fingerprint) = least {
            self.suspects.remove(&fingerprint);
        }
    }

    fn forget(&mut self, now: Instant) {
        self.suspects.retain(|_, suspect| suspect.counts(now));
    }
}

impl Suspect {
    /// Whether a crash that's told is known already.
    fn knows(&self, told: &CrashReport) -> bool {
        let same = |known: &Crash| known.vm == told.vm && known.request == told.request;
        self.crashes.iter().any(same)
    }

    fn add(&mut self, crash: Crash) {
        if self.crashes.len() < CRASHES {
            let place = self.crashes.partition_point(|known| known.at <= crash.at);
            self.crashes.insert(place, crash);
        }
    }

    /// The crashes, those that came together as one.
    fn total(&self) -> u32 {
        let mut counted: Vec<&Crash> = Vec::new();
        for crash in &self.crashes {
            let together = counted.iter().any(|earlier| {
                earlier.vm != crash.vm
                    && earlier.request != crash.request
                    && crash.at.saturating_duration_since(earlier.at) < TOGETHER
            });
            if !together {
                counted.push(crash);
            }
        }
        counted.len() as u32
    }

    fn last(&self) -> Option<Instant> {
        self.crashes.last().map(|crash| crash.at)
    }

    fn counts(&self, now: Instant) -> bool {
        let last = self.last();
        last.is_some_and(|last| now.saturating_duration_since(last) < MEMORY)
    }
}
