//! Requests as they arrive at a node.

use std::time::Duration;

use bytes::Bytes;
use filbertwheel_core::{Header, Method, RequestId, Text, value};

/// A whole request that a node is asked to have run.
#[value]
pub struct IncomingRequest {
    /// The sender's id for it.
    pub request: RequestId,
    /// Host that it names.
    pub host: Text,
    /// The key that came with it.
    pub key: Option<Text>,
    /// How long the sender waits.
    pub timeout: Option<Duration>,
    /// Method of the request.
    pub method: Method,
    /// Path and query.
    pub path: Text,
    /// Headers that are passed through.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
}
