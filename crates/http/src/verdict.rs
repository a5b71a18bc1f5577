//! Encoding of verdicts as HTTP responses, shared by the endpoints for callers and for backend
//! servers.

use filbertwheel_core::{Answer, Failure, Refusal, RefusalKind, UnknownReason, Verdict};
use serde::Serialize;

use crate::{MessageError, Response, names};

/// JSON body of the response to a refused request or one with an unknown outcome.
#[derive(Debug, Serialize)]
struct FailureBody<'a> {
    outcome: &'a str,
    reason: &'a str,
    detail: String,
}

/// Encodes a verdict as an HTTP response.
pub fn verdict_response(verdict: Verdict) -> Response {
    match verdict {
        Ok(answer) => complete(answer),
        Err(Failure::Refused(refusal)) => refused(&refusal),
        Err(Failure::Unknown(reason)) => unknown(reason),
    }
}

/// Returns the kind of refusal for a message that is not a complete request.
pub fn refusal_for(error: MessageError) -> RefusalKind {
    match error {
        MessageError::Malformed
        | MessageError::Ambiguous
        | MessageError::Truncated
        | MessageError::TimedOut => RefusalKind::Malformed,
        MessageError::HeadTooLarge | MessageError::BodyTooLarge => RefusalKind::TooLarge,
        MessageError::NoMemory => RefusalKind::Overloaded,
    }
}

fn complete(answer: Answer) -> Response {
    Response {
        status: answer.status,
        headers: answer.headers,
        body: answer.body,
    }
    .with(names::OUTCOME, "whole")
}

fn refused(refusal: &Refusal) -> Response {
    let response = failure_response(
        refusal_status(refusal.kind),
        "not-run",
        refusal.kind,
        refusal.kind.to_string(),
    );
    match refusal.retry_after {
        Some(after) => response.with(names::RETRY_AFTER, after.as_secs().max(1).to_string()),
        None => response,
    }
}

fn unknown(reason: UnknownReason) -> Response {
    let status = match reason {
        UnknownReason::Late | UnknownReason::Stopped => 504,
        UnknownReason::Repeated | UnknownReason::Forgotten => 409,
        UnknownReason::Lost | UnknownReason::Broken => 502,
    };
    failure_response(status, "unknown", reason, reason.to_string())
}

fn failure_response(
    status: u16,
    outcome: &str,
    reason: impl Serialize,
    detail: String,
) -> Response {
    let reason = serde_json::to_value(reason).unwrap_or_default();
    let reason = reason.as_str().unwrap_or_default();
    let body = serde_json::to_vec(&FailureBody {
        outcome,
        reason,
        detail,
    })
    .unwrap_or_default();
    Response::new(status, body)
        .with("content-type", "application/json")
        .with(names::OUTCOME, outcome)
        .with(names::REASON, reason)
}

fn refusal_status(kind: RefusalKind) -> u16 {
    match kind {
        RefusalKind::NoKey | RefusalKind::BadKey | RefusalKind::BadToken => 401,
        RefusalKind::Malformed => 400,
        RefusalKind::TooLarge => 413,
        RefusalKind::NoRoute => 404,
        RefusalKind::TooDeep => 508,
        RefusalKind::OverRate => 429,
        RefusalKind::Expired => 504,
        RefusalKind::Quarantined => 422,
        RefusalKind::Overloaded
        | RefusalKind::Shed
        | RefusalKind::OverloadedDeep
        | RefusalKind::Draining
        | RefusalKind::Unavailable
        | RefusalKind::Evacuated
        | RefusalKind::OutsideHomes
        | RefusalKind::NoHome
        | RefusalKind::Stale => 503,
    }
}
