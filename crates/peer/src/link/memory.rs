//! Memory for large calls that other nodes send.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use super::frame::MAX_FRAME_BYTES;

/// Size in bytes up to which a call counts as small. Small calls are always taken.
const SMALL_CALL_BYTES: usize = 64 * 1024;
/// Maximum size, in bytes, of all large calls that arrive or run. The largest one fits.
const TOTAL_BYTES: usize = MAX_FRAME_BYTES;

/// Memory for the large calls on all links that other nodes have opened.
#[derive(Debug, Clone, Default)]
pub(crate) struct CallMemory(Arc<AtomicUsize>);

/// Part of that memory, which is free again when this is dropped.
#[derive(Debug)]
pub(crate) struct HeldMemory {
    memory: CallMemory,
    bytes: usize,
}

impl CallMemory {
    /// Returns whether a frame of this size needs a part of the memory.
    pub fn is_large(bytes: usize) -> bool {
        bytes > SMALL_CALL_BYTES
    }

    /// Takes a part of the memory, if that much is free.
    pub fn take(&self, bytes: usize) -> Option<HeldMemory> {
        let held = HeldMemory {
            memory: self.clone(),
            bytes,
        };
        let used = self.0.fetch_add(bytes, Ordering::Relaxed);
        (used + bytes <= TOTAL_BYTES).then_some(held)
    }

    /// Returns the bytes that are taken.
    pub fn held(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.memory.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
