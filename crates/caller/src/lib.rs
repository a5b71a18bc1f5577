//! The endpoint of a node for callers.
//!
//! Callers send HTTP requests with a key and get a complete response or a typed refusal. The key
//! itself never leaves this package; only its hash is passed on.

mod endpoint;

pub use endpoint::{CallerEndpoint, CallerHandler, CallerRequest};
