//! The configuration in force on a node and its most recent changes.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::{Change, ConfigError, Configuration, Delta, Version, invariant};

/// Maximum number of changes retained for nodes that lag behind.
const MAX_RECENT_CHANGES: usize = 1_000;

/// The configuration in force and its most recent changes. The version never decreases.
#[derive(Debug, Clone, Default)]
pub struct ConfigLog {
    current: Arc<Configuration>,
    recent: VecDeque<Change>,
}

impl ConfigLog {
    /// Returns the configuration in force.
    pub fn current(&self) -> &Configuration {
        &self.current
    }

    /// Returns a shared snapshot of the configuration in force.
    pub fn snapshot(&self) -> Arc<Configuration> {
        Arc::clone(&self.current)
    }

    /// Returns what a node at `version` needs to catch up.
    pub fn delta_since(&self, version: Version) -> Delta {
        let first = self.recent.front().map(|change| change.version);
        let is_retained = first.is_some_and(|first| first <= version + 1);
        if version >= self.current.version || is_retained {
            let newer = self.recent.iter().filter(|change| change.version > version);
            return Delta::Changes(newer.cloned().collect());
        }
        Delta::Whole(Configuration::clone(&self.current))
    }

    /// Applies the newer parts of a delta. Returns whether the version increased.
    pub fn apply(&mut self, delta: Delta) -> Result<bool, ConfigError> {
        let before = self.current.version;
        let outcome = match delta {
            Delta::Changes(changes) => changes
                .into_iter()
                .try_for_each(|change| self.apply_change(change)),
            Delta::Whole(config) => {
                self.replace(config);
                Ok(())
            }
        };
        let after = self.current.version;
        invariant!(
            "config-never-reverts",
            after >= before,
            "{before} became {after}"
        );
        outcome.map(|()| after > before)
    }

    fn apply_change(&mut self, change: Change) -> Result<(), ConfigError> {
        if change.version <= self.current.version {
            return Ok(());
        }
        Arc::make_mut(&mut self.current).apply(&change)?;
        self.recent.push_back(change);
        if self.recent.len() > MAX_RECENT_CHANGES {
            self.recent.pop_front();
        }
        Ok(())
    }

    fn replace(&mut self, config: Configuration) {
        if config.version > self.current.version {
            self.current = Arc::new(config);
            self.recent.clear();
        }
    }
}
