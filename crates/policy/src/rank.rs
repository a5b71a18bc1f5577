//! Shed rank of a request, fixed at the entry node.

use filbertwheel_core::{OrganisationId, RequestId};

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the rank of a request id, which is the same at every entry node and for every retry. It
/// only orders calls of one organisation, so a caller that chooses its ids gains no advantage over
/// other organisations.
pub fn shed_rank(organisation: &Option<OrganisationId>, request: &RequestId) -> u32 {
    let organisation_bytes = organisation.iter().flat_map(|name| name.as_bytes());
    let bytes = organisation_bytes.chain(b"/").chain(request.as_bytes());
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    });
    // The upper bits are mixed best.
    (mix(hash) >> 32) as u32
}

/// Distributes similar hashes over all ranks.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}
