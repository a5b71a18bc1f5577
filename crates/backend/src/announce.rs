//! What a backend server says about itself.

use std::net::SocketAddr;

use filbertwheel_core::{ServiceId, Status, message};

/// Body of `POST /filbertwheel/announce`, repeated while the backend server runs.
#[message]
pub struct Announcement {
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Where it stands.
    pub status: Status,
    /// Its load from 0 to 1, as it sees it.
    pub load: f64,
}
