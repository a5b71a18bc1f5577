//! Tests of the configuration store with injected faults.
#![expect(clippy::unwrap_used, reason = "a test may end on the first surprise")]

mod faulty;
mod random;
mod store;
