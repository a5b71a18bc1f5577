//! The shape of a region's tree.
//!
//! A new node sends its heartbeat to the root. A parent with `MAX_CHILDREN` children redirects it to
//! one of them, so it descends until a parent has room. Other nodes are not moved when a node joins
//! or leaves.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash as _, Hasher as _};

use filbertwheel_core::VmId;

/// Maximum number of children of one parent.
pub const MAX_CHILDREN: usize = 8;

/// Maximum number of parents that forward a claim upwards.
pub const MAX_CLAIM_HOPS: u8 = 6;

/// Chooses the child to which a new node is redirected, by rendezvous hashing.
pub fn choose_child<'a>(
    newcomer: &VmId,
    children: impl Iterator<Item = &'a VmId>,
) -> Option<&'a VmId> {
    children
        .filter(|child| *child != newcomer)
        .max_by_key(|child| weight(newcomer, child))
}

fn weight(newcomer: &VmId, child: &VmId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (newcomer, child).hash(&mut hasher);
    hasher.finish()
}
