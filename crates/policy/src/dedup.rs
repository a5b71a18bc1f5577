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
const REQUESTS_KEPT: usize = 32_768;
/// Maximum size of a response that is kept, in bytes.
const ANSWER_LIMIT: usize = 1_024;
/// Maximum size of all kept responses together, in bytes.
const ANSWERS_LIMIT: usize = 4 * 1_024 * 1_024;

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
    kept: usize,
    requests: HashMap<RequestKey, Taken>,
    order: VecDeque<(Instant, RequestKey)>,
    /// Requests with a first attempt at or before this time may have been evicted.
    horizon: Option<Instant>,
    answer_bytes: usize,
}

#[derive(Debug)]
struct Taken {
    at: Instant,
    state: State,
}

#[derive(Debug)]
enum State {
    Running,
    Answered(Answer),
    Unclear,
}

impl DedupTable {
    /// Creates an empty table.
    pub fn open() -> Self {
        Self::with_room(REQUESTS_KEPT)
    }

    /// Creates an empty table for a maximum number of requests.
    pub fn with_room(kept: usize) -> Self {
        Self {
            kept,
            requests: HashMap::new(),
            order: VecDeque::new(),
            horizon: None,
            answer_bytes: 0,
        }
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Decides on a request whose first attempt was at `tried` or later. `settled` is the time
    /// since when this node has been its sole owner, or `None` if it is not.
    pub fn admit(
        &mut self,
        key: &RequestKey,
        tried: Instant,
        settled: Option<Instant>,
        now: Instant,
    ) -> DedupDecision {
        if let Some(taken) = self.requests.get(key) {
            return match &taken.state {
                State::Answered(answer) => DedupDecision::Replay(answer.clone()),
                State::Running | State::Unclear => DedupDecision::Unknown(UnknownReason::Repeated),
            };
        }
        let Some(settled) = settled else {
            return DedupDecision::Refuse(RefusalKind::Unavailable);
        };
        self.forget_old(now);
        if tried < settled || self.horizon.is_some_and(|horizon| tried <= horizon) {
            return DedupDecision::Unknown(UnknownReason::Forgotten);
        }
        self.insert(key, now);
        DedupDecision::Run
    }

    /// Records the outcome of a request that ran.
    pub fn complete(&mut self, key: &RequestKey, verdict: &Verdict) {
        let running = self
            .requests
            .get(key)
            .is_some_and(|taken| matches!(taken.state, State::Running));
        invariant!(
            "runs-at-most-once",
            running,
            "{key:?} completed without running"
        );
        match verdict {
            Err(Failure::Refused(_)) => self.forget(key),
            Ok(answer) if self.has_room(answer) => {
                self.answer_bytes += size(answer);
                self.conclude(key, State::Answered(answer.clone()));
            }
            Ok(_) | Err(Failure::Unknown(_)) => self.conclude(key, State::Unclear),
        }
    }

    fn insert(&mut self, key: &RequestKey, now: Instant) {
        let state = State::Running;
        let earlier = self.requests.insert(key.clone(), Taken { at: now, state });
        invariant!(
            "runs-at-most-once",
            earlier.is_none(),
            "{key:?} runs a second time"
        );
        self.order.push_back((now, key.clone()));
    }

    fn conclude(&mut self, key: &RequestKey, state: State) {
        if let Some(taken) = self.requests.get_mut(key) {
            taken.state = state;
        }
    }

    fn has_room(&self, answer: &Answer) -> bool {
        size(answer) <= ANSWER_LIMIT && self.answer_bytes + size(answer) <= ANSWERS_LIMIT
    }

    /// Evicts the oldest entries and advances the horizon past them.
    fn forget_old(&mut self, now: Instant) {
        while let Some((at, _)) = self.order.front() {
            let old = now.saturating_duration_since(*at) > DEDUP_WINDOW;
            if !old && self.order.len() < self.kept {
                return;
            }
            let Some((at, key)) = self.order.pop_front() else {
                return;
            };
            // A request that was refused and then admitted again is in the order twice.
            if self.requests.get(&key).is_some_and(|taken| taken.at == at) {
                self.forget(&key);
                self.horizon = self.horizon.max(Some(at));
            }
        }
    }

    fn forget(&mut self, key: &RequestKey) {
        let Some(taken) = self.requests.remove(key) else {
            return;
        };
        if let State::Answered(answer) = &taken.state {
            self.answer_bytes -= size(answer);
        }
    }
}

fn size(answer: &Answer) -> usize {
    let headers = answer.headers.iter();
    let headers = headers.map(|line| line.name.as_bytes().len() + line.value.as_bytes().len());
    answer.body.len() + headers.sum::<usize>()
}
