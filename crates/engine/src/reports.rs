//! Status reports and deregistrations of the backend server on this VM, and their acknowledgement.

use std::time::{Duration, SystemTime};

use filbertwheel_backend::StatusReport;
use filbertwheel_core::{InstanceId, Status};
use filbertwheel_policy::Departure;
use futures_lite::FutureExt as _;

use crate::control::Message;
use crate::engine::Engine;

/// Time within which a departure is acknowledged or not. A backend server waits for a second.
const ACKNOWLEDGEMENT_TIME: Duration = Duration::from_millis(800);

impl Engine {
    /// Records a status report of the backend server on this VM. Returns whether it may be acknowledged:
    /// a departure only once the store holds it.
    pub async fn record_status(&self, report: &StatusReport) -> bool {
        if let Some(state) = self.runner.record_status(report) {
            self.inbox.push_urgent(Message::BackendState(state));
        }
        if report.status < Status::Draining {
            return true;
        }
        let departure = Departure {
            instance: report.instance.clone(),
            until_ms: report.started_ms,
        };
        self.leave(&departure).await
    }

    /// Records that an instance of the backend server is leaving and takes no new requests.
    /// `started_ms` is the start of the life that is meant, in milliseconds since the Unix epoch, if
    /// stated. Returns whether it may be acknowledged.
    pub async fn mark_leaving(&self, instance: &InstanceId, started_ms: Option<u64>) -> bool {
        let wall = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH);
        let now_ms = wall.unwrap_or_default().as_millis() as u64;
        let departure = Departure {
            instance: instance.clone(),
            until_ms: started_ms.unwrap_or(now_ms),
        };
        self.leave(&departure).await
    }

    /// Leaves the lives that depart alone from now on, then waits until the store holds that, for as
    /// long as the backend server waits for an acknowledgement.
    async fn leave(&self, departure: &Departure) -> bool {
        self.runner.mark_leaving(departure);
        let stored = async {
            self.departures.wait_stored(departure).await;
            true
        };
        let late = async {
            self.clock.sleep(ACKNOWLEDGEMENT_TIME).await;
            tracing::warn!(
                backend = %departure.instance,
                "runner: A departure is not acknowledged, because it can't be stored in time."
            );
            self.metrics.unacknowledged.inc();
            false
        };
        stored.or(late).await
    }
}
