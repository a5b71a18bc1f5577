//! The messages on a link between two nodes, and their form on the wire.
//!
//! A frame is its length in four bytes, then the message in postcard's encoding.

use std::time::{Duration, Instant};

use bytes::{Buf as _, BufMut as _, Bytes, BytesMut};
use derive_more::{Display, Error};
use filbertwheel_core::{
    Answer, Attempt, Failure, Fence, Header, Member, Method, OrganisationId, Priority, Refusal,
    RefusalKind, RequestId, RouteId, ServiceId, Text, UnknownReason, Verdict, Version, message,
    value,
};
use filbertwheel_policy::{
    BackendLoad, CrashReport, PortionGrant, PortionRequest, RouteDemand, RouteProfile,
};

/// Bytes of the length before a frame.
const LENGTH_BYTES: usize = 4;
/// Longest frame in bytes: the largest body that operators allow, and its head.
const MAX_FRAME_BYTES: usize = 72 * 1024 * 1024;

/// Tells the calls on one link apart.
pub(crate) type CorrelationId = u64;

/// A message on a link.
#[message]
pub(crate) enum Frame {
    /// The first message of the node that opened the link.
    Hello { member: Member, signature: Text },
    /// The answer to it.
    Welcome { member: Member },
    /// A call.
    Call(CorrelationId, CallHead, Bytes),
    /// A call whose answer nobody wants any more.
    Cancel(CorrelationId),
    /// What became of a call.
    Verdict(CorrelationId, VerdictHead, BackendLoad, Bytes),
    /// What a node believes and does.
    Report(Box<NodeReport>),
    /// The answer to it, which shows that the link works.
    ReportAck { load: BackendLoad, version: Version },
    /// Tells of rules that have come into force.
    RulesAnnounced(Version),
    /// Asks for the rules in force.
    RulesRequest,
    /// The rules in force, as operators wrote them.
    Rules(Version, Bytes),
    /// Asks the holder for portions.
    PortionRequest(PortionRequest),
    /// The holder's answer.
    PortionGrant(Fence, PortionGrant),
    /// Asks the holder for tokens of an organisation.
    Claim(CorrelationId, OrganisationId, u32),
    /// The holder's answer: how many, and after how many milliseconds there may be more.
    Tokens(CorrelationId, u32, u32),
    /// Requests that were in flight when a backend server died.
    CrashReports(Vec<CrashReport>),
}

/// What a node tells all others regularly.
#[message]
pub struct NodeReport {
    /// The node and its backend server.
    pub member: Member,
    /// Load of its backend server.
    pub load: BackendLoad,
    /// Version of the rules in force there.
    pub version: Version,
    /// Requests that callers asked for at the node.
    pub demand: Vec<RouteDemand>,
    /// What the node has learnt of the routes that run there, where it's told this time.
    pub profiles: Option<Vec<RouteProfile>>,
    /// Fence of the lease on the organisations' rates, where the node holds it.
    pub holder_fence: Option<Fence>,
}

/// The head of a call.
#[message]
pub(crate) struct CallHead {
    request: RequestId,
    route: RouteId,
    service: ServiceId,
    organisation: Option<OrganisationId>,
    caller: ServiceId,
    priority: Priority,
    idempotent: bool,
    nested: bool,
    time_left_us: u64,
    objective_us: u64,
    method: Method,
    path: Text,
    headers: Vec<(Text, Text)>,
}

/// The head of a verdict.
#[message]
pub(crate) enum VerdictHead {
    /// A whole answer.
    Answer(u16, Vec<(Text, Text)>),
    /// It hasn't run; a repeat may succeed after some microseconds.
    Refused(RefusalKind, Option<u64>),
    /// It may have run.
    Unknown(UnknownReason),
}

/// Why bytes aren't a frame.
#[value]
#[derive(Display, Error)]
pub enum FrameError {
    /// The frame is longer than any that's sent.
    #[display("a frame of {length} bytes is too long")]
    TooLong {
        /// Its length.
        length: usize,
    },
    /// The bytes don't decode.
    #[display("a frame does not decode")]
    Malformed,
}

impl Frame {
    /// Appends the frame to a buffer.
    pub fn append(&self, buffer: &mut BytesMut) {
        let start = buffer.len();
        buffer.put_u32(0);
        match postcard::to_extend(self, BufferWriter(buffer)) {
            Ok(BufferWriter(buffer)) => {
                let length = (buffer.len() - start - LENGTH_BYTES) as u32;
                buffer[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
            }
            Err(error) => tracing::error!("peer: A frame can't be encoded: {error}."),
        }
    }

    /// Takes the next frame out of a buffer, if it's whole.
    pub fn decode(buffer: &mut BytesMut) -> Result<Option<Self>, FrameError> {
        let Some(length) = buffer.get(..LENGTH_BYTES) else {
            return Ok(None);
        };
        let length = length
            .iter()
            .fold(0, |sum, byte| sum << 8 | usize::from(*byte));
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong { length });
        }
        if buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        buffer.advance(LENGTH_BYTES);
        let bytes = buffer.split_to(length);
        let decoded = postcard::from_bytes(&bytes);
        decoded.map(Some).map_err(|_| FrameError::Malformed)
    }
}

/// Lets the codec write to a buffer that others own.
struct BufferWriter<'a>(&'a mut BytesMut);

impl Extend<u8> for BufferWriter<'_> {
    fn extend<T: IntoIterator<Item = u8>>(&mut self, iter: T) {
        self.0.extend(iter);
    }
}

impl CallHead {
    pub fn from_attempt(attempt: &Attempt, now: Instant) -> Self {
        Self {
            request: attempt.request.clone(),
            route: attempt.route.clone(),
            service: attempt.service.clone(),
            organisation: attempt.organisation.clone(),
            caller: attempt.caller.clone(),
            priority: attempt.priority,
            idempotent: attempt.idempotent,
            nested: attempt.nested,
            time_left_us: attempt.time_left(now).as_micros() as u64,
            objective_us: attempt.objective.as_micros() as u64,
            method: attempt.method.clone(),
            path: attempt.path.clone(),
            headers: to_pairs(&attempt.headers),
        }
    }

    /// The attempt, unless its deadline can't be expressed here.
    pub fn into_attempt(self, body: Bytes, now: Instant) -> Option<Attempt> {
        Some(Attempt {
            request: self.request,
            route: self.route,
            service: self.service,
            organisation: self.organisation,
            caller: self.caller,
            priority: self.priority,
            idempotent: self.idempotent,
            nested: self.nested,
            deadline: now.checked_add(Duration::from_micros(self.time_left_us))?,
            objective: Duration::from_micros(self.objective_us),
            method: self.method,
            path: self.path,
            headers: to_headers(self.headers),
            body,
        })
    }
}

impl VerdictHead {
    /// Head and body of a verdict.
    pub fn from_verdict(verdict: Verdict) -> (Self, Bytes) {
        match verdict {
            Ok(answer) => (
                Self::Answer(answer.status, to_pairs(&answer.headers)),
                answer.body,
            ),
            Err(Failure::Refused(refusal)) => {
                let after = refusal.retry_after.map(|after| after.as_micros() as u64);
                (Self::Refused(refusal.kind, after), Bytes::new())
            }
            Err(Failure::Unknown(reason)) => (Self::Unknown(reason), Bytes::new()),
        }
    }

    pub fn into_verdict(self, body: Bytes) -> Verdict {
        match self {
            Self::Answer(status, headers) => Ok(Answer {
                status,
                headers: to_headers(headers),
                body,
                retries: 0,
            }),
            Self::Refused(kind, after) => Err(Failure::Refused(Refusal {
                kind,
                retry_after: after.map(Duration::from_micros),
                retries: 0,
            })),
            Self::Unknown(reason) => Err(Failure::Unknown(reason)),
        }
    }
}

fn to_pairs(headers: &[Header]) -> Vec<(Text, Text)> {
    let headers = headers.iter();
    headers
        .map(|header| (header.name.clone(), header.value.clone()))
        .collect()
}

fn to_headers(pairs: Vec<(Text, Text)>) -> Vec<Header> {
    let pairs = pairs.into_iter();
    pairs.map(|(name, value)| Header { name, value }).collect()
}
