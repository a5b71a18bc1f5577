//! Pulling newer rules from other nodes.
//!
//! The nodes that watch the store receive new rules from it at the same moment. The others learn of
//! them from their peers and pull them from one peer at a time.

use std::time::{Duration, Instant};

use filbertwheel_core::RulesStamp;

/// How long a node that watches the store waits for it to deliver rules that a peer already has.
const STORE_GRACE_PERIOD: Duration = Duration::from_millis(150);
/// Minimum time between two pulls.
const MIN_PULL_INTERVAL: Duration = Duration::from_millis(250);

/// Decides when a node with outdated rules pulls them from a peer.
#[derive(Debug, Default)]
pub struct RulesCatchup {
    behind: Option<Behind>,
}

#[derive(Debug)]
struct Behind {
    /// Stamp of the node's rules when it learnt of newer ones.
    own: RulesStamp,
    since: Instant,
    last_pull: Option<Instant>,
}

impl RulesCatchup {
    /// Returns whether to pull from a peer whose rules have the stamp `announced`, where those of this
    /// node have the stamp `own`, and it may be watching the store.
    pub fn should_pull(
        &mut self,
        own: RulesStamp,
        announced: RulesStamp,
        watching: bool,
        now: Instant,
    ) -> bool {
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
            // A node without rules can't serve requests, so it pulls at once.
            None => own.version == 0 || !watching || waited(behind.since) >= STORE_GRACE_PERIOD,
        };
        if due {
            behind.last_pull = Some(now);
        }
        due
    }
}
