//! Bounds on retries.

/// Retries that a call and everything below it may spend together.
pub const RETRIES_PER_CALL: u32 = 3;

/// Retries that a success earns.
const EARNED: f64 = 0.1;
/// Retries that can be saved up.
const SAVED: f64 = 10.0;

/// Keeps retries towards one service to a ratio of its successes.
#[derive(Debug, Clone)]
pub struct RetryRatio {
    level: f64,
}

impl RetryRatio {
    /// A ratio with its savings full.
    pub fn full() -> Self {
        Self { level: SAVED }
    }

    /// Takes note of a success.
    pub fn earn(&mut self) {
        self.level = (self.level + EARNED).min(SAVED);
    }

    /// Spends a retry, if there's one.
    pub fn spend(&mut self) -> bool {
        let enough = self.level >= 1.0;
        if enough {
            self.level -= 1.0;
        }
        enough
    }
}
