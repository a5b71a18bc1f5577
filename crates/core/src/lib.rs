//! The vocabulary that every package of filbertwheel shares.
//!
//! Ids, time, calls and their answers, the configuration document, members of the fleet, and
//! settings. Nothing here does I/O except reading a settings file.

mod attempt;
mod call;
mod clock;
mod config;
mod config_diff;
mod config_log;
mod control;
mod ids;
mod invariant;
mod logging;
mod member;
mod proof;
mod rules;
mod settings;
mod text;

pub use attempt::Attempt;
pub use call::{
    Answer, Call, Criticality, CutOff, Doubt, Failure, Header, Method, Once, Refusal, RefusalKind,
    Verdict,
};
pub use clock::{Clock, PausedClock, Sleep, SystemClock};
pub use config::{Change, ConfigError, Configuration, Edit, Key, Organisation, Rate, Route};
pub use config_diff::Difference;
pub use config_log::ConfigLog;
pub use control::{Beat, Claim, Delta, Demand, Grant, Pulse, Share, Tokens};
pub use filbertwheel_macros::{message, settings, token, value};
pub use ids::{
    BackendId, CallId, CommandId, DomainId, Fence, Incarnation, KeyHash, OrganisationId, Priority,
    RegionId, RequestId, RouteId, ServiceId, Version, VmId,
};
pub use invariant::{InvariantReport, broken_invariants, report_invariant};
pub use logging::{LogFormat, init_json_logging, init_logging};
pub use member::{Member, Status};
pub use proof::{FleetSecret, Proof, ProofError, hash_key};
pub use rules::{Bounds, Path, Rank, Rules, Target, Terms};
pub use settings::{BadValue, SettingsError, SettingsFault, load_settings};
pub use text::Text;
