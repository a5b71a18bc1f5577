//! Calls and their outcomes.

use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use derive_more::{Display, Error};
use filbertwheel_macros::{copy_value, message, value};

use crate::{CallId, KeyHash, OrganisationId, RequestId, ServiceId, Text};

/// Outcome of a call.
pub type Verdict = Result<Answer, Failure>;

/// HTTP method of a call, as received from the caller.
pub type Method = Text;

/// Bytes of a token other than letters and digits.
const TOKEN_MARKS: &[u8] = b"!#$%&'*+-.^_`|~";

/// A header that is forwarded unchanged.
#[value]
pub struct Header {
    /// Name in lower case.
    pub name: Text,
    /// Value as received.
    pub value: Text,
}

impl Header {
    /// Returns whether the name is a token (RFC 9110, section 5.6.2) and the value holds no control
    /// byte other than a tab.
    pub fn is_valid(&self) -> bool {
        let is_token = |byte: &u8| byte.is_ascii_alphanumeric() || TOKEN_MARKS.contains(byte);
        let is_control = |byte: &u8| byte.is_ascii_control() && *byte != b'\t';
        let name = self.name.as_bytes();
        let value = self.value.as_bytes();
        !name.is_empty() && name.iter().all(is_token) && !value.iter().any(is_control)
    }
}

/// Importance of a request. Load shedding starts with the first variant.
#[copy_value]
#[derive(Default, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Criticality {
    /// Work that can be dropped, such as batch uploads.
    Sheddable,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work that is shed last: settlements, deposits, roster changes.
    Critical,
}

/// Threshold below which calls of an organisation are shed.
#[copy_value]
pub struct CutOff {
    /// Criticality at which calls are shed by rank. Less critical calls are all shed.
    pub criticality: Criticality,
    /// Largest rank that is still admitted at this criticality.
    pub rank: u32,
    /// When the threshold ceases to apply, on every node that received it.
    pub expires: Instant,
}

impl CutOff {
    /// Whether a call of this criticality and rank is shed.
    pub fn sheds(&self, criticality: Criticality, rank: u32) -> bool {
        criticality < self.criticality || criticality == self.criticality && rank > self.rank
    }

    /// Returns whichever of two thresholds sheds more.
    pub fn stricter(self, other: Self) -> Self {
        let order = |cut_off: &Self| (cut_off.criticality, std::cmp::Reverse(cut_off.rank));
        if order(&other) > order(&self) {
            other
        } else {
            self
        }
    }
}

/// A request as it is forwarded between nodes.
#[value]
pub struct Call {
    /// Id of the call. Nested calls have their own ids.
    pub id: CallId,
    /// The organisation that sent the request; `None` on an open route.
    pub organisation: Option<OrganisationId>,
    /// Hash of the caller's key. A nested call inherits it from its parent call.
    pub key: Option<KeyHash>,
    /// Id that the caller chose for the request; the same on a retry.
    pub request: Option<RequestId>,
    /// The service that handles the call.
    pub service: ServiceId,
    /// Importance for load shedding.
    pub criticality: Criticality,
    /// Whether it is safe to run the call more than once.
    pub idempotent: bool,
    /// Deduplication state, for calls that are not idempotent and have a request id.
    pub once: Option<Deduplication>,
    /// Order among calls of the same criticality, set by the node that received the request. Calls
    /// with higher ranks are shed first.
    pub rank: u32,
    /// When the backend server ends its work on the call.
    pub deadline: Instant,
    /// Retries left for this call and its nested calls.
    pub retries: u32,
    /// Nesting depth; 0 for a caller's request.
    pub depth: u8,
    /// HTTP method of the request.
    pub method: Method,
    /// Path and query after the service's name.
    pub path: Text,
    /// Headers to forward.
    pub headers: Vec<Header>,
    /// The complete body.
    pub body: Bytes,
}

/// State that makes a call run at most once.
#[message]
#[derive(Copy, Eq)]
pub struct Deduplication {
    /// Lower bound on the wall-clock time of the caller's first attempt.
    pub tried: SystemTime,
    /// Whether the node that owns the request id has admitted the call.
    pub admitted: bool,
}

impl Call {
    /// Returns the time left until the deadline.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

/// Returns whether a complete response can have this status code.
pub fn is_final_status(status: u16) -> bool {
    (200..=599).contains(&status)
}

/// A complete response of a backend server.
#[value]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Headers to forward.
    pub headers: Vec<Header>,
    /// The complete body.
    pub body: Bytes,
    /// Retries that the call was given and did not use.
    pub retries: u32,
}

impl Answer {
    /// Returns whether a complete response can have this status and these headers.
    pub fn is_valid(&self) -> bool {
        is_final_status(self.status) && self.headers.iter().all(Header::is_valid)
    }
}

/// Why a call has no response.
#[value]
#[derive(Display, Error, derive_more::From)]
pub enum Failure {
    /// The call did not run.
    #[display("not run: {_0}")]
    Refused(Refusal),
    /// The call may have run.
    #[display("outcome unknown: {_0}")]
    Unknown(UnknownReason),
}

/// A refusal, which guarantees that the request did not run on any backend server.
#[value]
#[derive(Display, Error)]
#[display("{kind}")]
pub struct Refusal {
    /// Reason for the refusal.
    pub kind: RefusalKind,
    /// Delay after which a retry may succeed; `None` if retrying doesn't help.
    pub retry_after: Option<Duration>,
    /// Retries that the call was given and did not use.
    pub retries: u32,
}

impl Refusal {
    /// Creates a refusal that a retry would meet again.
    pub fn new(kind: RefusalKind) -> Self {
        Self {
            kind,
            retry_after: None,
            retries: 0,
        }
    }

    /// Creates a refusal where a retry may succeed after a delay.
    pub fn retry_after(kind: RefusalKind, after: Duration) -> Self {
        Self {
            kind,
            retry_after: Some(after),
            retries: 0,
        }
    }

    /// Returns the refusal with the number of unused retries set.
    pub fn with_retries(self, retries: u32) -> Self {
        Self { retries, ..self }
    }
}

impl From<RefusalKind> for Refusal {
    fn from(kind: RefusalKind) -> Self {
        Self::new(kind)
    }
}

impl From<RefusalKind> for Failure {
    fn from(kind: RefusalKind) -> Self {
        Self::Refused(kind.into())
    }
}

/// Reasons for a refusal.
#[copy_value]
#[derive(Display, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalKind {
    /// The request has no key.
    #[display("no key came with the request")]
    NoKey,
    /// The key is unknown or was withdrawn.
    #[display("the key is not valid")]
    BadKey,
    /// The call token is unknown or its call has ended.
    #[display("the call token is not valid")]
    BadToken,
    /// The request can't be parsed.
    #[display("the request is malformed")]
    Malformed,
    /// Head or body exceeds the size limit.
    #[display("the request is too large")]
    TooLarge,
    /// No route matches the request.
    #[display("no such service or route")]
    NoRoute,
    /// The call chain exceeds the depth limit.
    #[display("the call chain is too deep")]
    TooDeep,
    /// The organisation has exceeded its rate limit.
    #[display("the organisation is over its rate")]
    OverRate,
    /// The service has no capacity for the request.
    #[display("the service is overloaded")]
    Overloaded,
    /// The backend server itself refused the request.
    #[display("the backend server turned the request away")]
    Shed,
    /// A downstream service that the request depends on has no capacity.
    #[display("a service further down is overloaded")]
    OverloadedDeep,
    /// The deadline passed before the request ran.
    #[display("the deadline passed before the request ran")]
    Expired,
    /// The backend server is draining.
    #[display("the backend server is draining")]
    Draining,
    /// No backend server of the service is reachable.
    #[display("no backend server can be reached")]
    Unavailable,
    /// The node's configuration may be out of date.
    #[display("the node has no current configuration")]
    Stale,
    /// Requests with the same fingerprint have crashed backend servers.
    #[display("requests like this one crash backend servers")]
    Quarantined,
    /// The backend server's failure domain is evacuated.
    #[display("the failure domain is evacuated")]
    Evacuated,
    /// The backend server is in none of the regions in which the request may be processed.
    #[display("the request may not be processed in this region")]
    OutsideHomes,
    /// The route and the organisation of the request have no home region in common.
    #[display("the request has no region in which it may be processed")]
    NoHome,
}

impl RefusalKind {
    /// Converts a refusal from a nested call to one for its parent call. Overload becomes
    /// `OverloadedDeep`, because retrying the parent on another backend server wouldn't help.
    pub fn from_downstream(self) -> Self {
        match self {
            Self::Overloaded => Self::OverloadedDeep,
            other => other,
        }
    }

    /// Whether the call may be retried on another backend server.
    pub fn is_retryable(self) -> bool {
        matches!(
            self,
            Self::Overloaded
                | Self::Shed
                | Self::Draining
                | Self::Unavailable
                | Self::Evacuated
                | Self::OutsideHomes
        )
    }
}

/// Why it is unknown whether a call ran.
#[copy_value]
#[derive(Display, Error, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownReason {
    /// The connection ended after the request was sent.
    #[display("the connection was lost after the request was sent")]
    Lost,
    /// The deadline passed after the request was sent.
    #[display("the deadline passed after the request was sent")]
    Late,
    /// The response was truncated or malformed.
    #[display("the answer was cut or malformed")]
    Broken,
    /// A request with this id may have run before.
    #[display("an earlier request with this id may have run")]
    Forgotten,
    /// A request with this id was already admitted.
    #[display("a request with this id is running or has run")]
    Repeated,
    /// The node that took the request ended while it ran.
    #[display("the node ended while the request ran")]
    Stopped,
}
