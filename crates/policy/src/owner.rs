//! Choice of the node that owns a request id for deduplication.

use filbertwheel_core::{Call, OrganisationId, RequestId, ServiceId, VmId, value};

use crate::rendezvous;

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

/// Returns the rendezvous weight of a VM for a key.
fn weight(vm: &VmId, key: &RequestKey) -> u64 {
    let organisation = key.organisation.as_ref();
    let marker = [u8::from(organisation.is_some())];
    rendezvous::weight(&[
        vm.as_bytes(),
        &marker,
        organisation.map_or(&[], |organisation| organisation.as_bytes()),
        key.service.as_bytes(),
        key.request.as_bytes(),
    ])
}
