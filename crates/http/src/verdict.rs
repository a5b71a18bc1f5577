//! Verdicts as HTTP responses, the same towards callers and towards backend servers.

use filbertwheel_core::{Answer, Failure, Refusal, RefusalKind, UnknownReason, Verdict};
use serde::Serialize;

use crate::{MessageError, Response, names};

/// The body of a response without an answer.
#[derive(Debug, Serialize)]
struct Problem<'a> {
    outcome: &'a str,
    reason: &'a str,
    detail: String,
}

/// Encodes a verdict.
pub fn verdict_response(verdict: Verdict) -> Response {
    match verdict {
        Ok(answer) => whole(answer),
        Err(Failure::Refused(refusal)) => refused(&refusal),
        Err(Failure::Unknown(doubt)) => unknown(doubt),
    }
}

/// The kind of refusal for a message that isn't a whole request.
pub fn refusal_for(fault: MessageError) -> RefusalKind {
    match fault {
        MessageError::Malformed
        | MessageError::Ambiguous
        | MessageError::Truncated
        | MessageError::TimedOut => RefusalKind::Malformed,
        MessageError::HeadTooLarge | MessageError::BodyTooLarge => RefusalKind::TooLarge,
    }
}

fn whole(answer: Answer) -> Response {
    Response {
        status: answer.status,
        headers: answer.headers,
        body: answer.body,
    }
    .with(names::OUTCOME, "whole")
}

fn refused(refusal: &Refusal) -> Response {
    let response = problem(
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

fn unknown(doubt: UnknownReason) -> Response {
    let status = match doubt {
        UnknownReason::Late => 504,
        UnknownReason::Repeated | UnknownReason::Forgotten => 409,
        UnknownReason::Lost | UnknownReason::Broken => 502,
    };
    problem(status, "unknown", doubt, doubt.to_string())
}

fn problem(status: u16, outcome: &str, reason: impl Serialize, detail: String) -> Response {
    let reason = serde_json::to_value(reason).unwrap_or_default();
    let reason = reason.as_str().unwrap_or_default();
    let body = serde_json::to_vec(&Problem {
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
        | RefusalKind::Stale => 503,
    }
}
