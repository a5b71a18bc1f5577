//! Burn rates of service-level objectives: how fast the error budgets of services and organisations
//! are spent.
//!
//! The input is scrapes of the nodes' metrics; the output is a report in text, JSON or HTML.

mod collect;
mod html;
mod report;
mod sample;
mod settings;
mod text;

pub use collect::{CollectError, collect_scrapes};
pub use html::html_report;
pub use report::{ObjectiveReport, Point, Report, WindowBurn, build_report};
pub use sample::{History, SampleError, Scrape};
pub use settings::{BurnSettings, Objective, ObjectiveKind, Window};
pub use text::text_report;
