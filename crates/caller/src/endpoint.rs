//! HTTP endpoint for callers.

use std::fmt::Debug;
use std::sync::Arc;

use bytes::Bytes;
use filbertwheel_core::{
    Header, KeyHash, Method, Refusal, RefusalKind, Text, Verdict, sha256_hex, value,
};
use filbertwheel_http::{
    Handler, LocalFuture, MessageError, Request, RequestMetadata, Response, forwarded_headers,
    names, refusal_for, verdict_response,
};

/// Handles callers' requests.
pub trait CallerHandler: Debug + Send + Sync {
    /// Runs a caller's request. The future is dropped if the caller disconnects.
    fn handle_request(&self, request: CallerRequest) -> LocalFuture<'_, Verdict>;
}

/// A caller's request.
#[value]
pub struct CallerRequest {
    /// Hash of the request's key.
    pub key: Option<KeyHash>,
    /// Metadata from its path and headers.
    pub metadata: RequestMetadata,
    /// HTTP method of the request.
    pub method: Method,
    /// Headers to forward.
    pub headers: Vec<Header>,
    /// The complete body.
    pub body: Bytes,
}

/// Parses callers' HTTP requests and passes them to a handler.
#[derive(Debug)]
pub struct CallerEndpoint {
    handler: Arc<dyn CallerHandler>,
}

impl CallerEndpoint {
    /// Creates an endpoint for `handler`.
    pub fn open(handler: Arc<dyn CallerHandler>) -> Self {
        Self { handler }
    }
}

impl Handler for CallerEndpoint {
    fn handle(&self, request: Request) -> LocalFuture<'_, Response> {
        Box::pin(async move {
            match CallerRequest::decode(request) {
                Ok(request) => verdict_response(self.handler.handle_request(request).await),
                Err(refusal) => verdict_response(Err(refusal.into())),
            }
        })
    }

    fn reject(&self, error: MessageError) -> Response {
        verdict_response(Err(refusal_for(error).into()))
    }
}

impl CallerRequest {
    /// Parses a request and removes its key. Refuses a request with several keys, and one whose
    /// path, request id or body contains the key.
    pub fn decode(request: Request) -> Result<Self, Refusal> {
        let key = single_key(&request)?;
        let metadata = RequestMetadata::read(&request)?;
        if key.as_ref().is_some_and(|key| exposes_key(&request, key)) {
            return Err(RefusalKind::Malformed.into());
        }
        let headers = without_key(forwarded_headers(request.headers), key.as_ref());
        let key = key.map(|key| sha256_hex(key.as_bytes()));
        Ok(Self {
            key,
            metadata,
            method: request.method,
            headers,
            body: request.body,
        })
    }
}

fn single_key(request: &Request) -> Result<Option<Text>, Refusal> {
    let lines = request.headers.iter();
    let mut keys = lines.filter(|line| line.name.as_bytes() == names::KEY.as_bytes());
    let key = keys.next().map(|line| line.value.clone());
    match keys.next() {
        Some(_) => Err(RefusalKind::Malformed.into()),
        None => Ok(key),
    }
}

/// Whether the path, request id or body, which are forwarded unchanged, contain the key.
fn exposes_key(request: &Request, key: &Text) -> bool {
    let path = request.path.as_bytes();
    let id = request
        .header(names::REQUEST)
        .map_or(&[][..], Text::as_bytes);
    let parts = [path, &percent_decoded(path), id, &request.body];
    parts.iter().any(|part| contains(part, key.as_bytes()))
}

fn percent_decoded(path: &[u8]) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(path.len());
    let mut rest = path;
    while let Some((byte, after)) = rest.split_first() {
        let escape = after.get(..2).filter(|_| *byte == b'%');
        let escape = escape.and_then(|digits| std::str::from_utf8(digits).ok());
        match escape.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(escaped) => {
                decoded.push(escaped);
                rest = &after[2..];
            }
            None => {
                decoded.push(*byte);
                rest = after;
            }
        }
    }
    decoded
}

/// Removes all headers whose value contains the key.
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
