//! Whole HTTP messages.

use bytes::Bytes;
use derive_more::{Display, Error};
use filbertwheel_core::{Header, Text, copy_value, value};

use crate::head::is_connection_header;

/// A whole request.
#[value]
pub struct Request {
    /// Method as it was written.
    pub method: Text,
    /// Path and query.
    pub path: Text,
    /// Header lines, names in lower case.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
}

/// A whole response.
#[value]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Header lines, names in lower case.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
}

/// What's wrong with a message that came in.
#[copy_value]
#[derive(Display, Error)]
pub enum MessageError {
    /// It isn't HTTP/1.1.
    #[display("the message is not valid HTTP/1.1")]
    Malformed,
    /// Its head is too long.
    #[display("the head is too long")]
    HeadTooLarge,
    /// Its body is too long.
    #[display("the body is too long")]
    BodyTooLarge,
    /// Its length is given in more than one way.
    #[display("the length is ambiguous")]
    Ambiguous,
    /// Its body ended early.
    #[display("the body is shorter than its length")]
    Truncated,
    /// It took too long to arrive.
    #[display("the message took too long to arrive")]
    TimedOut,
}

impl Request {
    /// A request without a body.
    pub fn get(path: &str) -> Self {
        Self::new("GET", path, Bytes::new())
    }

    /// A request with a body.
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

    /// The first value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&Text> {
        find(&self.headers, name)
    }

    /// The same request with one more header.
    pub fn with(mut self, name: &'static str, value: impl Into<Text>) -> Self {
        self.headers.push(line(name, value.into()));
        self
    }

    /// Takes out the headers that belong to one connection only.
    pub fn without_connection_headers(mut self) -> Self {
        self.headers
            .retain(|header| !is_connection_header(header.name.as_bytes()));
        self
    }

    /// The path without its query.
    pub fn path_only(&self) -> &[u8] {
        self.path
            .as_bytes()
            .split(|byte| *byte == b'?')
            .next()
            .unwrap_or_default()
    }
}

impl Response {
    /// A response with a body.
    pub fn new(status: u16, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// The first value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&Text> {
        find(&self.headers, name)
    }

    /// The same response with one more header.
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
