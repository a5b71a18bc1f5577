//! Requests that crash their backend server.
//!
//! What was in flight when a backend server died is suspect. A suspect runs alone; if its backend
//! server dies again, only the suspect can be the cause. One that completes has cleared its name.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use filbertwheel_core::{
    Call, Method, OrganisationId, RefusalKind, ServiceId, Text, message, token,
};

/// Crashes after which a fingerprint is quarantined.
pub const CRASH_LIMIT: u32 = 3;
/// How long a suspicion or a quarantine lasts after the last crash.
const MEMORY: Duration = Duration::from_secs(600);
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

/// What one node tells the others of the service about a fingerprint.
#[message]
pub struct Suspicion {
    /// Whose it is.
    pub fingerprint: Fingerprint,
    /// Crashes that it was in flight at, all nodes together as far as the sender knows.
    pub crashes: u32,
    /// How long ago the last one was.
    pub age: Duration,
}

/// How a call may run.
#[token]
pub enum Passage {
    /// Beside others.
    Free,
    /// While no other suspect runs.
    Alone,
    /// Not at all.
    Barred(RefusalKind),
}

/// The fingerprints that one node suspects.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// The suspects that run here. More than one run only until the first crash shows them.
    alone: BTreeSet<Fingerprint>,
}

#[derive(Debug)]
struct Suspect {
    crashes: u32,
    last: Instant,
}

impl Fingerprint {
    /// The fingerprint of a call. `hash` hashes its body.
    pub fn of(call: &Call, hash: impl Fn(&[u8]) -> Text) -> Self {
        let path = call.path.as_bytes().split(|byte| *byte == b'?').next();
        Self {
            organisation: call.organisation.clone(),
            service: call.service.clone(),
            method: call.method.clone(),
            path: String::from_utf8_lossy(path.unwrap_or_default())
                .into_owned()
                .into(),
            body: hash(&call.body),
        }
    }
}

impl Quarantine {
    /// How a call may run now.
    pub fn passage(&self, fingerprint: &Fingerprint, now: Instant) -> Passage {
        let suspect = self.suspects.get(fingerprint);
        let Some(suspect) = suspect.filter(|suspect| suspect.counts(now)) else {
            return Passage::Free;
        };
        if suspect.crashes >= CRASH_LIMIT {
            return Passage::Barred(RefusalKind::Quarantined);
        }
        if self.alone.is_empty() {
            Passage::Alone
        } else {
            Passage::Barred(RefusalKind::Overloaded)
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
    pub fn clear(&mut self, fingerprint: &Fingerprint) {
        self.alone.remove(fingerprint);
        let suspect = self.suspects.get(fingerprint);
        if suspect.is_some_and(|suspect| suspect.crashes < CRASH_LIMIT) {
            self.suspects.remove(fingerprint);
        }
    }

    /// Takes note of a backend server that died with calls in flight. Returns what the other nodes
    /// of the service should know. Where a suspect was among them, the others stay free.
    pub fn crash(&mut self, in_flight: &BTreeSet<Fingerprint>, now: Instant) -> Vec<Suspicion> {
        self.forget(now);
        let known: BTreeSet<_> = in_flight
            .iter()
            .filter(|fingerprint| self.suspects.contains_key(*fingerprint))
            .cloned()
            .collect();
        let blamed = if known.is_empty() { in_flight } else { &known };
        for fingerprint in blamed {
            self.alone.remove(fingerprint);
            self.blame(fingerprint.clone(), 1, now);
        }
        blamed
            .iter()
            .filter_map(|fingerprint| self.suspicion(fingerprint, now))
            .collect()
    }

    /// Takes over what another node of the service knows. Returns whether anything is new.
    pub fn merge(&mut self, suspicion: &Suspicion, now: Instant) -> bool {
        self.forget(now);
        let known = self.suspects.get(&suspicion.fingerprint);
        let known = known.map_or(0, |suspect| suspect.crashes);
        if known >= suspicion.crashes || suspicion.age >= MEMORY {
            return false;
        }
        let last = now.checked_sub(suspicion.age).unwrap_or(now);
        let more = suspicion.crashes - known;
        self.blame(suspicion.fingerprint.clone(), more, last);
        true
    }

    /// Fingerprints that are remembered.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn suspicion(&self, fingerprint: &Fingerprint, now: Instant) -> Option<Suspicion> {
        let suspect = self.suspects.get(fingerprint)?;
        Some(Suspicion {
            fingerprint: fingerprint.clone(),
            crashes: suspect.crashes,
            age: now.saturating_duration_since(suspect.last),
        })
    }

    fn blame(&mut self, fingerprint: Fingerprint, crashes: u32, last: Instant) {
        let suspect = self.suspects.entry(fingerprint);
        let suspect = suspect.or_insert(Suspect { crashes: 0, last });
        suspect.crashes += crashes;
        suspect.last = suspect.last.max(last);
        if self.suspects.len() > CAPACITY {
            self.drop_oldest();
        }
    }

    /// Makes room. Among the least guilty, the one whose last crash is longest ago goes.
    fn drop_oldest(&mut self) {
        let least = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| (suspect.crashes, suspect.last))
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
    fn counts(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last) < MEMORY
    }
}
