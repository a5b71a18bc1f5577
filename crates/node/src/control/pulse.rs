//! Beats to the root, and their answers.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use crate::control::Control;

/// Sends beats for as long as the node runs.
pub(crate) async fn run_pulses(control: Rc<RefCell<Control>>) {
    let (clock, interval) = {
        let control = control.borrow();
        (Arc::clone(&control.parts.clock), control.parts.beat)
    };
    loop {
        send_beat(&control).await;
        control.borrow_mut().expire_children();
        clock.sleep(interval).await;
    }
}

/// Settles the node's own shares, and exchanges a beat with the parent.
pub(crate) async fn send_beat(control: &Rc<RefCell<Control>>) {
    control.borrow_mut().settle_own();
    let Some(parent) = control.borrow().parent() else {
        return;
    };
    let controls = Arc::clone(&control.borrow().parts.controls);
    let beat = control.borrow_mut().next_beat();
    match controls.beat(parent, &beat).await {
        Ok(pulse) => control.borrow_mut().take_pulse(pulse, &beat.members),
        Err(error) => tracing::debug!("control: A beat had no answer: {error}."),
    }
}
