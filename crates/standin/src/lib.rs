//! A small stand-in for backend servers of the project's own interface, with controls for faults.
//! For tests and demonstrations only. The platform's stand-in is `platform/standin`.

mod backend;

pub use backend::{BackendOptions, BackendStandin, InjectedFaults};
