//! Communication between a node and its backend server, in both directions.
//!
//! Only the node beside a backend server sends requests to it. The backend server announces itself
//! at the node's local endpoint and calls other services through it.

mod announce;
mod client;
mod endpoint;
mod server;

pub use announce::Announcement;
pub use client::{
    BackendClient, BackendConnector, BackendError, BackendReply, HttpBackendClient, HttpConnector,
};
pub use endpoint::{BackendEndpoint, BackendHandler, NestedRequest};
pub use server::{
    BackendInstance, InstanceConnector, InstanceReply, ResponseNotice, StatedLimit, StatedLoad,
    StatusReport,
};
