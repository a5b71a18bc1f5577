//! Calls that must run at most once, at the node that owns their request ids.

use std::sync::{MutexGuard, PoisonError};
use std::time::Instant;

use filbertwheel_core::{
    Answer, Call, CutOff, Deduplication, Refusal, RefusalKind, UnknownReason, Verdict,
};
use filbertwheel_policy::{DedupDecision, DedupTable, RequestKey};

use crate::engine::Engine;

impl Engine {
    /// Runs a call unless a call with its request id was admitted before, or may have been.
    pub(super) async fn run_owned(
        &self,
        call: &Call,
        once: Deduplication,
    ) -> (Verdict, Option<CutOff>) {
        let refuse = |kind| Refusal::new(kind).with_retries(call.retries).into();
        let Some(request_key) = RequestKey::of(call) else {
            return (Err(refuse(RefusalKind::Malformed)), None);
        };
        let retries = call.retries;
        match self.admit(&request_key, once) {
            DedupDecision::Run => {}
            DedupDecision::Refuse(kind) => return (Err(refuse(kind)), None),
            DedupDecision::Unknown(reason) => return (Err(reason.into()), None),
            DedupDecision::Replay(answer) => return (Ok(Answer { retries, ..answer }), None),
        }
        let admitted_request = AdmittedRequest {
            engine: self,
            request_key: Some(request_key),
        };
        let admitted = Deduplication {
            admitted: true,
            ..once
        };
        let call = Call {
            once: Some(admitted),
            ..call.clone()
        };
        let (verdict, cut_off) = self.dispatch(call).await;
        admitted_request.close(&verdict);
        (verdict, cut_off)
    }

    fn admit(&self, request_key: &RequestKey, once: Deduplication) -> DedupDecision {
        let now = self.clock.now();
        let Some(tried) = self.first_attempt(once, now) else {
            return DedupDecision::Unknown(UnknownReason::Forgotten);
        };
        let owner_since = self
            .snapshots
            .load()
            .ownership
            .sole_owner_since(request_key, now);
        self.dedup().admit(request_key, tried, owner_since, now)
    }

    /// Returns the time of a call's first attempt on the local monotonic clock.
    fn first_attempt(&self, once: Deduplication, now: Instant) -> Option<Instant> {
        let age = self.clock.wall().duration_since(once.tried);
        now.checked_sub(age.unwrap_or_default())
    }

    fn dedup(&self) -> MutexGuard<'_, DedupTable> {
        self.dedup.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An admitted request. If it is dropped early, its outcome is recorded as unknown.
struct AdmittedRequest<'a> {
    engine: &'a Engine,
    request_key: Option<RequestKey>,
}

impl AdmittedRequest<'_> {
    fn close(mut self, verdict: &Verdict) {
        self.end(verdict);
    }

    fn end(&mut self, verdict: &Verdict) {
        if let Some(request_key) = self.request_key.take() {
            self.engine.dedup().complete(&request_key, verdict);
        }
    }
}

impl Drop for AdmittedRequest<'_> {
    fn drop(&mut self) {
        self.end(&Err(UnknownReason::Lost.into()));
    }
}
