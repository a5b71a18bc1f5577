//! Periodic heartbeats to the parent.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use crate::control::Control;

/// Sends heartbeats for as long as the node runs.
pub(crate) async fn run_heartbeats(control: Rc<RefCell<Control>>) {
    let (clock, interval) = {
        let control = control.borrow();
        (
            Arc::clone(&control.parts.clock),
            control.parts.heartbeat_interval,
        )
    };
    loop {
        send_heartbeat(&control).await;
        control.borrow_mut().expire_children();
        clock.sleep(interval).await;
    }
}

/// Allocates the node's own shares, then sends a heartbeat to the parent and handles the reply.
pub(crate) async fn send_heartbeat(control: &Rc<RefCell<Control>>) {
    control.borrow_mut().renew_own_shares();
    let Some(parent) = control.borrow().parent() else {
        return;
    };
    let control_client = Arc::clone(&control.borrow().parts.control_client);
    let heartbeat = control.borrow_mut().next_heartbeat();
    match control_client.heartbeat(parent, &heartbeat).await {
        Ok(reply) => control.borrow_mut().handle_reply(reply, &heartbeat.members),
        Err(error) => tracing::debug!("control: A heartbeat failed: {error}."),
    }
}
