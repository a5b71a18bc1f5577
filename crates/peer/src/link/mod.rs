//! Persistent connections between nodes.
//!
//! Each node opens one connection to each other node and multiplexes its calls on it. The other
//! node answers on the same connection. Reports, rules, portions and token claims use the same
//! connection.

mod accept;
mod calls;
mod dial;
mod frame;
mod memory;
mod outbox;

pub use accept::LinkEndpoint;
pub use calls::CallState;
pub use dial::{Link, LinkDriver, Links};
pub use frame::{FrameError, NodeReport, RulesDocument};

use std::time::Duration;

use bytes::BytesMut;
use filbertwheel_core::{
    Attempt, Fence, FleetSecret, InstanceNotice, Member, OrganisationId, RulesStamp, Text, Verdict,
    VmId,
};
use filbertwheel_http::LocalFuture;
use filbertwheel_policy::{
    BackendLoad, CrashReport, EvacuationReport, PortionGrant, PortionRequest, SumMessage,
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
    /// A report of another node.
    Report(Box<NodeReport>),
    /// A link to or from another node was established.
    Connected(Member),
    /// The link to another node was lost.
    Disconnected(VmId),
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

/// Sends the reply to a request on the link that received it.
#[derive(Debug, Clone)]
pub struct ReplyHandle(std::sync::Arc<outbox::Outbox>);

impl ReplyHandle {
    /// Sends the lease holder's reply to a request for portions.
    pub fn grant(&self, fence: Fence, grant: PortionGrant) {
        // If the link is down by now, the reply is dropped.
        let _down = self.0.push(&frame::Frame::PortionGrant(fence, grant));
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

/// Reads more bytes into a buffer. Returns `false` at the end of the stream or on an error.
async fn fill_buffer(stream: &mut TcpStream, buffer: &mut BytesMut) -> bool {
    let filled = buffer.len();
    buffer.resize(filled + READ_SIZE, 0);
    let read = stream.read(&mut buffer[filled..]).await;
    let count = match read {
        Ok(count) => count,
        Err(error) => {
            tracing::debug!("peer: Cannot read from a link: {error}.");
            0
        }
    };
    buffer.truncate(filled + count);
    count > 0
}
