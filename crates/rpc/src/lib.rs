//! JSON-RPC between filbertwheel's own processes, as signed HTTP exchanges.
//!
//! `jsonrpsee` gives the messages and the method table; its servers and clients need another
//! runtime than ours and stay unused.

mod client;
mod guard;
mod server;

pub use client::{AskError, RpcClient};
pub use guard::Guard;
pub use server::{answer, argument, reject};

/// Path of JSON-RPC requests.
pub const RPC_PATH: &str = "/rpc";
