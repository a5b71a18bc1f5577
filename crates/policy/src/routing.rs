//! Choice of the backend server for a call.

use filbertwheel_core::value;

/// What's known of a backend server that could run a call.
#[value]
pub struct Candidate {
    /// Expected wait in microseconds, as last heard.
    pub wait_us: u64,
    /// Calls that this node has sent to it and that haven't ended.
    pub pending: u32,
    /// Whether it's in this node's failure domain.
    pub near: bool,
}

/// Extra wait in microseconds at which a call leaves its failure domain.
const DOMAIN_PENALTY_US: u64 = 2_000;

/// Chooses the better of two candidates drawn at random. `draw` returns a number below its
/// argument.
pub fn choose(candidates: &[Candidate], mut draw: impl FnMut(usize) -> usize) -> Option<usize> {
    match candidates.len() {
        0 => None,
        1 => Some(0),
        count => {
            let first = draw(count);
            let second = (first + 1 + draw(count - 1)) % count;
            let better = if candidates[second].cost() < candidates[first].cost() {
                second
            } else {
                first
            };
            Some(better)
        }
    }
}

impl Candidate {
    fn cost(&self) -> (u64, u32) {
        let penalty = if self.near { 0 } else { DOMAIN_PENALTY_US };
        (self.wait_us + penalty, self.pending)
    }
}
