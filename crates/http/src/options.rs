//! How a client sends one request, and why it has no response.

use std::time::{Duration, Instant};

use derive_more::{Display, Error};
use filbertwheel_core::{Text, copy_value, value};

/// What to do with a request whose connection is stalled while new connections succeed.
#[copy_value]
pub enum StallPolicy {
    /// Wait until the deadline, for requests that are not safe to retry.
    Wait,
    /// Close the connection and leave a retry to the caller.
    Abort,
    /// Do not probe; rely on the TCP keepalive of the operating system.
    Ignore,
}

/// Options for sending one request.
#[value]
pub struct SendOptions {
    /// Deadline for the response.
    pub deadline: Instant,
    /// What to do when the connection stalls.
    pub on_stall: StallPolicy,
    /// Maximum idle time of a reused connection.
    pub idle: Duration,
    /// Name and value of a header that the response must echo. A response with another value
    /// belongs to another request and is discarded. One without the header is taken for the
    /// response only on a new connection: on a reused one it may belong to an earlier request.
    pub echo: Option<(&'static str, Text)>,
    /// Header that tells the server how much time it has, if any.
    pub time_left: Option<TimeLeft>,
}

/// A header that states the time left in milliseconds when the request is sent.
#[copy_value]
pub struct TimeLeft {
    /// Name of the header.
    pub header: &'static str,
    /// When the server has to end its work.
    pub until: Instant,
}

impl SendOptions {
    /// Default options, with a deadline.
    pub fn until(deadline: Instant) -> Self {
        Self {
            deadline,
            on_stall: StallPolicy::Wait,
            idle: Duration::MAX,
            echo: None,
            time_left: None,
        }
    }
}

/// Error of a request that has no complete response.
#[copy_value]
#[derive(Display, Error)]
pub enum SendError {
    /// No byte of the request was sent.
    #[display("the server is unreachable")]
    NotSent,
    /// The request cannot be represented in HTTP.
    #[display("the request cannot be encoded")]
    Unencodable,
    /// The connection was lost after the request was sent.
    #[display("the connection was lost")]
    Lost,
    /// The deadline passed after the request was sent.
    #[display("the response did not arrive before the deadline")]
    Late,
    /// The response was truncated or malformed.
    #[display("the response was truncated or malformed")]
    Broken,
}

impl SendError {
    /// Whether the server cannot have received the request.
    pub fn is_unsent(self) -> bool {
        matches!(self, Self::NotSent | Self::Unencodable)
    }
}
