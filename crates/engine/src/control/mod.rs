//! The control thread: what this node believes, and what it tells others.

mod feed;
mod lease;
mod members;
mod memory;
mod plan;
mod rules;
mod state;
mod ticks;

pub(crate) use lease::hold_lease;
pub(crate) use members::{sweep_members, watch_members};
pub(crate) use memory::keep_profiles;
pub(crate) use rules::watch_rules;
pub(crate) use state::{Control, Parts, shared, take_messages};
pub(crate) use ticks::run_ticks;

use filbertwheel_peer::LinkEvent;

use crate::runner::Standing;

/// What traffic tells control.
#[derive(Debug)]
pub(crate) enum Message {
    /// News of other nodes.
    LinkEvent(LinkEvent),
    /// The backend server has reported where it stands.
    Standing(Standing),
    /// The backend server leaves.
    Left,
}

/// Control state, which only the control thread touches.
pub(crate) type Shared = std::rc::Rc<std::cell::RefCell<Control>>;
