//! Tasks and state of the control thread, which exchanges control state with the other nodes and
//! the store.

mod departures;
mod evacuations;
mod feed;
mod holder;
mod lease;
mod lease_row;
mod members;
mod messages;
mod plan;
mod profiles;
mod recovery;
mod rules;
mod state;
mod sums;
mod ticks;

pub(crate) use departures::keep_departures;
pub(crate) use lease::hold_lease;
pub(crate) use members::{join_members, keep_members};
pub(crate) use messages::handle_messages;
pub(crate) use plan::usable_slots;
pub(crate) use profiles::store_profiles;
pub(crate) use recovery::{answer_departure_requests, recover_departures};
pub(crate) use rules::watch_rules;
pub(crate) use state::{Control, ControlParts, open_control};
pub(crate) use sums::exchange_sums;
pub(crate) use ticks::run_ticks;

use filbertwheel_peer::LinkEvent;

use crate::runner::BackendState;

/// Messages from the traffic threads to the control thread.
#[derive(Debug)]
pub(crate) enum Message {
    /// An event on a link to another node.
    LinkEvent(LinkEvent),
    /// The backend server has reported its state.
    BackendState(BackendState),
    /// The backend server is leaving.
    Leaving,
}

/// Control state, shared by the tasks of the control thread only.
pub(crate) type Shared = std::rc::Rc<std::cell::RefCell<Control>>;
