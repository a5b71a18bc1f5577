//! The shape of a region's tree.
//!
//! A newcomer beats to the root. A parent with enough children sends it on to one of them, so it
//! goes down until there's room. Others aren't moved when a node joins or leaves.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash as _, Hasher as _};

use filbertwheel_core::VmId;

/// Children of one parent.
pub const FANOUT: usize = 8;

/// Parents that a claim passes on its way up.
pub const MAX_CLAIM_HOPS: u8 = 6;

/// Chooses the child to which a newcomer is sent on, by rendezvous hashing.
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
