//! A discrete-event run of calls through queueing servers, with the real admission, routing,
//! retry and cut-off decisions. There are no sockets, and time is that of the trace.

mod arrivals;
mod fleet;
mod plot;
mod policy;
mod profile;
mod report;
mod server;
mod situation;
mod tally;
mod world;

pub use policy::Policy;
pub use profile::{Profile, RouteSpec, ServiceSpec};
pub use report::{Report, Sample, html};
pub use situation::Situation;
pub use world::{Setup, run};
