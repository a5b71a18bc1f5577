//! A simulated backend server for the project's own interface, with fault injection. For tests and
//! demonstrations only. The stand-ins for the platform are in `platform/standin`.

mod backend;

pub use backend::{BackendOptions, BackendStandin, InjectedFaults};
