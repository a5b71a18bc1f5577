//! Links between nodes.
//!
//! A node opens one connection to each other node and sends its calls there, many at a time. The
//! other node answers on the same connection. What both believe travels with them.

mod accept;
mod dial;
mod frame;
mod outbox;

pub use accept::LinkEndpoint;
pub use dial::{Link, LinkDriver, Links};
pub use frame::{FrameError, NodeReport};

use bytes::{Bytes, BytesMut};
use filbertwheel_core::{
    Attempt, Fence, FleetSecret, Member, OrganisationId, Text, Verdict, Version, VmId,
};
use filbertwheel_http::LocalFuture;
use filbertwheel_policy::{BackendLoad, CrashReport, PortionGrant, PortionRequest};
use filbertwheel_runtime::TcpStream;
use futures_lite::AsyncReadExt as _;

/// Decides about what other nodes send.
pub trait LinkHandler: std::fmt::Debug + Send + Sync {
    /// This node as it stands.
    fn local_member(&self) -> Member;

    /// Load of this node's backend server.
    fn load(&self) -> BackendLoad;

    /// Version of the rules in force here.
    fn rules_version(&self) -> Version;

    /// Whether to ask a node that has this version of the rules for them.
    fn wants_rules(&self, version: Version) -> bool;

    /// Runs a call at this node's own backend server.
    fn run(&self, attempt: Attempt) -> LocalFuture<'_, Verdict>;

    /// Spends tokens of an organisation for another node. Returns how many, and after how many
    /// milliseconds there may be more.
    fn claim_tokens(&self, organisation: &OrganisationId, count: u32) -> (u32, u32);

    /// The rules in force, as operators wrote them.
    fn rules(&self) -> Option<(Version, Bytes)>;

    /// Takes note of news.
    fn handle_event(&self, news: LinkEvent);
}

/// What a link brings beside calls.
#[derive(Debug)]
pub enum LinkEvent {
    /// Another node's report.
    Report(Box<NodeReport>),
    /// A link was opened to another node.
    Connected(Member),
    /// The link to another node was lost.
    Disconnected(VmId),
    /// Rules as operators wrote them.
    Rules(Version, Bytes),
    /// A node asks the holder, which is this one.
    PortionRequest(PortionRequest, ReplyHandle),
    /// The holder's answer.
    PortionGrant(Fence, PortionGrant),
    /// Requests that were in flight when a backend server died.
    CrashReports(Vec<CrashReport>),
}

/// Sends an answer back on the link that its question came by.
#[derive(Debug, Clone)]
pub struct ReplyHandle(std::sync::Arc<outbox::Outbox>);

impl ReplyHandle {
    /// Sends the holder's answer.
    pub fn grant(&self, fence: Fence, grant: PortionGrant) {
        // A link that's down by now has no use for the answer.
        let _down = self.0.push(&frame::Frame::PortionGrant(fence, grant));
    }
}

/// Proof that a node knows the fleet's secret.
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

/// Bytes that are read from a link at once.
const READ_SIZE: usize = 16 * 1024;

/// Reads more bytes into a buffer. Returns whether any came before the end.
async fn fill_buffer(stream: &mut TcpStream, buffer: &mut BytesMut) -> bool {
    let filled = buffer.len();
    buffer.resize(filled + READ_SIZE, 0);
    let read = stream.read(&mut buffer[filled..]).await;
    let count = match read {
        Ok(count) => count,
        Err(error) => {
            tracing::debug!("peer: Reading from a link failed: {error}.");
            0
        }
    };
    buffer.truncate(filled + count);
    count > 0
}
