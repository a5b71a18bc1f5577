//! What a scenario says, one statement a line.

use std::time::Duration;

use filbertwheel_core::{DomainId, OrganisationId, RequestId, ServiceId, copy_value, value};

/// Number of a VM in a scenario, counted from 1.
pub type VmNumber = u16;

/// A statement and the line that it stands on.
#[value]
pub struct Step {
    /// The line, counted from 1.
    pub line: usize,
    /// What to do.
    pub statement: Statement,
}

/// One statement.
#[value]
pub enum Statement {
    /// Starts the platform's stand-in.
    StartPlatform,
    /// Starts a backend server and its node.
    StartVm(VmPlan),
    /// Starts a part of a VM again.
    Restart(Part, VmNumber),
    /// Sends a signal to a part of a VM.
    Signal(Action, Part, VmNumber),
    /// Waits until VMs serve.
    AwaitServing(Vec<VmNumber>, Duration),
    /// Waits until one of the VMs is the root.
    AwaitRoot(Vec<VmNumber>, Duration),
    /// Checks that a node comes to follow another one as its root.
    ExpectFollows(VmNumber, Duration),
    /// Lets time pass.
    Pause(Duration),
    /// Runs an operator's command.
    Operator {
        /// The VM whose node takes it.
        vm: VmNumber,
        /// Whether it must fail.
        fails: bool,
        /// The command.
        command: String,
    },
    /// Runs a command at several nodes at the same time. `{n}` in it stands for a number that
    /// differs from run to run.
    Race {
        /// How often.
        rounds: u32,
        /// The VMs whose nodes take it.
        vms: Vec<VmNumber>,
        /// The command.
        command: String,
    },
    /// Makes a key.
    Key {
        /// The organisation that it's for.
        organisation: OrganisationId,
        /// Its name in the scenario.
        name: String,
    },
    /// Sends calls and waits for all of them.
    Send(SendPlan),
    /// Sends calls in the background.
    Load(LoadPlan),
    /// Sets the platform's faults.
    SetPlatform(PlatformState),
    /// Sets a backend server's faults.
    SetBackend(VmNumber, BackendState),
    /// Sets the link between two nodes.
    SetLink(VmNumber, VmNumber, LinkState),
    /// Checks what came of a load, after its end.
    ExpectLoad(String, Vec<Bound>),
    /// Checks how often a request ran over all backend servers.
    ExpectRuns(RequestId, Limit),
    /// Checks that no node has found a broken invariant.
    ExpectInvariants,
    /// Checks the reply to an operator's query.
    ExpectShow {
        /// The VM whose node is asked.
        vm: VmNumber,
        /// The text that's looked for.
        text: String,
        /// Whether it must be there.
        present: bool,
        /// How long it may take.
        within: Duration,
        /// The query.
        command: String,
    },
    /// Checks that every node that runs shows the same configuration.
    ExpectAgreement(Duration),
}

/// A VM to start.
#[value]
pub struct VmPlan {
    /// Its number.
    pub vm: VmNumber,
    /// Its failure domain.
    pub domain: DomainId,
    /// Service of its backend server.
    pub service: ServiceId,
    /// Requests that the backend server runs at once.
    pub slots: u32,
    /// Time that a request takes.
    pub work: Duration,
    /// How long the backend server serves on after it's told to stop.
    pub grace: Duration,
    /// How long it's slow after its start.
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

/// What is done to a process.
#[copy_value]
pub enum Action {
    /// It ends at once.
    Kill,
    /// It stops running until it's thawed.
    Freeze,
    /// It runs on.
    Thaw,
    /// It's told to stop, and waited for.
    Drain,
    /// It's told to stop, and not waited for.
    Leave,
}

/// What requests are sent.
#[value]
pub struct CallPlan {
    /// Service and path.
    pub path: String,
    /// The VMs whose nodes get them, in turn.
    pub vms: Vec<VmNumber>,
    /// Name of the key.
    pub key: Option<String>,
    /// Body; with one, the request is a POST.
    pub body: Option<String>,
    /// Id that every one of them carries.
    pub request: Option<RequestId>,
    /// How often the caller sends a call again, without a pause, after a refusal, an error or a
    /// failed connection.
    pub retries: u32,
}

/// Calls that are waited for.
#[value]
pub struct SendPlan {
    /// How many.
    pub count: u32,
    /// How many a second; without it, one after another.
    pub rate: Option<u32>,
    /// What is sent.
    pub call: CallPlan,
    /// What must come of them.
    pub bounds: Vec<Bound>,
}

/// Calls in the background.
#[value]
pub struct LoadPlan {
    /// Its name in the scenario.
    pub name: String,
    /// How many a second.
    pub rate: u32,
    /// How long.
    pub length: Duration,
    /// What is sent.
    pub call: CallPlan,
}

/// What became of a call, as its caller sees it.
#[copy_value]
pub enum Outcome {
    /// The whole answer to this very request.
    Whole,
    /// A whole answer that reports an error.
    Error,
    /// An answer to another request.
    Crossed,
    /// A refusal that says that nothing ran.
    NotRun,
    /// It isn't known whether it ran.
    Unknown,
    /// The node couldn't be reached.
    Unsent,
    /// The connection ended without a whole answer.
    Cut,
}

/// What must come of some calls.
#[value]
pub struct Bound {
    /// The outcome that's counted.
    pub outcome: Outcome,
    /// The reason that's counted, if not all.
    pub reason: Option<String>,
    /// How many there may be.
    pub limit: Limit,
}

/// A limit on a count.
#[copy_value]
pub enum Limit {
    /// Exactly this many.
    Exactly(u32),
    /// No fewer.
    AtLeast(u32),
    /// No more.
    AtMost(u32),
    /// No fewer than this part of all, in percent.
    AtLeastPercent(u32),
}

/// How the platform behaves.
#[copy_value]
pub enum PlatformState {
    /// As it should.
    Up,
    /// It turns every request down.
    Down,
    /// Each request takes this many milliseconds.
    Slow(u64),
    /// Changes take effect, but their answers are lost.
    LoseAnswers,
    /// It turns requests down after this many more.
    DownAfter(u32),
}

/// How a backend server behaves.
#[value]
pub enum BackendState {
    /// As it should.
    Healthy,
    /// Work takes this many times as long.
    Slow(u32),
    /// It reports no load, whatever it has.
    ReportsIdle,
    /// It ends when a request's body has this text.
    CrashOn(String),
    /// Connections that are open now go silent for good; new ones work.
    Silent,
    /// Answers end early.
    CutAnswers,
}

/// How the link between two nodes behaves.
#[copy_value]
pub enum LinkState {
    /// As it should.
    Whole,
    /// Nothing passes.
    Cut,
    /// What passes takes this many milliseconds longer.
    Slow(u64),
}

impl Limit {
    /// Whether a count out of `all` is within the limit.
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
