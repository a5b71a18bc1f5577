//! Aliases for everything that's identified.

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

/// A caller's own id for a request; a repeat carries the same one.
pub type RequestId = Text;

/// The id that an operator's command carries, so that a retry of it is recognised.
pub type CommandId = Text;

/// SHA-256 of a key, in lower-case hex.
pub type KeyHash = Text;

/// Identifies one call within the fleet.
pub type CallId = u128;

/// Version of the configuration; each change adds one.
pub type Version = u64;

/// Tells the runs of a process on one VM apart; a later run has a larger number.
pub type Incarnation = u64;

/// Fencing number of a lease; each new holder has a larger one.
pub type Fence = u64;

/// Name of a route.
pub type RouteId = Text;

/// Name of one life of a backend server.
pub type InstanceId = Text;

/// Rank of a route or an organisation; 0 is the highest.
pub type Priority = u32;
