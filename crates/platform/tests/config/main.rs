//! Tests of the configuration store with injected faults.
#![expect(
    clippy::unwrap_used,
    reason = "a test may panic on an unexpected error"
)]

mod faulty;
mod random;
mod store;
