//! Scraping nodes for a while.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use derive_more::{Display, Error};
use filbertwheel_core::{Clock, value};
use filbertwheel_http::{Limits, Pool, Request, SendError};

use crate::Scrape;

/// Time that one scrape may take.
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a node can't be scraped.
#[value]
#[derive(Display, Error)]
pub enum CollectError {
    /// The node didn't answer.
    #[display("{node}: {source}")]
    Request {
        /// Operator address of the node.
        node: SocketAddr,
        /// What went wrong.
        source: SendError,
    },
    /// The node answered with something else than its metrics.
    #[display("{node}: no metrics, but status {status}")]
    Status {
        /// Operator address of the node.
        node: SocketAddr,
        /// Status of the answer.
        status: u16,
    },
    /// The metrics aren't text.
    #[display("{node}: the metrics are not UTF-8")]
    Encoding {
        /// Operator address of the node.
        node: SocketAddr,
    },
}

/// Scrapes nodes every `interval` until `span` has passed. A node that fails is left out of a
/// round, and `on_error` is told.
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
