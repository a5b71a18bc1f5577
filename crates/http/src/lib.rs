//! HTTP/1.1 plumbing for the packages that speak it: whole messages in, whole messages out.
//!
//! The codec comes from `async-h1`. This package adds the checks that the codec leaves out, the
//! time limits and the connection pool.

mod client;
mod limits;
mod message;
pub mod names;
mod parse;
mod server;
mod stop;
mod verdict;
mod wire;

pub use client::{OnSilence, Pool, SendError};
pub use limits::Limits;
pub use message::{Fault, Request, Response};
pub use parse::{Particulars, passed_headers};
pub use server::{Handler, Listener, LocalFuture};
pub use stop::{Stop, Stopper};
pub use verdict::{refusal_of, respond};
pub use wire::Wire;
