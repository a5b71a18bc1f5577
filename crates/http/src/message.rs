//! Complete HTTP messages.

use bytes::Bytes;
use derive_more::{Display, Error};
use filbertwheel_core::{Header, Text, copy_value, value};

use crate::head::is_connection_header;

/// A complete request.
#[value]
pub struct Request {
    /// Method, in its original case.
    pub method: Text,
    /// Path and query.
    pub path: Text,
    /// Headers, with names in lower case.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Bytes,
}

/// A complete response.
#[value]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Headers, with names in lower case.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Bytes,
}

/// Error in a received message.
#[copy_value]
#[derive(Display, Error)]
pub enum MessageError {
    /// The message is not valid HTTP/1.1.
    #[display("the message is not valid HTTP/1.1")]
    Malformed,
    /// The head exceeds its limit.
    #[display("the head is too long")]
    HeadTooLarge,
    /// The body exceeds its limit.
    #[display("the body is too long")]
    BodyTooLarge,
    /// The bodies of other messages take up the memory for bodies.
    #[display("there is no memory for the body at present")]
    NoMemory,
    /// Conflicting `Content-Length` or `Transfer-Encoding` headers.
    #[display("the length is ambiguous")]
    Ambiguous,
    /// The connection ended before the end of the message.
    #[display("the body is shorter than its length")]
    Truncated,
    /// The message did not arrive in time.
    #[display("the message took too long to arrive")]
    TimedOut,
}

impl Request {
    /// Creates a `GET` request without a body.
    pub fn get(path: &str) -> Self {
        Self::new("GET", path, Bytes::new())
    }

    /// Creates a `POST` request with a body.
    pub fn post(path: &str, body: impl Into<Bytes>) -> Self {
        Self::new("POST", path, body.into())
    }

    fn new(method: &str, path: &str, body: Bytes) -> Self {
        Self {
            method: method.into(),
            path: path.into(),
            headers: Vec::new(),
            body,
        }
    }

    /// Returns the first value of a header. `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&Text> {
        find(&self.headers, name)
    }

    /// Appends a header.
    pub fn with(mut self, name: &'static str, value: impl Into<Text>) -> Self {
        self.headers.push(line(name, value.into()));
        self
    }

    /// Removes framing headers and headers that apply to a single connection.
    pub fn without_connection_headers(mut self) -> Self {
        self.headers
            .retain(|header| !is_connection_header(header.name.as_bytes()));
        self
    }

    /// Returns the path without its query.
    pub fn path_only(&self) -> &[u8] {
        self.path
            .as_bytes()
            .split(|byte| *byte == b'?')
            .next()
            .unwrap_or_default()
    }
}

impl Response {
    /// Creates a response with a body.
    pub fn new(status: u16, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// Returns the first value of a header. `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&Text> {
        find(&self.headers, name)
    }

    /// Appends a header.
    pub fn with(mut self, name: &'static str, value: impl Into<Text>) -> Self {
        self.headers.push(line(name, value.into()));
        self
    }
}

fn line(name: &'static str, value: Text) -> Header {
    Header {
        name: Text::from_static(name),
        value,
    }
}

fn find<'a>(headers: &'a [Header], name: &str) -> Option<&'a Text> {
    headers
        .iter()
        .find(|header| header.name.as_bytes() == name.as_bytes())
        .map(|h| &h.value)
}
