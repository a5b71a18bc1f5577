//! Types shared by all packages of filbertwheel.
//!
//! Covers ids, clocks, calls and their outcomes, the configuration document, fleet members,
//! settings and logging. The only I/O here is reading settings files and writing logs.

mod answer_time;
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
mod notice;
mod position;
mod program;
mod rules;
mod settings;
mod signature;
mod text;

pub use answer_time::{ANSWER_TIME, VERDICT_TIME, answer_deadline, verdict_deadline};
pub use attempt::Attempt;
pub use call::{
    Answer, Call, Criticality, CutOff, Deduplication, Failure, Header, Method, Refusal,
    RefusalKind, UnknownReason, Verdict, is_final_status,
};
pub use clock::{Clock, PausedClock, SleepFuture, SystemClock};
pub use config::{Change, ConfigError, Configuration, Edit, Key, Organisation, Rate, Route};
pub use config_diff::Difference;
pub use config_log::ConfigLog;
pub use control::{Claim, Delta, Demand, Grant, Heartbeat, HeartbeatReply, Share, Tokens};
pub use filbertwheel_macros::{copy_value, message, settings, value};
pub use ids::{
    CallId, CommandId, DomainId, Epoch, Fence, Incarnation, InstanceId, KeyHash, OrganisationId,
    Priority, RegionId, RequestId, Revision, RouteId, ServiceId, Version, VmId,
};
pub use invariant::{InvariantReport, broken_invariants, report_invariant};
pub use logging::{LogFormat, init_json_logging, init_logging};
pub use member::{Member, Status};
pub use notice::{InstanceNotice, RequestRate};
pub use position::{RulesStamp, StorePosition};
pub use program::{EXIT_USAGE, run_program};
pub use rules::{
    OrganisationPolicy, Rank, RequestLimits, RouteRule, Rules, ServicePolicy, Target, Warmup,
};
pub use settings::{InvalidValue, SettingsError, SettingsFault, load_settings};
pub use signature::{FleetSecret, Signature, SignatureError, sha256_hex};
pub use text::Text;
