//! JSON-RPC over signed HTTP requests between the processes of filbertwheel.
//!
//! The message types and the method table are from `jsonrpsee`. Its servers and clients aren't
//! used, because they need a different async runtime.

mod auth;
mod client;
mod server;

pub use auth::RequestAuth;
pub use client::{RpcClient, RpcError};
pub use server::{dispatch, method_error, parse_param};

/// Path of JSON-RPC requests.
pub const RPC_PATH: &str = "/rpc";
