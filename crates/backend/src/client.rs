//! Client for sending calls to the backend server.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use derive_more::{Display, Error};
use filbertwheel_core::{
    Answer, Call, Clock, Header, RefusalKind, Text, answer_deadline, copy_value,
};
use filbertwheel_http::{
    Limits, Pool, Request, Response, SendError, SendOptions, StallPolicy, TimeLeft,
    forwarded_headers, names,
};

/// Value of the outcome header if the backend server did not run the request.
const NOT_RUN: &[u8] = b"not-run";

/// A complete response of a backend server, with its reported load.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendReply {
    /// The response. Its `retries` field is 0, since a backend server returns no retries.
    pub answer: Answer,
    /// Load that the backend server reported, from 0 to 1.
    pub load: Option<f64>,
}

/// Why a backend server gave no complete response.
#[copy_value]
#[derive(Display, Error)]
pub enum BackendError {
    /// No byte of the request was sent.
    #[display("the backend server is unreachable")]
    NotSent,
    /// The backend server reported that it did not run the request.
    #[display("the backend server refused: {_0}")]
    Refused(#[error(not(source))] RefusalKind),
    /// The connection was lost after sending began.
    #[display("the connection to the backend server was lost")]
    Lost,
    /// The deadline passed before the response was complete.
    #[display("the backend server did not respond before the deadline")]
    Late,
    /// The response was truncated or malformed.
    #[display("the backend server's response was truncated or malformed")]
    Broken,
}

/// Client of a backend server.
#[async_trait]
pub trait BackendClient: Debug + Send + Sync {
    /// Runs a call. The backend server sends `token` with its nested calls to identify this call.
    async fn run(&self, call: &Call, token: Text) -> Result<BackendReply, BackendError>;
}

/// Creates clients for the addresses that backend servers announce.
pub trait BackendConnector: Debug + Send + Sync {
    /// Creates a client for the backend server at `address`. Connections are opened on demand.
    fn connect(&self, address: SocketAddr) -> Arc<dyn BackendClient>;
}

/// Creates HTTP clients of backend servers.
#[derive(Debug)]
pub struct HttpConnector {
    limits: Limits,
    clock: Arc<dyn Clock>,
}

impl HttpConnector {
    /// Creates a connector whose clients use these limits.
    pub fn open(limits: Limits, clock: Arc<dyn Clock>) -> Self {
        Self { limits, clock }
    }
}

impl BackendConnector for HttpConnector {
    fn connect(&self, address: SocketAddr) -> Arc<dyn BackendClient> {
        let clock = Arc::clone(&self.clock);
        Arc::new(HttpBackendClient::open(address, self.limits, clock))
    }
}

/// HTTP client of a backend server.
#[derive(Debug)]
pub struct HttpBackendClient {
    pool: Pool,
}

impl HttpBackendClient {
    /// Creates a client for the backend server at `address`.
    pub fn open(address: SocketAddr, limits: Limits, clock: Arc<dyn Clock>) -> Self {
        Self {
            pool: Pool::open(address, limits, clock),
        }
    }
}

#[async_trait]
impl BackendClient for HttpBackendClient {
    async fn run(&self, call: &Call, token: Text) -> Result<BackendReply, BackendError> {
        let request = encode(call, token);
        let on_stall = if call.idempotent {
            StallPolicy::Abort
        } else {
            StallPolicy::Wait
        };
        let options = SendOptions {
            on_stall,
            time_left: Some(TimeLeft {
                header: names::DEADLINE,
                until: call.deadline,
            }),
            ..SendOptions::until(answer_deadline(call.deadline))
        };
        let response = self.pool.send(&request, &options).await;
        decode(response.map_err(backend_error)?)
    }
}

fn encode(call: &Call, token: Text) -> Request {
    let mut headers = call.headers.clone();
    let mut add = |name, value| {
        headers.push(Header {
            name: Text::from_static(name),
            value,
        })
    };
    add(names::TOKEN, token);
    if let Some(organisation) = &call.organisation {
        add(names::ORGANISATION, organisation.clone());
    }
    if let Some(request) = &call.request {
        add(names::REQUEST, request.clone());
    }
    Request {
        method: call.method.clone(),
        path: call.path.clone(),
        headers,
        body: call.body.clone(),
    }
}

fn decode(response: Response) -> Result<BackendReply, BackendError> {
    if response
        .header(names::OUTCOME)
        .is_some_and(|outcome| outcome.as_bytes() == NOT_RUN)
    {
        let reason = response.header(names::REASON).map(Text::as_bytes);
        let kind = match reason {
            Some(b"draining") => RefusalKind::Draining,
            Some(b"overloaded-deep") => RefusalKind::OverloadedDeep,
            _ => RefusalKind::Overloaded,
        };
        return Err(BackendError::Refused(kind));
    }
    let load = response
        .header(names::LOAD)
        .and_then(|load| load.as_str()?.parse().ok());
    let headers = forwarded_headers(response.headers);
    let answer = Answer {
        status: response.status,
        headers,
        body: response.body,
        retries: 0,
    };
    Ok(BackendReply { answer, load })
}

fn backend_error(error: SendError) -> BackendError {
    match error {
        SendError::NotSent | SendError::Unencodable => BackendError::NotSent,
        SendError::Lost => BackendError::Lost,
        SendError::Late => BackendError::Late,
        SendError::Broken => BackendError::Broken,
    }
}
