//! Encoding of messages.

use bytes::Bytes;
use filbertwheel_core::value;

use crate::Response;
use crate::head::{is_connection_header, push_header};

/// Maximum size, in bytes, of a body that is copied behind its head so that both are sent in one write.
const MAX_COPIED_BODY: usize = 16 * 1024;

/// An encoded message.
#[value]
pub(crate) struct Encoded {
    /// The head, with the body if that is small.
    pub start: Vec<u8>,
    /// The body, if it is large.
    pub rest: Bytes,
}

impl Encoded {
    /// Returns how many bytes of a body are copied behind the head.
    pub fn copied_len(body: &Bytes) -> usize {
        if body.len() <= MAX_COPIED_BODY {
            body.len()
        } else {
            0
        }
    }

    /// Adds a body to an encoded head.
    pub fn with_body(mut head: Vec<u8>, body: &Bytes) -> Self {
        let copied = Self::copied_len(body);
        head.extend_from_slice(&body[..copied]);
        Self {
            start: head,
            rest: body.slice(copied..),
        }
    }
}

/// Encodes a response.
pub(crate) fn encode_response(response: &Response, bodiless: bool, keep_alive: bool) -> Encoded {
    let has_body = !bodiless && !matches!(response.status, 204 | 304);
    let body = if has_body {
        response.body.clone()
    } else {
        Bytes::new()
    };
    let mut bytes = Vec::with_capacity(256 + Encoded::copied_len(&body));
    bytes.extend_from_slice(b"HTTP/1.1 ");
    bytes.extend_from_slice(response.status.to_string().as_bytes());
    bytes.push(b' ');
    bytes.extend_from_slice(reason_phrase(response.status).as_bytes());
    bytes.extend_from_slice(b"\r\n");
    for header in &response.headers {
        let name = header.name.as_bytes();
        if !is_connection_header(name) && !push_header(&mut bytes, name, header.value.as_bytes()) {
            tracing::warn!(
                "http: Omitted a header whose value contains a line break or a null byte."
            );
        }
    }
    // Responses with these statuses have neither a body nor a length.
    if !matches!(response.status, 204 | 304) {
        let length = response.body.len().to_string();
        push_header(&mut bytes, b"content-length", length.as_bytes());
    }
    if !keep_alive {
        push_header(&mut bytes, b"connection", b"close");
    }
    bytes.extend_from_slice(b"\r\n");
    Encoded::with_body(bytes, &body)
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
