//! Sums over the fleet: how fresh they are at each node, that nothing counts twice, and what the
//! messages cost, in a simulated network that delays, loses and reorders messages.

mod failures;
mod freshness;
mod network;
mod watchers;
mod ways;
