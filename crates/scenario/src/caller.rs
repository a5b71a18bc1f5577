//! Simulated callers, which send requests and count the outcomes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use filbertwheel_core::{Clock, Text};
use filbertwheel_http::{Pool, Request, Response, SendError, names};
use smol::LocalExecutor;

use crate::script::{Bound, Outcome};

/// Time limit of a single attempt.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum length of the excerpt from an unexpected response body.
const MAX_EXCERPT_CHARS: usize = 120;

/// A caller that sends requests of one kind, with all names of the scenario resolved.
#[derive(Debug)]
pub(crate) struct Caller {
    pub pools: Vec<Rc<Pool>>,
    pub path: String,
    pub key: Option<String>,
    pub body: Option<String>,
    pub request: Option<Text>,
    /// When a request with this id was first sent.
    pub first_sent: SystemTime,
    pub retries: u32,
    pub clock: Arc<dyn Clock>,
}

/// The outcome of one call and the reason for it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct CallResult {
    outcome: Outcome,
    reason: String,
}

/// Number of calls by result.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tally {
    counts: BTreeMap<CallResult, u32>,
}

impl Caller {
    /// Sends `count` calls, at `rate` per second or, without a rate, one after another.
    pub async fn send(
        self: Rc<Self>,
        count: u32,
        rate: Option<u32>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Tally {
        let Some(rate) = rate else {
            return self.send_sequentially(count).await;
        };
        let tally = Rc::new(RefCell::new(Tally::default()));
        let start = self.clock.now();
        let mut calls = Vec::with_capacity(count as usize);
        for index in 0..count {
            let due = start + Duration::from_secs(1) * index / rate.max(1);
            let wait = due.saturating_duration_since(self.clock.now());
            self.clock.sleep(wait).await;
            let (caller, tally) = (Rc::clone(&self), Rc::clone(&tally));
            calls.push(executor.spawn(async move {
                let result = caller.call(index).await;
                tally.borrow_mut().add(result);
            }));
        }
        for call in calls {
            call.await;
        }
        tally.take()
    }

    async fn send_sequentially(&self, count: u32) -> Tally {
        let mut tally = Tally::default();
        for index in 0..count {
            tally.add(self.call(index).await);
        }
        tally
    }

    /// Sends a call and retries it up to `retries` times if it may be retried.
    async fn call(&self, index: u32) -> CallResult {
        let mut result = self.send_once(index).await;
        for retry in 1..=self.retries {
            let retryable = [Outcome::NotRun, Outcome::Unsent, Outcome::Error];
            if !retryable.contains(&result.outcome) {
                break;
            }
            result = self.send_once(index + retry).await;
        }
        result
    }

    async fn send_once(&self, index: u32) -> CallResult {
        let mark = format!("mark={:016x}", rand::random::<u64>());
        let Some(pool) = self.pools.get(index as usize % self.pools.len().max(1)) else {
            return CallResult::of(Outcome::Unsent, "");
        };
        let deadline = self.clock.now() + CALL_TIMEOUT;
        match pool.exchange(self.request(&mark), deadline).await {
            Ok(response) => classify(&response, &mark),
            Err(SendError::NotSent | SendError::Unencodable) => CallResult::of(Outcome::Unsent, ""),
            Err(error) => CallResult::of(Outcome::Cut, error.to_string()),
        }
    }

    fn request(&self, mark: &str) -> Request {
        let path = format!("{}?{mark}", self.path);
        let mut request = match &self.body {
            Some(body) => Request::post(&path, body.clone()),
            None => Request::get(&path),
        };
        if let Some(key) = &self.key {
            request = request.with(names::KEY, key.as_str());
        }
        if let Some(id) = &self.request {
            let since = self.first_sent.duration_since(SystemTime::UNIX_EPOCH);
            let first_sent = since.unwrap_or_default().as_millis().to_string();
            request = request
                .with(names::REQUEST, id.clone())
                .with(names::FIRST_ATTEMPT, first_sent);
        }
        request
    }
}

/// Derives the result of a call from its response. A complete response without the request's
/// mark belongs to another request.
fn classify(response: &Response, mark: &str) -> CallResult {
    let header = |name| response.header(name).and_then(Text::as_str);
    let reason = header(names::REASON).unwrap_or_default();
    match header(names::OUTCOME) {
        Some("not-run") => CallResult::of(Outcome::NotRun, reason),
        Some("unknown") => CallResult::of(Outcome::Unknown, reason),
        Some("whole") if response.status == 200 => {
            let body = String::from_utf8_lossy(&response.body);
            if body.contains(mark) {
                CallResult::of(Outcome::Whole, reason)
            } else {
                let excerpt: String = body.chars().take(MAX_EXCERPT_CHARS).collect();
                CallResult::of(Outcome::Crossed, excerpt)
            }
        }
        _ => CallResult::of(Outcome::Error, response.status.to_string()),
    }
}

impl CallResult {
    fn of(outcome: Outcome, reason: impl Into<String>) -> Self {
        let reason = reason.into();
        Self { outcome, reason }
    }
}

impl Tally {
    /// Returns the number of calls with an outcome, for one reason or for all.
    pub fn count(&self, outcome: Outcome, reason: Option<&str>) -> u32 {
        let counted = self.counts.iter().filter(|(result, _)| {
            result.outcome == outcome && reason.is_none_or(|reason| reason == result.reason)
        });
        counted.map(|(_, count)| count).sum()
    }

    /// Returns the first bound that these calls violate.
    pub fn first_violated<'a>(&self, bounds: &'a [Bound]) -> Option<&'a Bound> {
        let all = self.counts.values().sum();
        bounds.iter().find(|bound| {
            let count = self.count(bound.outcome, bound.reason.as_deref());
            !bound.limit.admits(count, all)
        })
    }

    fn add(&mut self, result: CallResult) {
        *self.counts.entry(result).or_default() += 1;
    }
}

impl Display for Tally {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (index, (CallResult { outcome, reason }, count)) in self.counts.iter().enumerate() {
            let gap = if index > 0 { ", " } else { "" };
            write!(f, "{gap}{count} {outcome:?}")?;
            if !reason.is_empty() {
                write!(f, " ({reason})")?;
            }
        }
        Ok(())
    }
}
