//! Choice of the node that owns a request id for deduplication.

use filbertwheel_core::{Call, OrganisationId, RequestId, ServiceId, VmId, value};

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Identifies a caller's request across all its retries.
#[value]
#[derive(PartialOrd, Ord, Hash)]
pub struct RequestKey {
    /// Organisation of the request, or `None` on a route without authentication.
    pub organisation: Option<OrganisationId>,
    /// Service that it addresses.
    pub service: ServiceId,
    /// Request id chosen by the caller.
    pub request: RequestId,
}

impl RequestKey {
    /// Returns the key of a call that must run at most once, or `None` if it is idempotent or its
    /// caller gave no request id.
    pub fn of(call: &Call) -> Option<Self> {
        if call.idempotent {
            return None;
        }
        Some(Self {
            organisation: call.organisation.clone(),
            service: call.service.clone(),
            request: call.request.clone()?,
        })
    }
}

/// Chooses the owner of a request among the VMs of its service by rendezvous hashing, so that
/// adding or removing a VM moves only that VM's requests.
pub fn request_owner<'a>(
    vms: impl IntoIterator<Item = &'a VmId>,
    key: &RequestKey,
) -> Option<&'a VmId> {
    vms.into_iter().max_by_key(|vm| (weight(vm, key), *vm))
}

/// Returns the rendezvous weight of a VM for a key. Unlike the standard library's hashes, it is the
/// same on every build and machine.
fn weight(vm: &VmId, key: &RequestKey) -> u64 {
    let organisation = key.organisation.as_ref();
    let marker = [u8::from(organisation.is_some())];
    let parts = [
        vm.as_bytes(),
        &marker,
        organisation.map_or(&[], |organisation| organisation.as_bytes()),
        key.service.as_bytes(),
        key.request.as_bytes(),
    ];
    let hash = parts.iter().fold(FNV_OFFSET, |hash, part| {
        let length = (part.len() as u64).to_be_bytes();
        let bytes = length.iter().chain(part.iter());
        bytes.fold(hash, |hash, byte| {
            (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
        })
    });
    mix(hash)
}

/// Distributes the last bytes of the input over the whole hash.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
