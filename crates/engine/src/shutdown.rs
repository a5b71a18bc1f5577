//! Steps of a node's graceful shutdown.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertwheel_core::Clock;
use filbertwheel_http::ShutdownTrigger;
use filbertwheel_policy::StopWindow;

use crate::traffic::TrafficThread;

/// How long a stopping node keeps accepting all requests, so that callers notice in time that it is
/// not ready. It is shortened to half the grace period if that is less.
const DRAIN_NOTICE: Duration = Duration::from_millis(2_600);
/// Percentage of the grace period after which a stopping node closes its connections. The rest of
/// the period is for the return of its portions and the last messages.
const GRACE_PERCENT: u32 = 93;

/// Returns the times of a stop that begins at `now` and may take the time `grace`.
pub(crate) fn stop_window(grace: Duration, now: Instant) -> StopWindow {
    StopWindow {
        noticed: now + DRAIN_NOTICE.min(grace / 2),
        closes: now + grace * GRACE_PERCENT / 100,
    }
}

/// Answers the requests that are still unanswered shortly before the connections close.
pub(crate) async fn end_requests(
    ending: ShutdownTrigger,
    clock: Arc<dyn Clock>,
    window: StopWindow,
) {
    clock.sleep(window.left_to_run(clock.now())).await;
    ending.trigger();
}

/// Waits until the last connection has ended, or the connections close.
pub(crate) async fn join_threads(
    threads: Vec<TrafficThread>,
    clock: &dyn Clock,
    window: StopWindow,
) {
    let ended = async {
        for thread in threads {
            thread.join().await;
        }
    };
    let late = async {
        clock.sleep(window.left(clock.now())).await;
        tracing::warn!("node: Connections were still open at the end of the grace period.");
    };
    smol::future::or(ended, late).await;
}
