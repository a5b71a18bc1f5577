//! The local door, at which a node's own backend server announces itself and calls others.

use std::fmt::Debug;
use std::sync::Arc;

use bytes::Bytes;
use filbertwheel_core::{Header, Method, Refusal, RefusalKind, Text, Verdict, value};
use filbertwheel_http::{
    Fault, Handler, LocalFuture, Particulars, Request, Response, names, passed_headers, refusal_of,
    respond,
};

use crate::Announcement;

/// Path of announcements.
const ANNOUNCE_PATH: &[u8] = b"/filbertwheel/announce";

/// Decides about what the node's own backend server sends.
pub trait Neighbour: Debug + Send + Sync {
    /// Takes note of the backend server.
    fn announce(&self, announcement: Announcement);

    /// Runs a call that belongs to a running one.
    fn nest(&self, request: NestedRequest) -> LocalFuture<'_, Verdict>;
}

/// A backend server's call to another service.
#[value]
pub struct NestedRequest {
    /// Stands for the call that it belongs to.
    pub token: Text,
    /// What its path and headers say.
    pub particulars: Particulars,
    /// Method of the request.
    pub method: Method,
    /// Headers to pass through.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
}

/// Turns the backend server's HTTP requests into announcements and nested calls.
#[derive(Debug)]
pub struct LocalDoor {
    neighbour: Arc<dyn Neighbour>,
}

impl LocalDoor {
    /// A door before `neighbour`.
    pub fn open(neighbour: Arc<dyn Neighbour>) -> Self {
        Self { neighbour }
    }

    fn announce(&self, body: &[u8]) -> Response {
        match serde_json::from_slice(body) {
            Ok(announcement) => {
                self.neighbour.announce(announcement);
                Response::new(200, "{}")
            }
            Err(error) => Response::new(400, error.to_string()),
        }
    }
}

impl Handler for LocalDoor {
    fn handle(&self, request: Request) -> LocalFuture<'_, Response> {
        Box::pin(async move {
            if request.path_only() == ANNOUNCE_PATH {
                return self.announce(&request.body);
            }
            match decode(request) {
                Ok(nested) => respond(self.neighbour.nest(nested).await),
                Err(refusal) => respond(Err(refusal.into())),
            }
        })
    }

    fn reject(&self, fault: Fault) -> Response {
        respond(Err(refusal_of(fault).into()))
    }
}

fn decode(request: Request) -> Result<NestedRequest, Refusal> {
    let token = request
        .header(names::TOKEN)
        .cloned()
        .ok_or(RefusalKind::BadToken)?;
    let particulars = Particulars::read(&request)?;
    let headers = passed_headers(request.headers);
    Ok(NestedRequest {
        token,
        particulars,
        method: request.method,
        headers,
        body: request.body,
    })
}
