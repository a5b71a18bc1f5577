//! Backend servers: what the node sends to its own, and what that one sends to its node.
//!
//! Only the node beside a backend server sends to it. The backend server announces itself at the
//! node's local door, and makes its calls to other services there.

mod announce;
mod client;
mod endpoint;
mod server;

pub use announce::Announcement;
pub use client::{
    BackendClient, BackendConnector, BackendError, BackendReply, HttpBackendClient, HttpConnector,
};
pub use endpoint::{BackendEndpoint, BackendHandler, NestedRequest};
pub use server::{BackendInstance, InstanceConnector, StatusReport};
