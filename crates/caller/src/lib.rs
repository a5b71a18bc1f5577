//! Callers: the front door of a node.
//!
//! Requests come in with a key over HTTP and leave with a whole answer or a typed refusal. The
//! key goes no further than this package's border.

mod endpoint;

pub use endpoint::{CallerEndpoint, CallerHandler, CallerRequest};
