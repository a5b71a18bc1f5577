//! The syntax tree of a scenario, which has one statement per line.

use std::time::Duration;

use filbertwheel_core::{DomainId, OrganisationId, RequestId, ServiceId, copy_value, value};

/// Number of a VM in a scenario, counted from 1.
pub type VmNumber = u16;

/// A statement and its line.
#[value]
pub struct Step {
    /// Line number, counted from 1.
    pub line: usize,
    /// The statement to run.
    pub statement: Statement,
}

/// One statement.
#[value]
pub enum Statement {
    /// Starts the platform's stand-in.
    StartPlatform,
    /// Starts a backend server and its node.
    StartVm(VmPlan),
    /// Restarts a part of a VM.
    Restart(Part, VmNumber),
    /// Applies an action to a part of a VM.
    Signal(Action, Part, VmNumber),
    /// Waits until each of the VMs is serving.
    AwaitServing(Vec<VmNumber>, Duration),
    /// Waits until one of the VMs is the root.
    AwaitRoot(Vec<VmNumber>, Duration),
    /// Checks that a node follows another node as its root within a time.
    ExpectFollows(VmNumber, Duration),
    /// Waits for a fixed time.
    Pause(Duration),
    /// Runs an operator's command.
    Operator {
        /// The VM whose node receives the command.
        vm: VmNumber,
        /// Whether the command must fail.
        fails: bool,
        /// The command.
        command: String,
    },
    /// Runs a command at several nodes concurrently. `{n}` in the command is replaced by a number
    /// that is different in each run.
    Race {
        /// Number of rounds, each with one run per VM.
        rounds: u32,
        /// The VMs whose nodes receive the command.
        vms: Vec<VmNumber>,
        /// The command.
        command: String,
    },
    /// Creates an API key.
    Key {
        /// The organisation that the key belongs to.
        organisation: OrganisationId,
        /// Name of the key in the scenario.
        name: String,
    },
    /// Sends calls and waits until all of them complete.
    Send(SendPlan),
    /// Sends calls in the background.
    Load(LoadPlan),
    /// Sets the faults of the platform's stand-in.
    SetPlatform(PlatformState),
    /// Sets the faults of a backend server.
    SetBackend(VmNumber, BackendState),
    /// Sets the state of the link between two nodes.
    SetLink(VmNumber, VmNumber, LinkState),
    /// Waits until a load ends and checks the outcomes of its calls.
    ExpectLoad(String, Vec<Bound>),
    /// Checks how often a request ran in total on all backend servers.
    ExpectRuns(RequestId, Limit),
    /// Checks that no node has reported a broken invariant.
    ExpectInvariants,
    /// Checks the reply to an operator's query.
    ExpectShow {
        /// The VM whose node receives the query.
        vm: VmNumber,
        /// The text to search for in the reply.
        text: String,
        /// Whether the text must be present or absent.
        present: bool,
        /// Time limit.
        within: Duration,
        /// The query.
        command: String,
    },
    /// Checks that all running nodes show the same configuration within a time.
    ExpectAgreement(Duration),
}

/// A VM to start.
#[value]
pub struct VmPlan {
    /// Number of the VM.
    pub vm: VmNumber,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Service of its backend server.
    pub service: ServiceId,
    /// Number of requests that the backend server runs concurrently.
    pub slots: u32,
    /// Processing time of a request.
    pub work: Duration,
    /// How long the backend server continues to serve after it is told to stop.
    pub grace: Duration,
    /// How long the backend server is slow after its start.
    pub cold: Duration,
    /// Services that each request calls.
    pub calls: Vec<ServiceId>,
}

/// A part of a VM.
#[copy_value]
pub enum Part {
    /// The node alone.
    Node,
    /// The backend server alone.
    Backend,
    /// Both.
    Vm,
}

/// An action on a process.
#[copy_value]
pub enum Action {
    /// Kills the process.
    Kill,
    /// Suspends the process until it is thawed.
    Freeze,
    /// Resumes the process.
    Thaw,
    /// Tells the process to stop and waits until it exits.
    Drain,
    /// Tells the process to stop without waiting for it.
    Leave,
}

/// The kind of requests to send.
#[value]
pub struct CallPlan {
    /// Path of the request, whose first segment is the name of the service.
    pub path: String,
    /// The VMs whose nodes receive the requests, in rotation.
    pub vms: Vec<VmNumber>,
    /// Name of the API key in the scenario.
    pub key: Option<String>,
    /// Body of the request, which makes it a POST request.
    pub body: Option<String>,
    /// Request id that all of the requests carry.
    pub request: Option<RequestId>,
    /// Maximum number of retries of a call after a refusal, an error response or a failed
    /// connection. Retries are immediate.
    pub retries: u32,
}

/// Calls that the scenario waits for.
#[value]
pub struct SendPlan {
    /// Number of calls.
    pub count: u32,
    /// Calls per second; without a rate, calls are sent one after another.
    pub rate: Option<u32>,
    /// What is sent.
    pub call: CallPlan,
    /// Bounds on the outcomes.
    pub bounds: Vec<Bound>,
}

/// Calls in the background.
#[value]
pub struct LoadPlan {
    /// Name of the load in the scenario.
    pub name: String,
    /// Calls per second.
    pub rate: u32,
    /// Duration of the load.
    pub length: Duration,
    /// What is sent.
    pub call: CallPlan,
}

/// The outcome of a call, as observed by its caller.
#[copy_value]
pub enum Outcome {
    /// A complete response to this request.
    Whole,
    /// A complete response that reports an error.
    Error,
    /// A response to another request.
    Crossed,
    /// A refusal, which means that the request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request was not sent, for example because the node was unreachable.
    Unsent,
    /// No complete response arrived.
    Cut,
}

/// A bound on the number of calls with an outcome.
#[value]
pub struct Bound {
    /// The counted outcome.
    pub outcome: Outcome,
    /// The counted reason, or all reasons.
    pub reason: Option<String>,
    /// The permitted number of calls.
    pub limit: Limit,
}

/// A limit on a count.
#[copy_value]
pub enum Limit {
    /// Exactly this many.
    Exactly(u32),
    /// At least this many.
    AtLeast(u32),
    /// At most this many.
    AtMost(u32),
    /// At least this percentage of all calls.
    AtLeastPercent(u32),
}

/// Behaviour of the platform's stand-in.
#[copy_value]
pub enum PlatformState {
    /// Normal operation.
    Up,
    /// The platform refuses every request.
    Down,
    /// Each request is delayed by this many milliseconds.
    Slow(u64),
    /// Writes take effect, but their responses are lost.
    LoseAnswers,
    /// The platform refuses every request after this many more.
    DownAfter(u32),
}

/// Behaviour of a backend server.
#[value]
pub enum BackendState {
    /// Normal operation.
    Healthy,
    /// Processing takes this many times as long.
    Slow(u32),
    /// The server always reports that it has no load.
    ReportsIdle,
    /// The server crashes on a request whose body contains this text.
    CrashOn(String),
    /// Connections that are open now stop transferring data for good; new ones work.
    Silent,
    /// Responses are truncated.
    CutAnswers,
}

/// Behaviour of the link between two nodes.
#[copy_value]
pub enum LinkState {
    /// Normal operation.
    Whole,
    /// No data passes.
    Cut,
    /// Data is delayed by this many milliseconds.
    Slow(u64),
}

impl Limit {
    /// Returns whether a count out of `all` is within the limit.
    pub fn admits(self, count: u32, all: u32) -> bool {
        match self {
            Self::Exactly(limit) => count == limit,
            Self::AtLeast(limit) => count >= limit,
            Self::AtMost(limit) => count <= limit,
            Self::AtLeastPercent(limit) => {
                u64::from(count) * 100 >= u64::from(limit) * u64::from(all)
            }
        }
    }
}
