//! Real engines with fakes at their borders.

mod chain;
mod dedup;
mod fleet;
mod keys;
