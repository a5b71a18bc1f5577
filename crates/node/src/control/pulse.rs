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

/// Sends one beat and takes its answer.
pub(crate) async fn send_beat(control: &Rc<RefCell<Control>>) {
    let controls = Arc::clone(&control.borrow().parts.controls);
    let beat = control.borrow_mut().next_beat();
    let parent = control.borrow().parent();
    if let Some(parent) = parent {
        match controls.beat(parent, &beat).await {
            Ok(pulse) => control.borrow_mut().take_pulse(pulse),
            Err(error) => tracing::debug!("control: A beat had no answer: {error}."),
        }
        return;
    }
    let mut control = control.borrow_mut();
    if !control.is_root() {
        return;
    }
    if let Ok(pulse) = control.take_beat(&beat) {
        control.take_pulse(pulse);
    }
}
