//! JSON-RPC between filbertwheel's own processes, as signed HTTP exchanges.
//!
//! `jsonrpsee` gives the messages and the method table; its servers and clients need another
//! runtime than ours and stay unused.

mod auth;
mod client;
mod server;

pub use auth::RequestAuth;
pub use client::{RpcClient, RpcError};
pub use server::{dispatch, method_error, parse_param};

/// Path of JSON-RPC requests.
pub const RPC_PATH: &str = "/rpc";
