//! Typed commands and their replies.

use derive_more::{Display, Error};
use filbertwheel_core::{CommandId, Edit, ServiceId, Text, Version, VmId, message};

use crate::Query;

/// What an operator wants.
#[message]
pub enum Command {
    /// Change the configuration.
    Edit(Edit),
    /// Let a backend server finish its work and take nothing new.
    Drain {
        /// Name of its VM.
        vm: VmId,
    },
    /// Let requests run again that were found to crash backend servers.
    LiftQuarantine {
        /// The service whose quarantine is lifted.
        service: ServiceId,
    },
    /// Check a command and show what it would change.
    Rehearse(Box<Self>),
    /// Show something.
    Show(Query),
}

impl Command {
    /// Whether it changes something.
    pub fn is_change(&self) -> bool {
        !matches!(self, Self::Rehearse(_) | Self::Show(_))
    }
}

/// A command on its way to a node.
#[message]
pub struct CommandRequest {
    /// Id of the command, the same on a retry.
    pub id: CommandId,
    /// The command.
    pub command: Command,
}

/// What a node replies.
#[message]
pub enum Reply {
    /// The change was accepted and is in force at every live node.
    Accepted {
        /// Version that it made.
        version: Version,
    },
    /// The change is kept, but some nodes haven't confirmed it yet.
    Pending {
        /// Version that it made.
        version: Version,
        /// Nodes that haven't confirmed it.
        waiting: Vec<VmId>,
    },
    /// Rows of a table.
    Rows {
        /// Names of the columns.
        columns: Vec<Text>,
        /// Cells, a row each.
        rows: Vec<Vec<Text>>,
    },
}

/// Why a command wasn't carried out.
#[message]
#[derive(Eq, Display, Error)]
#[serde(rename_all = "kebab-case")]
pub enum CommandError {
    /// Another operator's change came first.
    #[display("another change came first and made version {winner}")]
    Conflict {
        /// Version that the other change made.
        winner: Version,
    },
    /// The edit doesn't fit the configuration.
    #[display("{detail}")]
    Invalid {
        /// What doesn't fit.
        detail: Text,
    },
    /// The VM isn't a member of the fleet.
    #[display("there is no VM named {vm}")]
    NoVm {
        /// Name that was given.
        vm: VmId,
    },
    /// Only the root of the region knows.
    #[display("only the root of the region knows; ask the node on {root}")]
    NotRoot {
        /// VM of the root; empty while there's none.
        root: VmId,
    },
    /// The platform can't be reached; nothing was changed.
    #[display("the platform can't be reached; nothing was changed")]
    Unavailable,
    /// The platform's answer was lost; the same command can be sent again.
    #[display("it isn't known whether the change was kept; send the command again")]
    Unknown,
    /// The node can't carry this out yet.
    #[display("this is not supported yet")]
    Unsupported,
    /// The node is stopping.
    #[display("the node is stopping")]
    Stopping,
}
