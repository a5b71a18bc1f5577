//! When a node asks others for rules that are newer than its own.
//!
//! Most nodes get new rules from the store at the same moment. One that can't reach it hears of
//! them from the others, and asks one of them at a time.

use std::time::{Duration, Instant};

use filbertwheel_core::Version;

/// How long the store may take to deliver rules that others have.
const STORE_GRACE_PERIOD: Duration = Duration::from_millis(150);
/// Time between two asks.
const MIN_PULL_INTERVAL: Duration = Duration::from_millis(250);

/// What a node knows of being behind.
#[derive(Debug, Default)]
pub struct RulesCatchup {
    behind: Option<Behind>,
}

#[derive(Debug)]
struct Behind {
    /// The version that the node had when it heard of a newer one.
    own: Version,
    since: Instant,
    last_pull: Option<Instant>,
}

impl RulesCatchup {
    /// Whether to ask a node that has version `told`, where this one has `own`.
    pub fn should_pull(&mut self, own: Version, announced: Version, now: Instant) -> bool {
        if announced <= own {
            return false;
        }
        let behind = match &mut self.behind {
            Some(behind) if behind.own == own => behind,
            other => other.insert(Behind {
                own,
                since: now,
                last_pull: None,
            }),
        };
        let waited = |since: Instant| now.saturating_duration_since(since);
        let due = match behind.last_pull {
            Some(last_pull) => waited(last_pull) >= MIN_PULL_INTERVAL,
            // A node without any rules can't serve, so it doesn't wait.
            None => own == 0 || waited(behind.since) >= STORE_GRACE_PERIOD,
        };
        if due {
            behind.last_pull = Some(now);
        }
        due
    }
}
