//! Encoding of calls and verdicts in the bodies of HTTP messages between nodes.
//!
//! A frame consists of the length of the head (four bytes, big-endian), the head as JSON, and the
//! body as raw bytes.

use std::time::{Duration, Instant};

use bytes::{BufMut, Bytes, BytesMut};
use filbertwheel_core::{
    Answer, Call, CallId, Criticality, CutOff, Deduplication, Failure, Header, KeyHash, Method,
    OrganisationId, Refusal, RefusalKind, RequestId, ServiceId, Text, UnknownReason, Verdict,
    message, value,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::answer::received_answer;

/// Size of the length field, in bytes.
const LENGTH_BYTES: usize = 4;

/// Load of a node's backend server, sent with each verdict.
#[value]
#[derive(Default)]
pub struct LoadReport {
    /// Expected queueing time of a new call.
    pub wait: Duration,
    /// Cut-off for calls of this kind, at this node or further downstream.
    pub cut_off: Option<CutOff>,
}

/// Head of a forwarded call.
#[message]
pub(crate) struct CallHead {
    id: CallId,
    organisation: Option<OrganisationId>,
    key: Option<KeyHash>,
    request: Option<RequestId>,
    service: ServiceId,
    criticality: Criticality,
    idempotent: bool,
    once: Option<Deduplication>,
    rank: u32,
    time_left_us: u64,
    retries: u32,
    depth: u8,
    method: Method,
    path: Text,
    headers: Vec<(Text, Text)>,
}

/// Head of a verdict.
#[message]
pub(crate) struct VerdictHead {
    outcome: OutcomeHead,
    wait_us: u64,
    cut: Option<CutHead>,
}

#[message]
struct CutHead {
    criticality: Criticality,
    rank: u32,
    left_us: u64,
}

#[message]
enum OutcomeHead {
    Answer {
        status: u16,
        headers: Vec<(Text, Text)>,
        retries: u32,
    },
    Refused {
        kind: RefusalKind,
        retry_after_ms: Option<u64>,
        retries: u32,
    },
    Unknown {
        doubt: UnknownReason,
    },
}

pub(crate) fn encode_call(call: &Call, now: Instant) -> Option<Bytes> {
    let head = CallHead {
        id: call.id,
        organisation: call.organisation.clone(),
        key: call.key.clone(),
        request: call.request.clone(),
        service: call.service.clone(),
        criticality: call.criticality,
        idempotent: call.idempotent,
        once: call.once,
        rank: call.rank,
        time_left_us: call.time_left(now).as_micros() as u64,
        retries: call.retries,
        depth: call.depth,
        method: call.method.clone(),
        path: call.path.clone(),
        headers: to_pairs(&call.headers),
    };
    join(&head, &call.body)
}

pub(crate) fn decode_call(frame: &Bytes, now: Instant) -> Option<Call> {
    let (head, body) = split::<CallHead>(frame)?;
    Some(Call {
        id: head.id,
        organisation: head.organisation,
        key: head.key,
        request: head.request,
        service: head.service,
        criticality: head.criticality,
        idempotent: head.idempotent,
        once: head.once,
        rank: head.rank,
        deadline: now.checked_add(Duration::from_micros(head.time_left_us))?,
        retries: head.retries,
        depth: head.depth,
        method: head.method,
        path: head.path,
        headers: to_headers(head.headers),
        body,
    })
}

pub(crate) fn encode_verdict(verdict: Verdict, load: &LoadReport, now: Instant) -> Option<Bytes> {
    let (outcome, body) = match verdict {
        Ok(Answer {
            status,
            headers,
            body,
            retries,
        }) => (
            OutcomeHead::Answer {
                status,
                headers: to_pairs(&headers),
                retries,
            },
            body,
        ),
        Err(Failure::Refused(Refusal {
            kind,
            retry_after,
            retries,
        })) => {
            let retry_after_ms = retry_after.map(|after| after.as_millis() as u64);
            (
                OutcomeHead::Refused {
                    kind,
                    retry_after_ms,
                    retries,
                },
                Bytes::new(),
            )
        }
        Err(Failure::Unknown(doubt)) => (OutcomeHead::Unknown { doubt }, Bytes::new()),
    };
    let head = VerdictHead {
        outcome,
        wait_us: load.wait.as_micros() as u64,
        cut: load.cut_off.map(|cut| CutHead {
            criticality: cut.criticality,
            rank: cut.rank,
            left_us: cut.expires.saturating_duration_since(now).as_micros() as u64,
        }),
    };
    join(&head, &body)
}

pub(crate) fn decode_verdict(frame: &Bytes, now: Instant) -> Option<(Verdict, LoadReport)> {
    let (head, body) = split::<VerdictHead>(frame)?;
    let verdict = match head.outcome {
        OutcomeHead::Answer {
            status,
            headers,
            retries,
        } => received_answer(Answer {
            status,
            headers: to_headers(headers),
            body,
            retries,
        }),
        OutcomeHead::Refused {
            kind,
            retry_after_ms,
            retries,
        } => {
            let retry_after = retry_after_ms.map(Duration::from_millis);
            Err(Failure::Refused(Refusal {
                kind,
                retry_after,
                retries,
            }))
        }
        OutcomeHead::Unknown { doubt } => Err(Failure::Unknown(doubt)),
    };
    let load = LoadReport {
        wait: Duration::from_micros(head.wait_us),
        cut_off: head.cut.and_then(|cut| cut.decode(now)),
    };
    Some((verdict, load))
}

impl CutHead {
    fn decode(self, now: Instant) -> Option<CutOff> {
        Some(CutOff {
            criticality: self.criticality,
            rank: self.rank,
            expires: now.checked_add(Duration::from_micros(self.left_us))?,
        })
    }
}

fn join<T: Serialize>(head: &T, body: &[u8]) -> Option<Bytes> {
    let head = serde_json::to_vec(head).ok()?;
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + head.len() + body.len());
    frame.put_u32(u32::try_from(head.len()).ok()?);
    frame.put_slice(&head);
    frame.put_slice(body);
    Some(frame.freeze())
}

fn split<T: DeserializeOwned>(frame: &Bytes) -> Option<(T, Bytes)> {
    let length = u32::from_be_bytes(frame.get(..LENGTH_BYTES)?.try_into().ok()?) as usize;
    let end = LENGTH_BYTES.checked_add(length)?;
    let head = serde_json::from_slice(frame.get(LENGTH_BYTES..end)?).ok()?;
    Some((head, frame.slice(end..)))
}

fn to_pairs(headers: &[Header]) -> Vec<(Text, Text)> {
    headers
        .iter()
        .map(|header| (header.name.clone(), header.value.clone()))
        .collect()
}

fn to_headers(pairs: Vec<(Text, Text)>) -> Vec<Header> {
    pairs
        .into_iter()
        .map(|(name, value)| Header { name, value })
        .collect()
}
