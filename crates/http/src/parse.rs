//! Parsing of paths and headers in requests from callers and backend servers.

use std::time::{Duration, SystemTime};

use filbertwheel_core::{Criticality, Header, Refusal, RefusalKind, RequestId, ServiceId, Text};

use crate::{Request, names};

/// Maximum length of a request id.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Metadata from the path and headers of a request.
#[filbertwheel_core::value]
pub struct RequestMetadata {
    /// Requested service.
    pub service: ServiceId,
    /// Path and query after the service's name.
    pub path: Text,
    /// Request id chosen by the sender.
    pub request: Option<RequestId>,
    /// Time of the sender's first attempt, as reported by the sender.
    pub first_attempt: Option<SystemTime>,
    /// Requested criticality.
    pub criticality: Option<Criticality>,
    /// How long the sender waits for the response.
    pub timeout: Option<Duration>,
}

impl RequestMetadata {
    /// Parses the metadata of a request.
    pub fn read(request: &Request) -> Result<Self, Refusal> {
        let (service, path) = split_path(&request.path).ok_or(RefusalKind::NoRoute)?;
        let id = request.header(names::REQUEST).cloned();
        if id
            .as_ref()
            .is_some_and(|id| id.as_bytes().len() > MAX_REQUEST_ID_BYTES)
        {
            return Err(RefusalKind::TooLarge.into());
        }
        let first_attempt = request
            .header(names::FIRST_ATTEMPT)
            .map(parse_time)
            .transpose()?;
        let criticality = request
            .header(names::CRITICALITY)
            .map(parse_criticality)
            .transpose()?;
        let timeout = request
            .header(names::DEADLINE)
            .map(parse_millis)
            .transpose()?;
        Ok(Self {
            service,
            path,
            request: id,
            first_attempt,
            criticality,
            timeout,
        })
    }
}

/// Removes filbertwheel's own headers.
pub fn forwarded_headers(headers: Vec<Header>) -> Vec<Header> {
    headers
        .into_iter()
        .filter(|header| !header.name.as_bytes().starts_with(names::PREFIX.as_bytes()))
        .collect()
}

/// Splits `/service/rest` into the service's name and `/rest`.
fn split_path(path: &Text) -> Option<(ServiceId, Text)> {
    let text = path.as_str()?.strip_prefix('/')?;
    let end = text.find(['/', '?']).unwrap_or(text.len());
    let (service, rest) = text.split_at(end);
    if service.is_empty() {
        return None;
    }
    let rest = if rest.starts_with('/') {
        rest.to_owned()
    } else {
        format!("/{rest}")
    };
    Some((service.into(), rest.into()))
}

fn parse_criticality(text: &Text) -> Result<Criticality, Refusal> {
    match text.as_bytes() {
        b"sheddable" => Ok(Criticality::Sheddable),
        b"normal" => Ok(Criticality::Normal),
        b"critical" => Ok(Criticality::Critical),
        _ => Err(RefusalKind::Malformed.into()),
    }
}

fn parse_millis(text: &Text) -> Result<Duration, Refusal> {
    let millis = text.as_str().and_then(|text| text.parse::<u32>().ok());
    millis
        .map(|millis| Duration::from_millis(millis.into()))
        .ok_or(RefusalKind::Malformed.into())
}

fn parse_time(text: &Text) -> Result<SystemTime, Refusal> {
    let millis = text.as_str().and_then(|text| text.parse::<u64>().ok());
    millis
        .and_then(|millis| SystemTime::UNIX_EPOCH.checked_add(Duration::from_millis(millis)))
        .ok_or(RefusalKind::Malformed.into())
}
