//! Tests of engines with a fake network and fake backend servers.

mod chain;
mod dedup;
mod fleet;
mod keys;
