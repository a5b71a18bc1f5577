//! Conversion of a request to a call: authentication, route, deadline and retries.

use std::time::{Duration, Instant, SystemTime};

use filbertwheel_backend::NestedRequest;
use filbertwheel_caller::CallerRequest;
use filbertwheel_core::{
    Call, Criticality, Deduplication, OrganisationId, Refusal, RefusalKind, Route,
};
use filbertwheel_http::RequestMetadata;
use filbertwheel_policy::{DEDUP_WINDOW, MAX_CLOCK_SKEW, RETRIES_PER_CALL, shed_rank};

use crate::snapshot::Snapshot;
use crate::tokens::TokenGrant;

/// Timeout of a request that doesn't specify one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum timeout of a request.
const MAX_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum depth of a chain of nested calls.
const MAX_DEPTH: u8 = 16;

/// Returns the organisation that a request runs for, or refuses the request. Only routes that are
/// open to all are served without a current configuration.
pub(crate) fn authenticate(
    snapshot: &Snapshot,
    request: &CallerRequest,
    now: Instant,
) -> Result<Option<OrganisationId>, Refusal> {
    let current = snapshot.is_current(now);
    let Some(hash) = &request.key else {
        let route = route_of(snapshot, &request.metadata, request.method.as_bytes());
        return match route {
            Ok(route) if route.open => Ok(None),
            _ if !current => Err(RefusalKind::Stale.into()),
            _ => Err(RefusalKind::NoKey.into()),
        };
    };
    if !current {
        return Err(RefusalKind::Stale.into());
    }
    let key = snapshot
        .config
        .keys
        .get(hash)
        .ok_or(Refusal::new(RefusalKind::BadKey))?;
    Ok(Some(key.organisation.clone()))
}

pub(crate) fn route_of<'a>(
    snapshot: &'a Snapshot,
    metadata: &RequestMetadata,
    method: &[u8],
) -> Result<&'a Route, Refusal> {
    let path = metadata.path.as_bytes();
    let path = path.split(|byte| *byte == b'?').next().unwrap_or_default();
    let route = snapshot
        .config
        .route(metadata.service.as_bytes(), method, path);
    route.ok_or(RefusalKind::NoRoute.into())
}

/// Converts a caller's request to a call.
pub(crate) fn entry_call(
    request: CallerRequest,
    organisation: Option<OrganisationId>,
    route: &Route,
    now: Instant,
    wall: SystemTime,
) -> Call {
    let CallerRequest {
        key,
        metadata,
        method,
        headers,
        body,
    } = request;
    let timeout = metadata.timeout.unwrap_or(DEFAULT_TIMEOUT).min(MAX_TIMEOUT);
    let rank = match &metadata.request {
        Some(request) => shed_rank(&organisation, request),
        None => rand::random(),
    };
    Call {
        id: rand::random(),
        once: deduplication(&metadata, route, wall),
        organisation,
        key,
        request: metadata.request,
        service: metadata.service,
        criticality: capped_criticality(route.criticality, metadata.criticality),
        idempotent: route.idempotent,
        rank,
        deadline: now + timeout,
        retries: RETRIES_PER_CALL,
        depth: 0,
        method,
        path: metadata.path,
        headers,
        body,
    }
}

/// Returns the requested criticality, capped at the allowed one.
fn capped_criticality(allowed: Criticality, requested: Option<Criticality>) -> Criticality {
    requested.map_or(allowed, |requested| requested.min(allowed))
}

/// Converts a backend server's request to a nested call of the call that it runs.
pub(crate) fn nested_call(
    snapshot: &Snapshot,
    grant: &TokenGrant,
    request: NestedRequest,
    now: Instant,
    wall: SystemTime,
) -> Result<Call, Refusal> {
    let parent = &grant.call;
    let depth = parent.depth + 1;
    if depth > MAX_DEPTH {
        return Err(RefusalKind::TooDeep.into());
    }
    let metadata = request.metadata;
    let route = route_of(snapshot, &metadata, request.method.as_bytes())?;
    let timeout = metadata.timeout.unwrap_or(MAX_TIMEOUT);
    Ok(Call {
        id: rand::random(),
        once: deduplication(&metadata, route, wall),
        organisation: parent.organisation.clone(),
        key: parent.key.clone(),
        request: metadata.request,
        service: metadata.service,
        criticality: capped_criticality(parent.criticality, metadata.criticality),
        idempotent: route.idempotent,
        rank: parent.rank,
        deadline: parent.deadline.min(now + timeout),
        retries: grant.retries,
        depth,
        method: request.method,
        path: metadata.path,
        headers: request.headers,
        body: request.body,
    })
}

/// Returns the deduplication data of a call on a non-idempotent route, if it has a request id.
fn deduplication(
    metadata: &RequestMetadata,
    route: &Route,
    wall: SystemTime,
) -> Option<Deduplication> {
    if route.idempotent || metadata.request.is_none() {
        return None;
    }
    let is_plausible = |tried: &SystemTime| *tried <= wall + MAX_CLOCK_SKEW;
    let tried = match metadata.first_attempt.filter(is_plausible) {
        Some(tried) => tried.checked_sub(MAX_CLOCK_SKEW),
        None => wall.checked_sub(DEDUP_WINDOW),
    };
    Some(Deduplication {
        tried: tried.unwrap_or(SystemTime::UNIX_EPOCH),
        admitted: false,
    })
}
