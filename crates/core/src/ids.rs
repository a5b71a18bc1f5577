//! Type aliases for ids and version numbers.

use crate::Text;

/// Name of an organisation, unique in the fleet.
pub type OrganisationId = Text;

/// Name of a service, the first segment of a caller's path.
pub type ServiceId = Text;

/// Name of a VM, unique in the fleet and stable over restarts.
pub type VmId = Text;

/// Name of a failure domain.
pub type DomainId = Text;

/// Name of a region.
pub type RegionId = Text;

/// Id that a caller chooses for a request; retries carry the same id.
pub type RequestId = Text;

/// Id of an operator's command, used to recognise retries of it.
pub type CommandId = Text;

/// SHA-256 hash of a key in lower-case hex.
pub type KeyHash = Text;

/// Id of a call, unique in the fleet.
pub type CallId = u128;

/// Version of the configuration. Each change increments it by one.
pub type Version = u64;

/// Position in a store's history of writes.
pub type Revision = u64;

/// Number of a store's history. Each restore of the store from an older copy begins the next one, in
/// which revisions of the earlier history are given out again.
pub type Epoch = u64;

/// Distinguishes runs of a process on the same VM. Later runs have larger numbers.
pub type Incarnation = u64;

/// Fencing token of a lease. Each new holder gets a larger one.
pub type Fence = u64;

/// Name of a route.
pub type RouteId = Text;

/// Id of one instance of a backend server: one run of it between start and exit.
pub type InstanceId = Text;

/// Priority of a route or an organisation. 0 is the highest.
pub type Priority = u32;
