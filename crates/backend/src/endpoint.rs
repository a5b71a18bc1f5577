//! The local door, at which a node's own backend server announces itself and calls others.

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

/// Decides about what the node's own backend server sends.
pub trait BackendHandler: Debug + Send + Sync {
    /// Takes note of the backend server.
    fn announce(&self, announcement: Announcement);

    /// Runs a call that belongs to a running one.
    fn handle_nested(&self, request: NestedRequest) -> LocalFuture<'_, Verdict>;
}

/// A backend server's call to another service.
#[value]
pub struct NestedRequest {
    /// Stands for the call that it belongs to.
    pub token: Text,
    /// What its path and headers say.
    pub metadata: RequestMetadata,
    /// Method of the request.
    pub method: Method,
    /// Headers to pass through.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
}

/// Turns the backend server's HTTP requests into announcements and nested calls.
#[derive(Debug)]
pub struct BackendEndpoint {
    handler: Arc<dyn BackendHandler>,
}

impl BackendEndpoint {
    /// A door before `handler`.
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

    fn reject(&self, fault: MessageError) -> Response {
        verdict_response(Err(refusal_for(fault).into()))
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
