//! Positions in the histories of a store that may be restored from an older copy, and of the rules
//! in it.

use filbertwheel_macros::message;

use crate::{Epoch, Revision, Version};

/// Position in a store's history. Revisions are comparable only within an epoch.
#[message]
#[derive(Copy, Eq, PartialOrd, Ord, Hash, Default)]
pub struct StorePosition {
    /// Epoch of the store.
    pub epoch: Epoch,
    /// Revision within the epoch.
    pub revision: Revision,
}

/// Orders rules: those of a later lineage are newer, and within a lineage those with a higher version.
#[message]
#[derive(Copy, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RulesStamp {
    /// Epoch of the store in which operators began anew from an older copy; 0 if they never did.
    pub lineage: Epoch,
    /// Version of the rules; 0 if there are none.
    pub version: Version,
}
