//! A discrete-event simulation of calls between queueing backend servers. Admission, routing,
//! retries and cut-offs are decided by the production policies; sockets and the clock are simulated.

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
