//! Rank of a call, fixed at its entry.

use filbertwheel_core::{OrganisationId, RequestId};

/// Start of the FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Multiplier of the FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Rank of a request with an id, the same at every entry and for each repeat. It only orders calls
/// of one organisation, so a caller that picks its ids gains nothing on the others.
pub fn shed_rank(organisation: &Option<OrganisationId>, request: &RequestId) -> u32 {
    let organisation_bytes = organisation.iter().flat_map(|name| name.as_bytes());
    let bytes = organisation_bytes.chain(b"/").chain(request.as_bytes());
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    });
    // The upper half is mixed best.
    (mix(hash) >> 32) as u32
}

/// Spreads similar hashes over all ranks.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}
