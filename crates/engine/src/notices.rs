//! What the local backend server states about itself, with the time and the source.

use std::time::Instant;

use filbertwheel_backend::{ResponseNotice, StatedLimit};
use filbertwheel_core::{InstanceId, RequestRate};

/// One life of a backend server: its instance id, and its start in milliseconds since the Unix
/// epoch, because a backend server may start again under the id that it had.
pub(crate) type Life = (InstanceId, u64);

/// What one life of the backend server has stated about itself.
#[derive(Debug, Clone)]
pub(crate) struct Notices {
    life: Life,
    limit: Option<RequestRate>,
    leaving: bool,
    /// When the backend server stated this; `None` before its first response.
    heard: Option<Instant>,
    /// Whether the last limit could not be read.
    malformed: bool,
}

impl Notices {
    /// Creates the state of a life that has stated nothing yet.
    pub fn open(life: Life) -> Self {
        Self {
            life,
            limit: None,
            leaving: false,
            heard: None,
            malformed: false,
        }
    }

    /// Returns the limit in force, in requests per second.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit
    }

    /// Applies what a response states. Returns whether the backend server states for the first time
    /// that it is leaving.
    pub fn record(&mut self, notice: ResponseNotice, now: Instant) -> bool {
        self.heard = Some(now);
        self.record_limit(notice.limit);
        let begins_leaving = notice.leaving && !self.leaving;
        self.leaving |= notice.leaving;
        if begins_leaving {
            tracing::info!(
                backend = %self.life.0,
                "runner: The backend server states in a response that it is leaving."
            );
        }
        begins_leaving
    }

    fn record_limit(&mut self, stated: StatedLimit) {
        let limit = match stated {
            StatedLimit::None => None,
            StatedLimit::Rate(rate) => Some(rate),
            StatedLimit::Malformed => {
                if !self.malformed {
                    tracing::warn!(
                        backend = %self.life.0,
                        limit = self.limit,
                        "runner: The request limit in a response can't be read; the earlier one stays."
                    );
                }
                self.malformed = true;
                return;
            }
        };
        self.malformed = false;
        match limit {
            Some(rate) if self.limit != limit => tracing::info!(
                backend = %self.life.0,
                limit = rate,
                before = self.limit,
                source = "response",
                "runner: The backend server states a request limit."
            ),
            None if self.limit.is_some() => tracing::info!(
                backend = %self.life.0,
                before = self.limit,
                "runner: The backend server no longer states a request limit."
            ),
            _ => {}
        }
        self.limit = limit;
    }
}
