//! Load on the overload policy: a model run over the real decisions, and its report.

pub mod model;
