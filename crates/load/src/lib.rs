//! A simulation of overload that uses the production policies, and its report.

pub mod model;
