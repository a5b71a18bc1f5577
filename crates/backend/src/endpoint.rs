//! Endpoint at which a node's backend server announces itself and calls other services.

use std::fmt::Debug;
use std::sync::Arc;

use bytes::Bytes;
use filbertwheel_core::{Header, Method, Refusal, RefusalKind, Text, Verdict, value};
use filbertwheel_http::{
    Handler, LocalFuture, MessageError, Request, RequestMetadata, Response, forwarded_headers,
    names, refusal_for, verdict_response,
};

use crate::Announcement;

/// Path of announcements.
const ANNOUNCE_PATH: &[u8] = b"/filbertwheel/announce";

/// Handles the requests of the node's backend server.
pub trait BackendHandler: Debug + Send + Sync {
    /// Records an announcement of the backend server.
    fn announce(&self, announcement: Announcement);

    /// Runs a nested call.
    fn handle_nested(&self, request: NestedRequest) -> LocalFuture<'_, Verdict>;
}

/// A call of the backend server to another service.
#[value]
pub struct NestedRequest {
    /// Token of the call that it is part of.
    pub token: Text,
    /// Metadata from its path and headers.
    pub metadata: RequestMetadata,
    /// HTTP method of the request.
    pub method: Method,
    /// Headers to forward.
    pub headers: Vec<Header>,
    /// The complete body.
    pub body: Bytes,
}

/// Parses the backend server's HTTP requests into announcements and nested calls.
#[derive(Debug)]
pub struct BackendEndpoint {
    handler: Arc<dyn BackendHandler>,
}

impl BackendEndpoint {
    /// Creates an endpoint for `handler`.
    pub fn open(handler: Arc<dyn BackendHandler>) -> Self {
        Self { handler }
    }

    fn announce(&self, body: &[u8]) -> Response {
        match serde_json::from_slice(body) {
            Ok(announcement) => {
                self.handler.announce(announcement);
                Response::new(200, "{}")
            }
            Err(error) => Response::new(400, error.to_string()),
        }
    }
}

impl Handler for BackendEndpoint {
    fn handle(&self, request: Request) -> LocalFuture<'_, Response> {
        Box::pin(async move {
            if request.path_only() == ANNOUNCE_PATH {
                return self.announce(&request.body);
            }
            match decode(request) {
                Ok(nested) => verdict_response(self.handler.handle_nested(nested).await),
                Err(refusal) => verdict_response(Err(refusal.into())),
            }
        })
    }

    fn reject(&self, error: MessageError) -> Response {
        verdict_response(Err(refusal_for(error).into()))
    }
}

fn decode(request: Request) -> Result<NestedRequest, Refusal> {
    let token = request
        .header(names::TOKEN)
        .cloned()
        .ok_or(RefusalKind::BadToken)?;
    let metadata = RequestMetadata::read(&request)?;
    let headers = forwarded_headers(request.headers);
    Ok(NestedRequest {
        token,
        metadata,
        method: request.method,
        headers,
        body: request.body,
    })
}
