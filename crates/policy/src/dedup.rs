//! Deduplication table for requests that must run at most once.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use filbertwheel_core::{Answer, Failure, RefusalKind, UnknownReason, Verdict, invariant, value};

use crate::owner::RequestKey;

/// How long after its first attempt a request may be retried, if the caller does not state the time
/// of the first attempt.
pub const DEDUP_WINDOW: Duration = Duration::from_secs(120);
/// Maximum clock skew of a caller.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);

/// Maximum number of entries.
const MAX_ENTRIES: usize = 32_768;
/// Maximum size of a response that is kept, in bytes.
const MAX_ANSWER_BYTES: usize = 1_024;
/// Maximum size of all kept responses together, in bytes.
const MAX_TOTAL_ANSWER_BYTES: usize = 4 * 1_024 * 1_024;

/// Decision on a request.
#[value]
pub enum DedupDecision {
    /// The request runs now. Its outcome must be recorded with `DedupTable::complete`.
    Run,
    /// The request has not run and is refused.
    Refuse(RefusalKind),
    /// The request may have run.
    Unknown(UnknownReason),
    /// The request has run and this is its response.
    Replay(Answer),
}

/// The requests that this node has run as their owner.
#[derive(Debug)]
pub struct DedupTable {
    max_entries: usize,
    entries: HashMap<RequestKey, Entry>,
    insertion_order: VecDeque<(Instant, RequestKey)>,
    /// Requests with a first attempt at or before this time may have been evicted.
    horizon: Option<Instant>,
    answer_bytes: usize,
}

#[derive(Debug)]
struct Entry {
    at: Instant,
    state: State,
}

#[derive(Debug)]
enum State {
    Running,
    Answered(Answer),
    Unknown,
}

impl DedupTable {
    /// Creates an empty table.
    pub fn open() -> Self {
        Self::with_capacity(MAX_ENTRIES)
    }

    /// Creates an empty table for a maximum number of requests.
    pub fn with_capacity(max_entries: usize) -> Self {
        Self {
            max_entries,
            entries: HashMap::new(),
            insertion_order: VecDeque::new(),
            horizon: None,
            answer_bytes: 0,
        }
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Decides on a request whose first attempt was at `first_attempt` or later. `sole_owner_since`
    /// is the time since when this node has been its sole owner, or `None` if it is not.
    pub fn admit(
        &mut self,
        key: &RequestKey,
        first_attempt: Instant,
        sole_owner_since: Option<Instant>,
        now: Instant,
    ) -> DedupDecision {
        if let Some(entry) = self.entries.get(key) {
            return match &entry.state {
                State::Answered(answer) => DedupDecision::Replay(answer.clone()),
                State::Running | State::Unknown => DedupDecision::Unknown(UnknownReason::Repeated),
            };
        }
        let Some(sole_owner_since) = sole_owner_since else {
            return DedupDecision::Refuse(RefusalKind::Unavailable);
        };
        self.evict_old(now);
        if first_attempt < sole_owner_since
            || self.horizon.is_some_and(|horizon| first_attempt <= horizon)
        {
            return DedupDecision::Unknown(UnknownReason::Forgotten);
        }
        self.insert(key, now);
        DedupDecision::Run
    }

    /// Records the outcome of a request that ran.
    pub fn complete(&mut self, key: &RequestKey, verdict: &Verdict) {
        let running = self
            .entries
            .get(key)
            .is_some_and(|entry| matches!(entry.state, State::Running));
        invariant!(
            "runs-at-most-once",
            running,
            "{key:?} completed without running"
        );
        match verdict {
            Err(Failure::Refused(_)) => self.remove_entry(key),
            Ok(answer) if self.has_room(answer) => {
                self.answer_bytes += answer_size(answer);
                self.set_state(key, State::Answered(answer.clone()));
            }
            Ok(_) | Err(Failure::Unknown(_)) => self.set_state(key, State::Unknown),
        }
    }

    fn insert(&mut self, key: &RequestKey, now: Instant) {
        let state = State::Running;
        let earlier = self.entries.insert(key.clone(), Entry { at: now, state });
        invariant!(
            "runs-at-most-once",
            earlier.is_none(),
            "{key:?} runs a second time"
        );
        self.insertion_order.push_back((now, key.clone()));
    }

    fn set_state(&mut self, key: &RequestKey, state: State) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.state = state;
        }
    }

    fn has_room(&self, answer: &Answer) -> bool {
        answer_size(answer) <= MAX_ANSWER_BYTES
            && self.answer_bytes + answer_size(answer) <= MAX_TOTAL_ANSWER_BYTES
    }

    /// Evicts the oldest entries and advances the horizon past them.
    fn evict_old(&mut self, now: Instant) {
        while let Some((at, _)) = self.insertion_order.front() {
            let old = now.saturating_duration_since(*at) > DEDUP_WINDOW;
            if !old && self.insertion_order.len() < self.max_entries {
                return;
            }
            let Some((at, key)) = self.insertion_order.pop_front() else {
                return;
            };
            // A request that was refused and then admitted again is in the order twice.
            if self.entries.get(&key).is_some_and(|entry| entry.at == at) {
                self.remove_entry(&key);
                self.horizon = self.horizon.max(Some(at));
            }
        }
    }

    fn remove_entry(&mut self, key: &RequestKey) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        if let State::Answered(answer) = &entry.state {
            self.answer_bytes -= answer_size(answer);
        }
    }
}

fn answer_size(answer: &Answer) -> usize {
    let headers = answer.headers.iter();
    let headers = headers.map(|line| line.name.as_bytes().len() + line.value.as_bytes().len());
    answer.body.len() + headers.sum::<usize>()
}
