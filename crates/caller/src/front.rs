//! The HTTP front door.

use std::fmt::Debug;
use std::sync::Arc;

use bytes::Bytes;
use filbertwheel_core::{
    Header, KeyHash, Method, Refusal, RefusalKind, Text, Verdict, hash_key, value,
};
use filbertwheel_http::{
    Fault, Handler, LocalFuture, Particulars, Request, Response, names, passed_headers, refusal_of,
    respond,
};

/// Decides about the requests of callers.
pub trait Entry: Debug + Send + Sync {
    /// Runs a caller's request. Dropped when the caller goes away.
    fn enter(&self, request: EntryRequest) -> LocalFuture<'_, Verdict>;
}

/// A caller's request.
#[value]
pub struct EntryRequest {
    /// Hash of the key that came with it.
    pub key: Option<KeyHash>,
    /// What its path and headers say.
    pub particulars: Particulars,
    /// Method of the request.
    pub method: Method,
    /// Headers to pass through.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
}

/// Turns HTTP requests into entry requests.
#[derive(Debug)]
pub struct FrontDoor {
    entry: Arc<dyn Entry>,
}

impl FrontDoor {
    /// A front door before `entry`.
    pub fn open(entry: Arc<dyn Entry>) -> Self {
        Self { entry }
    }
}

impl Handler for FrontDoor {
    fn handle(&self, request: Request) -> LocalFuture<'_, Response> {
        Box::pin(async move {
            match EntryRequest::decode(request) {
                Ok(request) => respond(self.entry.enter(request).await),
                Err(refusal) => respond(Err(refusal.into())),
            }
        })
    }

    fn reject(&self, fault: Fault) -> Response {
        respond(Err(refusal_of(fault).into()))
    }
}

impl EntryRequest {
    /// Reads a request's path and headers.
    pub fn decode(request: Request) -> Result<Self, Refusal> {
        let key = request.header(names::KEY).cloned();
        let particulars = Particulars::read(&request)?;
        if key
            .as_ref()
            .is_some_and(|key| contains(request.path.as_bytes(), key.as_bytes()))
        {
            return Err(RefusalKind::Malformed.into());
        }
        let headers = without_key(passed_headers(request.headers), key.as_ref());
        let key = key.map(|key| hash_key(key.as_bytes()));
        Ok(Self {
            key,
            particulars,
            method: request.method,
            headers,
            body: request.body,
        })
    }
}

/// Leaves out every header that repeats the key.
fn without_key(headers: Vec<Header>, key: Option<&Text>) -> Vec<Header> {
    let Some(key) = key else { return headers };
    headers
        .into_iter()
        .filter(|header| !contains(header.value.as_bytes(), key.as_bytes()))
        .collect()
}

fn contains(haystack: &[u8], needle: &[u8]) -> bool {
    !needle.is_empty()
        && haystack
            .windows(needle.len())
            .any(|window| window == needle)
}
