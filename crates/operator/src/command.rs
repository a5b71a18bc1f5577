//! Typed commands and their replies.

use derive_more::{Display, Error};
use filbertwheel_core::{CommandId, Edit, ServiceId, Text, Version, VmId, message};

use crate::Query;

/// A command of an operator.
#[message]
pub enum Command {
    /// Changes the configuration.
    Edit(Edit),
    /// Drains the backend server of a VM: it finishes its requests and receives no new ones.
    Drain {
        /// Name of the VM.
        vm: VmId,
    },
    /// Allows requests again that were quarantined for crashing backend servers.
    LiftQuarantine {
        /// The service whose quarantine is lifted.
        service: ServiceId,
    },
    /// Validates a command and shows what it would change, without applying it.
    Rehearse(Box<Self>),
    /// Runs a query.
    Show(Query),
}

impl Command {
    /// Returns whether the command changes any state.
    pub fn is_change(&self) -> bool {
        !matches!(self, Self::Rehearse(_) | Self::Show(_))
    }
}

/// A command with its id, as it is sent to a node.
#[message]
pub struct CommandRequest {
    /// Id of the command; a retry has the same id, so that a change is applied at most once.
    pub id: CommandId,
    /// The command.
    pub command: Command,
}

/// A node's reply to a command.
#[message]
pub enum Reply {
    /// The change was accepted and every live node has applied it.
    Accepted {
        /// Configuration version of the change.
        version: Version,
    },
    /// The change is stored, but some nodes have not confirmed it yet.
    Pending {
        /// Configuration version of the change.
        version: Version,
        /// VMs of the nodes that have not confirmed it.
        waiting: Vec<VmId>,
    },
    /// Result of a query, as a table.
    Rows {
        /// Names of the columns.
        columns: Vec<Text>,
        /// Cells of each row, in the order of the columns.
        rows: Vec<Vec<Text>>,
    },
}

/// Why a command was not carried out.
#[message]
#[derive(Eq, Display, Error)]
#[serde(rename_all = "kebab-case")]
pub enum CommandError {
    /// A concurrent change was committed first.
    #[display("another change came first and made version {winner}")]
    Conflict {
        /// Configuration version of the other change.
        winner: Version,
    },
    /// The edit is not valid for the current configuration.
    #[display("{detail}")]
    Invalid {
        /// Description of the problem.
        detail: Text,
    },
    /// The fleet has no such VM.
    #[display("there is no VM named {vm}")]
    NoVm {
        /// Name in the command.
        vm: VmId,
    },
    /// The command must be sent to the root of the region.
    #[display("only the root of the region knows; ask the node on {root}")]
    NotRoot {
        /// VM of the root; empty while there is none.
        root: VmId,
    },
    /// The platform is unreachable; nothing was changed.
    #[display("the platform can't be reached; nothing was changed")]
    Unavailable,
    /// The platform's response was lost, so that the change may have been stored. The same
    /// command can be retried.
    #[display("it isn't known whether the change was kept; send the command again")]
    Unknown,
    /// The node does not implement the command.
    #[display("this is not supported yet")]
    Unsupported,
    /// The node is shutting down.
    #[display("the node is stopping")]
    Stopping,
}
