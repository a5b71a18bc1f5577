//! Requests that a front end passes to the engine.

use std::time::Duration;

use bytes::Bytes;
use filbertwheel_core::{Header, Method, RequestId, Text, value};

/// A complete request, as the caller or the local backend server sent it.
#[value]
pub struct IncomingRequest {
    /// Id that the sender gave the request.
    pub request: RequestId,
    /// Requested host.
    pub host: Text,
    /// API key, if one was sent.
    pub key: Option<Text>,
    /// How long the sender waits for the response, if stated.
    pub timeout: Option<Duration>,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: Text,
    /// Headers that are forwarded to the backend server.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Bytes,
}
