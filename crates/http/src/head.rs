//! Parsing of message heads, and rules for their headers.

use bytes::{Bytes, BytesMut};
use filbertwheel_core::{Header, Text, copy_value, value};

use crate::MessageError;

/// Maximum number of headers in a head.
const MAX_HEADERS: usize = 100;
/// Blanks that may stand beside the parts of a line (RFC 9110, section 5.6.3).
pub(crate) const BLANKS: [char; 2] = [' ', '\t'];

/// Start line and headers of a message.
#[value]
pub(crate) struct Head<L> {
    pub line: L,
    pub headers: Vec<Header>,
}

/// Start line of a request.
#[value]
pub(crate) struct RequestLine {
    pub method: Text,
    pub path: Text,
}

/// How the end of a body is determined.
#[copy_value]
pub(crate) enum Framing {
    /// `Content-Length`, in bytes.
    Length(usize),
    /// Chunked transfer coding.
    Chunked,
    /// No length: a response body ends when the connection closes, a request has no body.
    UntilClose,
}

/// Parses the head of a request.
pub(crate) fn parse_request(head: BytesMut) -> Result<Head<RequestLine>, MessageError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut lines);
    let parsed = request.parse(&head).map_err(message_error)?;
    if parsed.is_partial() || request.version != Some(1) {
        return Err(MessageError::Malformed);
    }
    let base = head.as_ptr() as usize;
    let method = span(base, request.method.unwrap_or_default().as_bytes());
    let path = request.path.unwrap_or_default().as_bytes();
    // It couldn't be sent on.
    if !path.iter().all(u8::is_ascii_graphic) {
        return Err(MessageError::Malformed);
    }
    let path = span(base, path);
    let spans = spans(base, request.headers);
    let (head, spans) = lowercase_names(head, spans);
    let slice = |(from, to): Span| Text::from(head.slice(from..to));
    Ok(Head {
        line: RequestLine {
            method: slice(method),
            path: slice(path),
        },
        headers: headers(&spans, slice),
    })
}

/// Parses the head of a response. Its start line is reduced to the status code.
pub(crate) fn parse_response(head: BytesMut) -> Result<Head<u16>, MessageError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut lines);
    let parsed = response.parse(&head).map_err(message_error)?;
    if parsed.is_partial() || response.version != Some(1) {
        return Err(MessageError::Malformed);
    }
    let status = response.code.ok_or(MessageError::Malformed)?;
    let spans = spans(head.as_ptr() as usize, response.headers);
    let (head, spans) = lowercase_names(head, spans);
    let slice = |(from, to): Span| Text::from(head.slice(from..to));
    Ok(Head {
        line: status,
        headers: headers(&spans, slice),
    })
}

/// Determines the framing of a message. Fails if its headers conflict.
pub(crate) fn framing(headers: &[Header]) -> Result<Framing, MessageError> {
    let mut length = None;
    let mut chunked = false;
    for header in headers {
        match header.name.as_bytes() {
            b"content-length" => length = Some(parse_length(length, &header.value)?),
            b"transfer-encoding" => {
                let known = header.value.as_bytes().eq_ignore_ascii_case(b"chunked");
                if chunked || !known {
                    return Err(MessageError::Ambiguous);
                }
                chunked = true;
            }
            _ => {}
        }
    }
    match (length, chunked) {
        (Some(_), true) => Err(MessageError::Ambiguous),
        (Some(length), false) => Ok(Framing::Length(length)),
        (None, true) => Ok(Framing::Chunked),
        (None, false) => Ok(Framing::UntilClose),
    }
}

/// Whether a line, without its line ending, is a valid header.
pub(crate) fn is_header_line(line: &[u8]) -> bool {
    let lines = [line, b"\r\n\r\n"].concat();
    let mut parsed = [httparse::EMPTY_HEADER];
    httparse::parse_headers(&lines, &mut parsed).is_ok_and(|status| status.is_complete())
}

/// Whether a message asks to close the connection after it (`Connection: close`).
pub(crate) fn closes_connection(headers: &[Header]) -> bool {
    let values = headers
        .iter()
        .filter(|header| header.name.as_bytes() == b"connection");
    values
        .flat_map(|header| header.value.as_bytes().split(|byte| *byte == b','))
        .any(|option| option.trim_ascii().eq_ignore_ascii_case(b"close"))
}

/// Whether a header describes the framing or the connection and is never forwarded.
pub(crate) fn is_connection_header(name: &[u8]) -> bool {
    const FRAMING: [&[u8]; 9] = [
        b"content-length",
        b"transfer-encoding",
        b"connection",
        b"expect",
        b"keep-alive",
        b"te",
        b"trailer",
        b"upgrade",
        b"proxy-connection",
    ];
    FRAMING.contains(&name)
}

/// Appends a header line. Returns `false` if the value contains a line break or a null byte.
pub(crate) fn push_header(head: &mut Vec<u8>, name: &[u8], value: &[u8]) -> bool {
    if value.iter().any(|byte| matches!(byte, b'\r' | b'\n' | 0)) {
        return false;
    }
    head.extend_from_slice(name);
    head.extend_from_slice(b": ");
    head.extend_from_slice(value);
    head.extend_from_slice(b"\r\n");
    true
}

/// Start and end of a part of the head, as byte offsets.
type Span = (usize, usize);

fn span(base: usize, part: &[u8]) -> Span {
    let from = part.as_ptr() as usize - base;
    (from, from + part.len())
}

fn spans(base: usize, lines: &[httparse::Header<'_>]) -> Vec<(Span, Span)> {
    let lines = lines.iter();
    lines
        .map(|line| (span(base, line.name.as_bytes()), span(base, line.value)))
        .collect()
}

/// Converts the header names to lower case in place.
fn lowercase_names(mut head: BytesMut, spans: Vec<(Span, Span)>) -> (Bytes, Vec<(Span, Span)>) {
    for ((from, to), _) in &spans {
        head[*from..*to].make_ascii_lowercase();
    }
    (head.freeze(), spans)
}

fn headers(spans: &[(Span, Span)], slice: impl Fn(Span) -> Text) -> Vec<Header> {
    let spans = spans.iter();
    spans
        .map(|(name, value)| Header {
            name: slice(*name),
            value: slice(*value),
        })
        .collect()
}

fn message_error(error: httparse::Error) -> MessageError {
    match error {
        httparse::Error::TooManyHeaders => MessageError::HeadTooLarge,
        _ => MessageError::Malformed,
    }
}

/// Parses a `Content-Length` value. Repeated values must be equal.
fn parse_length(earlier: Option<usize>, value: &Text) -> Result<usize, MessageError> {
    let text = value.as_str().ok_or(MessageError::Malformed)?;
    let mut found = earlier;
    for digits in text.split(',').map(|part| part.trim_matches(BLANKS)) {
        if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(MessageError::Malformed);
        }
        let length = digits.parse().map_err(|_| MessageError::BodyTooLarge)?;
        if found.is_some_and(|earlier| earlier != length) {
            return Err(MessageError::Ambiguous);
        }
        found = Some(length);
    }
    found.ok_or(MessageError::Malformed)
}
