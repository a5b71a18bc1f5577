//! The control thread: what this node believes, and what it tells others.

mod feed;
mod lease;
mod members;
mod plan;
mod profiles;
mod rules;
mod state;
mod ticks;

pub(crate) use lease::hold_lease;
pub(crate) use members::{remove_dead_members, watch_members};
pub(crate) use profiles::store_profiles;
pub(crate) use rules::watch_rules;
pub(crate) use state::{Control, ControlParts, handle_messages, open_control};
pub(crate) use ticks::run_ticks;

use filbertwheel_peer::LinkEvent;

use crate::runner::BackendState;

/// What traffic tells control.
#[derive(Debug)]
pub(crate) enum Message {
    /// News of other nodes.
    LinkEvent(LinkEvent),
    /// The backend server has reported where it stands.
    BackendState(BackendState),
    /// The backend server leaves.
    Leaving,
}

/// Control state, which only the control thread touches.
pub(crate) type Shared = std::rc::Rc<std::cell::RefCell<Control>>;
