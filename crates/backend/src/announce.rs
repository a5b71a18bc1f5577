//! Announcements of backend servers.

use std::net::SocketAddr;

use filbertwheel_core::{ServiceId, Status, message};

/// Body of `POST /filbertwheel/announce`, which a backend server sends repeatedly while it runs.
#[message]
pub struct Announcement {
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Stage of its life cycle.
    pub status: Status,
    /// Its own estimate of its load, from 0 to 1.
    pub load: f64,
}
