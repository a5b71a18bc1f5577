//! Positions in the history of a store that may be restored from an older copy.

use filbertwheel_macros::message;

use crate::{Epoch, Revision};

/// Position in a store's history. Revisions are comparable only within an epoch.
#[message]
#[derive(Copy, Eq, Default)]
pub struct StorePosition {
    /// Epoch of the store.
    pub epoch: Epoch,
    /// Revision within the epoch.
    pub revision: Revision,
}
