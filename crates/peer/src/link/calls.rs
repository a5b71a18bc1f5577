//! Calls that a link has received and that have not ended.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use filbertwheel_policy::StopWindow;
use smol::Task;

use super::frame::CorrelationId;

/// State of a call that another node sent. The run of the call and its link share it.
#[derive(Debug, Clone, Default)]
pub struct CallState {
    begun: Rc<Cell<bool>>,
    /// Times of the sender's stop, shared by all calls of the link.
    sender_stop: Rc<Cell<Option<StopWindow>>>,
}

impl CallState {
    /// Records that the call is passed to the backend server. Until then it can be cancelled as not
    /// run.
    pub fn begin(&self) {
        self.begun.set(true);
    }

    /// Returns whether the call may have been passed to the backend server.
    pub fn has_begun(&self) -> bool {
        self.begun.get()
    }

    /// Returns the times of the sender's stop, if it is stopping. Its caller gets no answer that
    /// arrives there later.
    pub fn sender_stop(&self) -> Option<StopWindow> {
        self.sender_stop.get()
    }
}

/// Calls of one link that have not ended. Clones share them.
#[derive(Debug, Clone, Default)]
pub(super) struct ReceivedCalls {
    calls: Rc<RefCell<HashMap<CorrelationId, ReceivedCall>>>,
    sender_stop: Rc<Cell<Option<StopWindow>>>,
}

/// A call that has not ended.
#[derive(Debug)]
struct ReceivedCall {
    task: Task<()>,
    idempotent: bool,
    state: CallState,
}

impl ReceivedCalls {
    /// Creates the state of a new call.
    pub fn new_state(&self) -> CallState {
        CallState {
            begun: Rc::default(),
            sender_stop: Rc::clone(&self.sender_stop),
        }
    }

    /// Adds a call that `task` runs.
    pub fn insert(&self, id: CorrelationId, task: Task<()>, idempotent: bool, state: CallState) {
        let call = ReceivedCall {
            task,
            idempotent,
            state,
        };
        self.calls.borrow_mut().insert(id, call);
    }

    /// Cancels a call, also if it runs.
    pub fn cancel(&self, id: CorrelationId) {
        self.calls.borrow_mut().remove(&id);
    }

    /// Removes a call whose task is about to end.
    pub fn finish(&self, id: CorrelationId) {
        if let Some(call) = self.calls.borrow_mut().remove(&id) {
            call.task.detach();
        }
    }

    /// Sets the times of the sender's stop, which all its calls keep to.
    pub fn set_sender_stop(&self, window: StopWindow) {
        self.sender_stop.set(Some(window));
    }

    /// Returns the number of calls that have not begun to run.
    pub fn waiting(&self) -> usize {
        let calls = self.calls.borrow();
        let waiting = calls.values().filter(|call| !call.state.has_begun());
        waiting.count()
    }

    /// Ends the calls of a lost link, because nobody waits for their verdicts. Only calls that have begun
    /// and are not idempotent run to completion.
    pub fn close(self) {
        for (_, call) in self.calls.take() {
            if call.state.has_begun() && !call.idempotent {
                call.task.detach();
            }
        }
    }
}
