//! Real engines with fakes at their borders.

mod chain;
mod fleet;
mod keys;
mod once;
