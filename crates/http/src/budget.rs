//! Memory that bodies may take together: those being received from one server, or those of the requests
//! of one listener.

use std::sync::atomic::{AtomicUsize, Ordering};

use crate::MessageError;

/// Size up to which a body counts as small. Small bodies are always received, so that they are
/// unharmed by large ones.
const SMALL_BODY_BYTES: usize = 64 * 1024;

/// Bytes of the large bodies that are held.
#[derive(Debug, Default)]
pub(crate) struct ReceiveBudget(AtomicUsize);

impl ReceiveBudget {
    /// Returns the bytes of the large bodies that are held.
    pub fn held(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Limits of one body, and the part of the budget that it holds.
#[derive(Debug)]
pub(crate) struct BodyLimit<'a> {
    bytes: usize,
    /// The budget and its total, in bytes.
    budget: Option<(&'a ReceiveBudget, usize)>,
    held: usize,
}

impl<'a> BodyLimit<'a> {
    /// Creates the limit of a body of up to `bytes` bytes.
    pub fn open(bytes: usize) -> Self {
        Self {
            bytes,
            budget: None,
            held: 0,
        }
    }

    /// Adds a budget of `total` bytes that the body shares with others.
    pub fn with_budget(self, budget: &'a ReceiveBudget, total: usize) -> Self {
        Self {
            budget: Some((budget, total)),
            ..self
        }
    }

    /// Returns whether a body of this size may be received.
    pub fn allows(&self, bytes: usize) -> bool {
        bytes <= self.bytes
    }

    /// Checks that a body of a stated length may be received now.
    pub fn check_length(&self, bytes: usize) -> Result<(), MessageError> {
        if !self.allows(bytes) {
            return Err(MessageError::BodyTooLarge);
        }
        match self.budget {
            Some((budget, total)) if bytes > SMALL_BODY_BYTES => {
                let fits = budget.held().saturating_add(bytes) <= total;
                fits.then_some(()).ok_or(MessageError::NoMemory)
            }
            _ => Ok(()),
        }
    }

    /// Makes room for a body of which `bytes` bytes have been received.
    pub fn grow(&mut self, bytes: usize) -> Result<(), MessageError> {
        if !self.allows(bytes) {
            return Err(MessageError::BodyTooLarge);
        }
        let Some((budget, total)) = self.budget else {
            return Ok(());
        };
        if bytes <= SMALL_BODY_BYTES.max(self.held) {
            return Ok(());
        }
        let more = bytes - self.held;
        let used = budget.0.fetch_add(more, Ordering::Relaxed);
        self.held = bytes;
        if used + more > total {
            return Err(MessageError::NoMemory);
        }
        Ok(())
    }
}

impl Drop for BodyLimit<'_> {
    fn drop(&mut self) {
        if let Some((budget, _)) = self.budget {
            budget.0.fetch_sub(self.held, Ordering::Relaxed);
        }
    }
}
