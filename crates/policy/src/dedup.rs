//! Memory of the requests that must run at most once.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use filbertwheel_core::{Answer, Failure, RefusalKind, UnknownReason, Verdict, invariant, value};

use crate::owner::RequestKey;

/// How long after its first try a request may be repeated, where the caller doesn't say when it
/// first tried.
pub const DEDUP_WINDOW: Duration = Duration::from_secs(120);
/// Largest error of a caller's clock.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);

/// Requests that are remembered.
const REQUESTS_KEPT: usize = 32_768;
/// Largest answer that's remembered, in bytes.
const ANSWER_LIMIT: usize = 1_024;
/// Bytes of all remembered answers together.
const ANSWERS_LIMIT: usize = 4 * 1_024 * 1_024;

/// What becomes of a request.
#[value]
pub enum DedupDecision {
    /// It runs now. Its end has to be told.
    Run,
    /// It hasn't run and doesn't now.
    Refuse(RefusalKind),
    /// It may have run.
    Unknown(UnknownReason),
    /// It has run, with this answer.
    Replay(Answer),
}

/// The requests that a node has let run as their owner.
#[derive(Debug)]
pub struct DedupTable {
    kept: usize,
    requests: HashMap<RequestKey, Taken>,
    order: VecDeque<(Instant, RequestKey)>,
    /// Requests that were first tried before this may have been dropped from memory.
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
    /// An empty memory.
    pub fn open() -> Self {
        Self::with_room(REQUESTS_KEPT)
    }

    /// An empty memory with room for a number of requests.
    pub fn with_room(kept: usize) -> Self {
        Self {
            kept,
            requests: HashMap::new(),
            order: VecDeque::new(),
            horizon: None,
            answer_bytes: 0,
        }
    }

    /// Requests that are remembered.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Takes a request that was first tried at `tried` or later. `settled` is when this node
    /// became its only owner, or `None` where it isn't.
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

    /// Takes note of how a request ended that was let run.
    pub fn complete(&mut self, key: &RequestKey, verdict: &Verdict) {
        let running = self
            .requests
            .get(key)
            .is_some_and(|taken| matches!(taken.state, State::Running));
        invariant!("runs-at-most-once", running, "{key:?} ended but never ran");
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
        invariant!("runs-at-most-once", earlier.is_none(), "{key:?} runs again");
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

    /// Drops the oldest requests, and moves the horizon past what's dropped.
    fn forget_old(&mut self, now: Instant) {
        while let Some((at, _)) = self.order.front() {
            let old = now.saturating_duration_since(*at) > DEDUP_WINDOW;
            if !old && self.order.len() < self.kept {
                return;
            }
            let Some((at, key)) = self.order.pop_front() else {
                return;
            };
            // A request that was refused and taken again stands in the order twice.
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
