//! Persistent connections between nodes.
//!
//! Each node opens one connection to each other node and multiplexes its calls on it. The other
//! node answers on the same connection. Reports, rules, portions and token claims use the same
//! connection.

mod accept;
mod calls;
mod dial;
mod driver;
mod frame;
mod memory;
mod outbox;

pub use accept::LinkEndpoint;
pub use calls::CallState;
pub use dial::{Link, Links};
pub use driver::LinkDriver;
pub use frame::{FrameError, NodeReport, RulesDocument};

use std::io::ErrorKind;
use std::time::Duration;

use bytes::BytesMut;
use filbertwheel_core::{
    Attempt, Fence, FleetSecret, Incarnation, InstanceNotice, Member, OrganisationId, RulesStamp,
    Text, Verdict, VmId, copy_value, value,
};
use filbertwheel_http::LocalFuture;
use filbertwheel_policy::{
    BackendLoad, CrashReport, EvacuationReport, KnownDepartures, PortionGrant, PortionRequest,
    SumMessage,
};
use filbertwheel_runtime::TcpStream;
use futures_lite::AsyncReadExt as _;

/// Handles the calls and events of links.
pub trait LinkHandler: std::fmt::Debug + Send + Sync {
    /// Returns the current member entry of this node.
    fn local_member(&self) -> Member;

    /// Returns the load of this node's backend server.
    fn load(&self) -> BackendLoad;

    /// Returns what this node's backend server has stated about itself, if anything.
    fn notice(&self) -> Option<InstanceNotice>;

    /// Applies what another node knew of this node's backend server before the link was opened.
    fn learn_notice(&self, notice: InstanceNotice);

    /// Returns the stamp of the rules in force at this node.
    fn rules_stamp(&self) -> RulesStamp;

    /// Whether to request the rules from a node whose rules have this stamp.
    fn wants_rules(&self, stamp: RulesStamp) -> bool;

    /// Runs a call at this node's backend server. The future may be dropped at any time; it records in
    /// `state` when the call begins.
    fn run(&self, attempt: Attempt, state: CallState) -> LocalFuture<'_, Verdict>;

    /// Spends tokens of an organisation on behalf of another node. Returns the number of tokens
    /// granted and the time in milliseconds after which more may be available.
    fn claim_tokens(&self, organisation: &OrganisationId, count: u32) -> (u32, u32);

    /// Returns the rules in force.
    fn rules(&self) -> Option<RulesDocument>;

    /// Returns what this node knows of evacuated failure domains.
    fn evacuations(&self) -> EvacuationReport;

    /// Handles an event of a link.
    fn handle_event(&self, event: LinkEvent);
}

/// Event of a link other than a call.
#[derive(Debug)]
pub enum LinkEvent {
    /// A report of another node, and what its backend server has stated about itself.
    Report(Box<NodeReport>, Option<InstanceNotice>),
    /// A link to or from another node was established.
    Connected(Member),
    /// The link to another node was lost.
    Disconnected(VmId),
    /// A process has ended or closed its link, and what it had sent has arrived.
    Ended(NodeProcess),
    /// A node that has just started asks what this one knows of departures at its VM.
    DeparturesRequest(NodeProcess, ReplyHandle),
    /// What another node knows of departures at this VM.
    Departures(VmId, KnownDepartures),
    /// The rules in force at another node.
    Rules(RulesDocument),
    /// A request for portions to this node as the lease holder.
    PortionRequest(PortionRequest, ReplyHandle),
    /// The lease holder's reply to a request for portions.
    PortionGrant(Fence, PortionGrant),
    /// Requests that were in flight when a backend server crashed.
    CrashReports(Vec<CrashReport>),
    /// Sums over a part of the fleet or all of it.
    Sums(Box<SumMessage>),
    /// A node has given up the lease with this fencing token and offers it to this node. It would
    /// have stayed in force for the given time.
    LeaseOffer(VmId, Fence, Duration),
    /// What another node knows of evacuated failure domains.
    Evacuations(EvacuationReport),
}

/// One run of a node on a VM.
#[value]
pub struct NodeProcess {
    /// The VM.
    pub vm: VmId,
    /// Number of the run.
    pub incarnation: Incarnation,
}

impl NodeProcess {
    /// Returns the process that a member entry is of.
    pub fn of(member: &Member) -> Self {
        Self {
            vm: member.vm.clone(),
            incarnation: member.incarnation,
        }
    }
}

/// Sends the reply to a request on the link that received it.
#[derive(Debug, Clone)]
pub struct ReplyHandle(std::sync::Arc<outbox::Outbox>);

impl ReplyHandle {
    /// Sends the lease holder's reply to a request for portions.
    pub fn grant(&self, fence: Fence, grant: PortionGrant) {
        // If the link is down by now, the reply is dropped.
        let _down = self.0.push(&frame::Frame::PortionGrant(fence, grant));
    }

    /// Sends what this node knows of departures at the other VM.
    pub fn send_departures(&self, known: KnownDepartures) {
        // If the link is down by now, the reply is dropped.
        let _down = self.0.push(&frame::Frame::Departures(known));
    }
}

/// Signs the id of a VM with the fleet's secret.
fn sign_vm(secret: &FleetSecret, vm: &VmId, wall: std::time::SystemTime) -> Text {
    secret.sign(wall, &[vm.as_bytes()]).to_string().into()
}

fn is_valid_signature(
    secret: &FleetSecret,
    vm: &VmId,
    signature: &Text,
    wall: std::time::SystemTime,
) -> bool {
    let verified = secret.verify(signature.as_bytes(), wall, &[vm.as_bytes()]);
    verified.is_ok()
}

/// Maximum number of bytes per read from a link.
const READ_SIZE: usize = 16 * 1024;

/// What a read from a link has found.
#[copy_value]
enum Filled {
    /// More bytes.
    More,
    /// The other process has closed the connection, or its system has done so when it ended.
    Closed,
    /// Nothing shows whether the other process still runs.
    Failed,
}

/// Reads more bytes into a buffer.
async fn fill_buffer(stream: &mut TcpStream, buffer: &mut BytesMut) -> Filled {
    let filled = buffer.len();
    buffer.resize(filled + READ_SIZE, 0);
    let read = stream.read(&mut buffer[filled..]).await;
    buffer.truncate(filled + read.as_ref().copied().unwrap_or_default());
    match read {
        Ok(0) => Filled::Closed,
        Ok(_) => Filled::More,
        Err(error) => {
            tracing::debug!("peer: Cannot read from a link: {error}.");
            match error.kind() {
                ErrorKind::ConnectionReset | ErrorKind::BrokenPipe => Filled::Closed,
                _ => Filled::Failed,
            }
        }
    }
}
