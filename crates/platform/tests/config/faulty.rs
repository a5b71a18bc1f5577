//! A table and an object store with injected faults.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use bytes::Bytes;
use filbertwheel_core::{Change, Configuration, Delta, Edit, PausedClock, Rate, Text, Version};
use filbertwheel_platform::{
    ConfigStore, MemoryObjects, MemoryTable, ObjectStore, PlatformError, Table, TableRow,
    TableWrite,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use smol::future::yield_now;

/// Injected outcome of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request is executed and answered.
    Answered,
    /// The request is executed and its response is lost.
    ResponseLost,
    /// The request is lost; the client can't tell whether it was executed.
    RequestLost,
    /// The service is unreachable; nothing is executed.
    Unreachable,
}

/// How the outcome of each request is chosen.
#[derive(Debug)]
enum Plan {
    /// The listed outcomes in order, then all requests are answered.
    Listed(Vec<RequestOutcome>),
    /// Random outcomes, with a chance of a fault in percent.
    Random(Box<StdRng>, u32),
}

/// In-memory platform with injected faults.
#[derive(Debug)]
pub struct FaultyPlatform {
    table: MemoryTable,
    objects: MemoryObjects,
    commits: Mutex<Plan>,
    reads: Mutex<Plan>,
    /// Number of requests sent to the table and the object store.
    pub requests: AtomicU64,
}

impl FaultyPlatform {
    /// A platform without faults.
    pub fn open() -> Arc<Self> {
        Arc::new(Self {
            table: MemoryTable::default(),
            objects: MemoryObjects::default(),
            commits: Mutex::new(Plan::Listed(Vec::new())),
            reads: Mutex::new(Plan::Listed(Vec::new())),
            requests: AtomicU64::new(0),
        })
    }

    /// Injects random faults from now on.
    pub fn set_random(&self, seed: u64, percent: u32) {
        let plan = |seed| Plan::Random(Box::new(StdRng::seed_from_u64(seed)), percent);
        *self.commits.lock().unwrap() = plan(seed);
        *self.reads.lock().unwrap() = plan(seed ^ 1);
    }

    /// Sets the outcomes of the next commits.
    pub fn next_commits(&self, outcomes: &[RequestOutcome]) {
        *self.commits.lock().unwrap() = Plan::Listed(outcomes.to_vec());
    }

    /// Sets the outcomes of the next reads and scans.
    pub fn next_reads(&self, outcomes: &[RequestOutcome]) {
        *self.reads.lock().unwrap() = Plan::Listed(outcomes.to_vec());
    }

    /// Opens a configuration store in this platform.
    pub fn store(self: &Arc<Self>, clock: &PausedClock) -> ConfigStore {
        let table = Arc::clone(self) as Arc<dyn Table>;
        let objects = Arc::clone(self) as Arc<dyn ObjectStore>;
        ConfigStore::open(table, objects, Arc::new(clock.clone()))
    }

    /// Returns a copy of the table at this moment.
    pub fn copy(&self) -> MemoryTable {
        self.table.copy()
    }

    /// Takes the table back to an earlier copy.
    pub fn restore(&self, copy: &MemoryTable) {
        self.table.restore(copy);
    }

    /// Returns the keys of the rows with a prefix, without faults.
    pub async fn keys(&self, prefix: &str) -> Vec<String> {
        let rows = self.table.scan(&prefix.into(), &Text::default()).await;
        rows.unwrap()
            .iter()
            .map(|row| row.key.to_string())
            .collect()
    }

    /// Returns the changes in the table, without faults.
    pub async fn changes(&self) -> Vec<Change> {
        let rows = self.table.scan(&"change/".into(), &Text::default()).await;
        let rows = rows.unwrap();
        let changes = rows
            .iter()
            .map(|row| serde_json::from_slice(row.value.as_bytes()));
        changes.collect::<Result<_, _>>().unwrap()
    }

    async fn outcome(&self, plan: &Mutex<Plan>) -> RequestOutcome {
        self.requests.fetch_add(1, Ordering::Relaxed);
        let (outcome, pauses) = plan.lock().unwrap().next();
        for _ in 0..pauses {
            yield_now().await;
        }
        outcome
    }
}

impl Plan {
    /// Returns the outcome of the next request, and how often it yields to other tasks first.
    fn next(&mut self) -> (RequestOutcome, u32) {
        match self {
            Self::Listed(outcomes) if outcomes.is_empty() => (RequestOutcome::Answered, 1),
            Self::Listed(outcomes) => (outcomes.remove(0), 1),
            Self::Random(rng, percent) => {
                let faults = [
                    RequestOutcome::ResponseLost,
                    RequestOutcome::RequestLost,
                    RequestOutcome::Unreachable,
                ];
                let outcome = if rng.random_range(0..100) < *percent {
                    faults[rng.random_range(0..faults.len())]
                } else {
                    RequestOutcome::Answered
                };
                (outcome, rng.random_range(0..4))
            }
        }
    }
}

impl RequestOutcome {
    fn answer<T>(self, outcome: Result<T, PlatformError>) -> Result<T, PlatformError> {
        match self {
            Self::Answered => outcome,
            Self::ResponseLost | Self::RequestLost => Err(PlatformError::Unknown),
            Self::Unreachable => Err(PlatformError::Unreachable),
        }
    }

    fn arrives(self) -> bool {
        matches!(self, Self::Answered | Self::ResponseLost)
    }
}

#[async_trait]
impl Table for FaultyPlatform {
    async fn read(&self, key: &Text) -> Result<Option<TableRow>, PlatformError> {
        let outcome = self.outcome(&self.reads).await;
        outcome.answer(self.table.read(key).await)
    }

    async fn scan(&self, prefix: &Text, after: &Text) -> Result<Vec<TableRow>, PlatformError> {
        let outcome = self.outcome(&self.reads).await;
        outcome.answer(self.table.scan(prefix, after).await)
    }

    async fn commit(&self, writes: Vec<TableWrite>) -> Result<(), PlatformError> {
        let outcome = self.outcome(&self.commits).await;
        if !outcome.arrives() {
            return outcome.answer(Ok(()));
        }
        outcome.answer(self.table.commit(writes).await)
    }
}

#[async_trait]
impl ObjectStore for FaultyPlatform {
    async fn get(&self, key: &Text) -> Result<Option<Bytes>, PlatformError> {
        let outcome = self.outcome(&self.reads).await;
        outcome.answer(self.objects.get(key).await)
    }

    async fn put(&self, key: &Text, object: Bytes) -> Result<(), PlatformError> {
        let outcome = self.outcome(&self.commits).await;
        if !outcome.arrives() {
            return outcome.answer(Ok(()));
        }
        outcome.answer(self.objects.put(key, object).await)
    }

    async fn remove(&self, key: &Text) -> Result<(), PlatformError> {
        let outcome = self.outcome(&self.commits).await;
        if !outcome.arrives() {
            return outcome.answer(Ok(()));
        }
        outcome.answer(self.objects.remove(key).await)
    }
}

/// Returns an edit that sets an organisation's rate.
pub fn set_rate(name: &str, rate: f64) -> Edit {
    Edit::SetOrganisation {
        name: name.into(),
        limit: Rate { rate, burst: 1.0 },
    }
}

/// Loads the latest configuration from the store.
pub async fn loaded(store: &ConfigStore) -> Configuration {
    let mut log = filbertwheel_core::ConfigLog::default();
    log.apply(store.load(0).await.unwrap()).unwrap();
    log.current().clone()
}

/// Commits a number of edits in order and returns the resulting configuration.
pub async fn fill(store: &ConfigStore, changes: Version) -> Configuration {
    let mut log = filbertwheel_core::ConfigLog::default();
    log.apply(store.load(0).await.unwrap()).unwrap();
    let first = log.current().version + 1;
    for number in first..first + changes {
        let edit = set_rate("wardoffice", number as f64);
        let command = format!("fill-{number}").into();
        let outcome = store.commit(log.current(), command, edit).await.unwrap();
        let filbertwheel_platform::CommitOutcome::Committed(change) = outcome else {
            panic!("{outcome:?}");
        };
        log.apply(Delta::Changes(vec![change])).unwrap();
    }
    log.current().clone()
}
