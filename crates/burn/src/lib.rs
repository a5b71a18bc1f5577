//! Service-level burn: how fast the error budgets of services and organisations are spent.
//!
//! Scrapes of the nodes' metrics go in; a report in text, JSON or HTML comes out.

mod collect;
mod page;
mod report;
mod sample;
mod settings;
mod text;

pub use collect::{CollectError, collect};
pub use page::page;
pub use report::{Burn, Line, Point, Report, report};
pub use sample::{History, SampleError, Scrape};
pub use settings::{BurnSettings, Kind, Objective, Window};
pub use text::text;
