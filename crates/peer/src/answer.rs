//! Answers that other nodes have sent.

use filbertwheel_core::{Answer, UnknownReason, Verdict};

/// Returns the verdict for an answer from another node. An answer that no response can carry is broken.
pub(crate) fn received_answer(answer: Answer) -> Verdict {
    if answer.is_valid() {
        Ok(answer)
    } else {
        Err(UnknownReason::Broken.into())
    }
}
