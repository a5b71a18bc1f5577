//! Scrapes the metrics of nodes at regular intervals.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use derive_more::{Display, Error};
use filbertwheel_core::{Clock, value};
use filbertwheel_http::{Limits, Pool, Request, SendError};

use crate::Scrape;

/// Timeout of one scrape.
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a scrape of a node failed.
#[value]
#[derive(Display, Error)]
pub enum CollectError {
    /// The HTTP request failed.
    #[display("{node}: {source}")]
    Request {
        /// Operator address of the node.
        node: SocketAddr,
        /// Cause of the failure.
        source: SendError,
    },
    /// The node responded with a status other than 200.
    #[display("{node}: metrics request failed with status {status}")]
    Status {
        /// Operator address of the node.
        node: SocketAddr,
        /// Status of the response.
        status: u16,
    },
    /// The metrics are not UTF-8.
    #[display("{node}: the metrics are not UTF-8")]
    Encoding {
        /// Operator address of the node.
        node: SocketAddr,
    },
}

/// Scrapes each node every `interval` until `span` has passed. A failed scrape is passed to
/// `on_error` and skipped.
pub async fn collect_scrapes(
    nodes: &[SocketAddr],
    (interval, span): (Duration, Duration),
    clock: &Arc<dyn Clock>,
    on_error: impl Fn(&CollectError),
) -> Vec<Scrape> {
    let open = |node: &SocketAddr| Pool::open(*node, Limits::default(), Arc::clone(clock));
    let pools: Vec<Pool> = nodes.iter().map(open).collect();
    let end = clock.now() + span;
    let mut scrapes = Vec::new();
    loop {
        for pool in &pools {
            match scrape(pool, clock.as_ref()).await {
                Ok(scrape) => scrapes.push(scrape),
                Err(error) => on_error(&error),
            }
        }
        if clock.now() + interval > end {
            return scrapes;
        }
        clock.sleep(interval).await;
    }
}

async fn scrape(pool: &Pool, clock: &dyn Clock) -> Result<Scrape, CollectError> {
    let node = pool.address();
    let deadline = clock.now() + SCRAPE_TIMEOUT;
    let response = pool.exchange(Request::get("/metrics"), deadline).await;
    let response = response.map_err(|source| CollectError::Request { node, source })?;
    if response.status != 200 {
        let status = response.status;
        return Err(CollectError::Status { node, status });
    }
    let text = String::from_utf8(response.body.to_vec());
    let elapsed = clock.wall().duration_since(SystemTime::UNIX_EPOCH);
    Ok(Scrape {
        node: node.to_string(),
        at: elapsed.unwrap_or_default(),
        text: text.map_err(|_| CollectError::Encoding { node })?,
    })
}
