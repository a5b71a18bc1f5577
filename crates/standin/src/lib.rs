//! Small stand-ins for the platform's services and for backend servers, with controls for faults.
//! For tests and demonstrations only.

mod backend;
mod platform;

pub use backend::{BackendFault, BackendOptions, BackendStandin};
pub use platform::{PlatformFault, PlatformStandin};
