//! Frames of a link between two nodes, and their encoding.
//!
//! A frame on the wire consists of its length (four bytes, big-endian), the message in postcard
//! encoding and, optionally, a notice about a backend server in the same encoding. Nodes of earlier
//! versions ignore what follows the message.

use std::time::{Duration, Instant};

use bytes::{Buf as _, BufMut as _, Bytes, BytesMut};
use derive_more::{Display, Error};
use filbertwheel_core::{
    Answer, Attempt, Failure, Fence, Header, InstanceNotice, Member, Method, OrganisationId,
    Priority, Refusal, RefusalKind, RequestId, RouteId, RulesStamp, ServiceId, StorePosition, Text,
    UnknownReason, Verdict, message, value,
};
use filbertwheel_policy::{
    BackendLoad, CrashReport, EvacuationReport, KnownDepartures, PortionGrant, PortionRequest,
    SumMessage,
};

use crate::answer::received_answer;

/// Size of the length field, in bytes.
const LENGTH_BYTES: usize = 4;
/// Maximum size of a frame: the largest body that operators can allow, plus its head.
pub(crate) const MAX_FRAME_BYTES: usize = 72 * 1024 * 1024;

/// Maximum size of the first frame, of a node that has not proved that it belongs to the fleet.
pub(crate) const MAX_HELLO_BYTES: usize = 16 * 1024;

/// Size in bytes from which room for a body is made at once.
const RESERVED_BODY_BYTES: usize = 64 * 1024;
/// Room for the parts of a frame other than the body, in bytes. A longer head makes the buffer grow.
const HEAD_ROOM: usize = 1_024;
/// Index of `Frame::Call` in the encoding.
const CALL_INDEX: u32 = 2;

/// Matches a reply to the call or claim on the same link.
pub(crate) type CorrelationId = u64;

/// Message on a link. The order of the variants is part of the encoding.
#[message]
pub(crate) enum Frame {
    /// First frame of the node that opened the link, signed with the fleet's secret.
    Hello { member: Member, signature: Text },
    /// Reply to `Hello`, with the stamp of the rules in force.
    Welcome { member: Member, rules: RulesStamp },
    /// A forwarded call.
    Call(CorrelationId, CallHead, Bytes),
    /// Cancels a call whose verdict is no longer needed.
    Cancel(CorrelationId),
    /// Verdict of a call, with the load of the backend server that ran it.
    Verdict(CorrelationId, VerdictHead, BackendLoad, Bytes),
    /// Periodic report of a node.
    Report(Box<NodeReport>),
    /// Reply to `Report`; also confirms that the link works.
    ReportAck {
        load: BackendLoad,
        rules: RulesStamp,
    },
    /// Announces new rules in force.
    RulesAnnounced(RulesStamp),
    /// Requests the rules in force.
    RulesRequest,
    /// The rules in force.
    Rules(RulesDocument),
    /// Requests portions from the lease holder.
    PortionRequest(PortionRequest),
    /// The lease holder's reply to `PortionRequest`.
    PortionGrant(Fence, PortionGrant),
    /// Claims tokens of an organisation from the lease holder.
    Claim(CorrelationId, OrganisationId, u32),
    /// Reply to `Claim`: number of tokens granted, and the time in milliseconds after which more
    /// may be available.
    Tokens(CorrelationId, u32, u32),
    /// Requests that were in flight when a backend server crashed.
    CrashReports(Vec<CrashReport>),
    /// Sums over a part of the fleet or all of it.
    Sums(Box<SumMessage>),
    /// Offers the lease on the rate limits, which the sender no longer acts on, to be taken over. It
    /// would have stayed in force for the given time.
    LeaseOffer(Fence, Duration),
    /// What the sender knows of evacuated failure domains.
    Evacuations(EvacuationReport),
    /// The sender is stopping: after `noticed` its callers know it, after `closes` it closes their
    /// connections. Its calls on this link end before that, or are refused.
    Stopping { noticed: Duration, closes: Duration },
    /// Requests what the receiver knows of departures at the VM of the sender.
    DeparturesRequest,
    /// Reply to `DeparturesRequest`.
    Departures(KnownDepartures),
}

/// The rules in force at a node.
#[message]
#[derive(Default)]
pub struct RulesDocument {
    /// Orders them among all rules.
    pub stamp: RulesStamp,
    /// Where the rules were read from the store.
    pub position: StorePosition,
    /// The text as written by operators.
    pub text: Bytes,
}

/// Report that a node sends to all other nodes periodically.
#[message]
pub struct NodeReport {
    /// The node and its backend server.
    pub member: Member,
    /// Load of the backend server.
    pub load: BackendLoad,
    /// Stamp of the rules in force at the node.
    pub rules: RulesStamp,
    /// Fencing token of the lease on the rate limits, if the node holds that lease.
    pub holder_fence: Option<Fence>,
}

/// Head of a call.
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

/// Head of a verdict.
#[message]
pub(crate) enum VerdictHead {
    /// A complete response: status and headers.
    Answer(u16, Vec<(Text, Text)>),
    /// The call has not run. A retry may succeed after the given time in microseconds.
    Refused(RefusalKind, Option<u64>),
    /// The outcome is unknown: the call may have run.
    Unknown(UnknownReason),
}

/// Error while decoding a frame.
#[value]
#[derive(Display, Error)]
pub enum FrameError {
    /// The length exceeds the maximum size of a frame.
    #[display("frame of {length} bytes exceeds the size limit")]
    TooLong {
        /// Length of the frame in bytes.
        length: usize,
    },
    /// The message is not valid postcard.
    #[display("frame cannot be decoded")]
    Malformed,
}

impl Frame {
    /// Encodes the frame with a notice and appends it to a buffer. A frame that can't be encoded is
    /// left out.
    pub fn append(&self, notice: Option<&InstanceNotice>, buffer: &mut BytesMut) {
        let start = buffer.len();
        if let Self::Call(_, _, body) | Self::Verdict(_, _, _, body) = self
            && body.len() > RESERVED_BODY_BYTES
        {
            // A buffer that doubles as it grows would take up to three times the body.
            buffer.reserve(body.len() + HEAD_ROOM);
        }
        buffer.put_u32(0);
        if let Err(error) = self.append_message(notice, buffer) {
            tracing::error!("peer: Cannot encode a frame: {error}.");
            buffer.truncate(start);
            return;
        }
        let length = (buffer.len() - start - LENGTH_BYTES) as u32;
        buffer[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    }

    fn append_message(
        &self,
        notice: Option<&InstanceNotice>,
        buffer: &mut BytesMut,
    ) -> postcard::Result<()> {
        postcard::to_extend(self, BufferWriter(buffer))?;
        if let Some(notice) = notice {
            postcard::to_extend(notice, BufferWriter(buffer))?;
        }
        Ok(())
    }

    /// Returns the size of the frame at the start of a buffer, its length field included, as far as
    /// it is known.
    pub fn announced_size(buffer: &BytesMut) -> Option<usize> {
        let length = buffer.get(..LENGTH_BYTES)?;
        let length = length
            .iter()
            .fold(0, |sum, byte| sum << 8 | usize::from(*byte));
        Some(LENGTH_BYTES + length)
    }

    /// Returns the id of the call whose frame is at the start of a buffer, if it is a call and as much
    /// has arrived.
    pub fn announced_call(buffer: &BytesMut) -> Option<CorrelationId> {
        let message = buffer.get(LENGTH_BYTES..)?;
        let ((index, id), _) = postcard::take_from_bytes::<(u32, CorrelationId)>(message).ok()?;
        (index == CALL_INDEX).then_some(id)
    }

    /// Decodes the next frame, of up to `limit` bytes, with its notice and removes it from the buffer.
    /// Returns `None` if it is incomplete.
    pub fn decode(
        buffer: &mut BytesMut,
        limit: usize,
    ) -> Result<Option<(Self, Option<InstanceNotice>)>, FrameError> {
        let Some(size) = Self::announced_size(buffer) else {
            return Ok(None);
        };
        let length = size - LENGTH_BYTES;
        if length > limit {
            return Err(FrameError::TooLong { length });
        }
        if buffer.len() < size {
            return Ok(None);
        }
        buffer.advance(LENGTH_BYTES);
        let bytes = buffer.split_to(length);
        let decoded = postcard::take_from_bytes(&bytes);
        let (frame, rest) = decoded.map_err(|_| FrameError::Malformed)?;
        if rest.is_empty() {
            return Ok(Some((frame, None)));
        }
        let notice = postcard::from_bytes(rest).map_err(|_| FrameError::Malformed)?;
        Ok(Some((frame, Some(notice))))
    }
}

/// Adapter that lets postcard append to a borrowed buffer.
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

    /// Converts the head and a body to an attempt. Returns `None` if the deadline is not
    /// representable as an `Instant` on this VM.
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
    /// Splits a verdict into head and body.
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
            Self::Answer(status, headers) => received_answer(Answer {
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
