//! Calls, and what becomes of them.

use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use derive_more::{Display, Error};
use filbertwheel_macros::{copy_value, message, value};

use crate::{CallId, KeyHash, OrganisationId, RequestId, ServiceId, Text};

/// Outcome of a call.
pub type Verdict = Result<Answer, Failure>;

/// The method of a call, as the caller wrote it.
pub type Method = Text;

/// One header line that's passed through untouched.
#[value]
pub struct Header {
    /// Name in lower case.
    pub name: Text,
    /// Value as it arrived.
    pub value: Text,
}

/// How much a request matters. Later variants are shed last.
#[copy_value]
#[derive(Default, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Criticality {
    /// Work that can be left out, such as batch uploads.
    Sheddable,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work that's refused last: settlements, deposits, roster changes.
    Critical,
}

/// Says which of an organisation's calls are shed somewhere.
#[copy_value]
pub struct CutOff {
    /// Everything less critical is shed as well.
    pub criticality: Criticality,
    /// Largest rank that's kept at this criticality.
    pub rank: u32,
    /// When it no longer counts, wherever it was passed on to.
    pub expires: Instant,
}

impl CutOff {
    /// Whether it sheds a call.
    pub fn sheds(&self, criticality: Criticality, rank: u32) -> bool {
        criticality < self.criticality || criticality == self.criticality && rank > self.rank
    }

    /// The one of two that sheds more.
    pub fn stricter(self, other: Self) -> Self {
        let order = |cut_off: &Self| (cut_off.criticality, std::cmp::Reverse(cut_off.rank));
        if order(&other) > order(&self) {
            other
        } else {
            self
        }
    }
}

/// A request on its way through the fleet.
#[value]
pub struct Call {
    /// Identifies the call; nested calls have ids of their own.
    pub id: CallId,
    /// The organisation that it runs for, or `None` on a route open to all.
    pub organisation: Option<OrganisationId>,
    /// Hash of the key that came with it or with the call that it's part of.
    pub key: Option<KeyHash>,
    /// The caller's id for the request, the same on a repeat.
    pub request: Option<RequestId>,
    /// The service that's wanted.
    pub service: ServiceId,
    /// How much it matters.
    pub criticality: Criticality,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// What keeps it from running twice, where it's not idempotent and its caller gave it an id.
    pub once: Option<Deduplication>,
    /// Position among calls of the same criticality, fixed at the entry. Lower ranks are kept.
    pub rank: u32,
    /// When the answer is no longer wanted.
    pub deadline: Instant,
    /// Retries that may still be spent here and below.
    pub retries: u32,
    /// Hops from the entry.
    pub depth: u8,
    /// Method of the request.
    pub method: Method,
    /// Path and query behind the service's name.
    pub path: Text,
    /// Headers that are passed through.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
}

/// What keeps a call from running twice.
#[message]
#[derive(Copy, Eq)]
pub struct Deduplication {
    /// Calendar time at which its caller may first have tried it, at the earliest.
    pub tried: SystemTime,
    /// Whether the node that answers for its id has let it run.
    pub admitted: bool,
}

impl Call {
    /// Time left until the deadline.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

/// A whole answer of a backend server.
#[value]
pub struct Answer {
    /// The backend server's status code.
    pub status: u16,
    /// Headers that are passed through.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
    /// Retries left over from what the call was given.
    pub retries: u32,
}

/// Why a call has no answer.
#[value]
#[derive(Display, Error, derive_more::From)]
pub enum Failure {
    /// It hasn't run.
    #[display("not run: {_0}")]
    Refused(Refusal),
    /// It may have run.
    #[display("outcome unknown: {_0}")]
    Unknown(UnknownReason),
}

/// A refusal. The request hasn't run anywhere.
#[value]
#[derive(Display, Error)]
#[display("{kind}")]
pub struct Refusal {
    /// Why it was refused.
    pub kind: RefusalKind,
    /// When a repeat may succeed, if ever.
    pub retry_after: Option<Duration>,
    /// Retries left over from what the call was given.
    pub retries: u32,
}

impl Refusal {
    /// A refusal that no later repeat will change.
    pub fn new(kind: RefusalKind) -> Self {
        Self {
            kind,
            retry_after: None,
            retries: 0,
        }
    }

    /// A refusal after which a repeat may succeed.
    pub fn retry_after(kind: RefusalKind, after: Duration) -> Self {
        Self {
            kind,
            retry_after: Some(after),
            retries: 0,
        }
    }

    /// The same refusal with the retries that are left over.
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

/// The kinds of refusal.
#[copy_value]
#[derive(Display, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalKind {
    /// No key came with the request.
    #[display("no key came with the request")]
    NoKey,
    /// The key isn't known or was withdrawn.
    #[display("the key is not valid")]
    BadKey,
    /// The call token isn't known or its call is over.
    #[display("the call token is not valid")]
    BadToken,
    /// The request can't be understood.
    #[display("the request is malformed")]
    Malformed,
    /// Head or body is larger than the limit.
    #[display("the request is too large")]
    TooLarge,
    /// No route leads to the service.
    #[display("no such service or route")]
    NoRoute,
    /// The call chain is deeper than the limit.
    #[display("the call chain is too deep")]
    TooDeep,
    /// The organisation has spent its rate and burst.
    #[display("the organisation is over its rate")]
    OverRate,
    /// There's no capacity for the request.
    #[display("the service is overloaded")]
    Overloaded,
    /// The backend server itself turned the request away.
    #[display("the backend server turned the request away")]
    Shed,
    /// A service that the request needs further down has no capacity for it.
    #[display("a service further down is overloaded")]
    OverloadedDeep,
    /// The deadline passed before the request ran.
    #[display("the deadline passed before the request ran")]
    Expired,
    /// The backend server is leaving.
    #[display("the backend server is draining")]
    Draining,
    /// No backend server of the service can be reached.
    #[display("no backend server can be reached")]
    Unavailable,
    /// This node's configuration may be out of date.
    #[display("the node has no current configuration")]
    Stale,
    /// Requests like it have crashed backend servers.
    #[display("requests like this one crash backend servers")]
    Quarantined,
}

impl RefusalKind {
    /// What it means one hop further up, where another backend server doesn't help.
    pub fn from_downstream(self) -> Self {
        match self {
            Self::Overloaded => Self::OverloadedDeep,
            other => other,
        }
    }

    /// Whether another backend server may be tried instead.
    pub fn is_retryable(self) -> bool {
        matches!(
            self,
            Self::Overloaded | Self::Shed | Self::Draining | Self::Unavailable
        )
    }
}

/// Why nobody can tell whether a call ran.
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
    /// The answer wasn't whole.
    #[display("the answer was cut or malformed")]
    Broken,
    /// A request with this id may have run before.
    #[display("an earlier request with this id may have run")]
    Forgotten,
    /// A request with this id was let run before.
    #[display("a request with this id is running or has run")]
    Repeated,
}
