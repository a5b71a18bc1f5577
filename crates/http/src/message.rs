//! Whole HTTP messages.

use bytes::Bytes;
use derive_more::{Display, Error};
use filbertwheel_core::{Header, Text, token, value};
use futures_lite::AsyncReadExt as _;
use http_types::headers::{HeaderName, HeaderValues};

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
#[token]
#[derive(Display, Error)]
pub enum Fault {
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
    /// Its body ended early or took too long.
    #[display("the body is shorter than its length")]
    Cut,
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

/// Copies header lines out of the codec's form.
pub(crate) fn headers_from<'a>(
    lines: impl Iterator<Item = (&'a HeaderName, &'a HeaderValues)>,
) -> Vec<Header> {
    lines
        .flat_map(|(name, values)| values.iter().map(move |value| (name, value)))
        .map(|(name, value)| Header {
            name: name.as_str().into(),
            value: value.as_str().into(),
        })
        .collect()
}

/// The one length that a message gives, if it gives any.
fn single_length(lengths: Option<&HeaderValues>) -> Result<Option<usize>, Fault> {
    let Some(lengths) = lengths else {
        return Ok(None);
    };
    let mut found = None;
    for value in lengths.iter().flat_map(|value| value.as_str().split(',')) {
        let digits = value.trim();
        if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(Fault::Malformed);
        }
        let length = digits.parse().map_err(|_| Fault::BodyTooLarge)?;
        if found.is_some_and(|earlier: usize| earlier != length) {
            return Err(Fault::Ambiguous);
        }
        found = Some(length);
    }
    Ok(found)
}

/// How the length of a body is given.
#[token]
pub(crate) enum Framing {
    /// By a number of bytes, or not at all.
    Length(Option<usize>),
    /// By chunks.
    Chunks,
}

/// The one framing that a message gives.
pub(crate) fn framing(
    lengths: Option<&HeaderValues>,
    encodings: Option<&HeaderValues>,
) -> Result<Framing, Fault> {
    let length = single_length(lengths)?;
    let Some(encodings) = encodings else {
        return Ok(Framing::Length(length));
    };
    let mut encodings = encodings.iter();
    let chunked = encodings
        .next()
        .is_some_and(|value| value.as_str() == "chunked");
    if length.is_some() || !chunked || encodings.next().is_some() {
        return Err(Fault::Ambiguous);
    }
    Ok(Framing::Chunks)
}

/// Reads a body of chunks to its end.
pub(crate) async fn read_chunks(body: http_types::Body, limit: usize) -> Result<Bytes, Fault> {
    let mut bytes = Vec::new();
    let mut bounded = body.take(limit as u64 + 1);
    bounded
        .read_to_end(&mut bytes)
        .await
        .map_err(|_| Fault::Cut)?;
    if bytes.len() > limit {
        return Err(Fault::BodyTooLarge);
    }
    Ok(bytes.into())
}

/// Whether a header belongs to one connection and is never passed on.
pub(crate) fn is_framing(name: &[u8]) -> bool {
    const FRAMING: [&[u8]; 6] = [
        b"content-length",
        b"transfer-encoding",
        b"connection",
        b"host",
        b"expect",
        b"keep-alive",
    ];
    FRAMING.contains(&name)
}
