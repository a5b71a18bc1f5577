//! Claims for single tokens, made when the node's share is used up.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use filbertwheel_core::{Claim, OrganisationId, Tokens};
use filbertwheel_peer::ControlError;
use filbertwheel_policy::{CLAIM_LIFETIME, MAX_CLAIM_HOPS};

use crate::control::{ClaimReply, Control};

/// Wait before another attempt that a caller is given when the parent doesn't answer.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Claims one token of an organisation for a waiting request.
pub(crate) async fn claim_token(
    control: Rc<RefCell<Control>>,
    organisation: OrganisationId,
    deadline: Instant,
    reply: Sender<ClaimReply>,
) {
    let outcome = send_claim(&control, organisation, deadline).await;
    let _closed = reply.try_send(outcome);
}

/// Answers another node's claim. Passes it on to the parent if this node has no tokens left.
pub(crate) async fn serve_claim(
    control: Rc<RefCell<Control>>,
    claim: Claim,
    reply: Sender<Result<Tokens, ControlError>>,
) {
    let (granted, parent, control_client) = {
        let mut control = control.borrow_mut();
        let granted = control.handle_claim(&claim);
        (
            granted,
            control.parent(),
            Arc::clone(&control.parts.control_client),
        )
    };
    let outcome = match parent {
        Some(parent) if granted.count == 0 && claim.hops > 0 => {
            let claim = Claim {
                hops: claim.hops - 1,
                ..claim
            };
            control_client
                .claim(parent, &claim)
                .await
                .unwrap_or(granted)
        }
        _ => granted,
    };
    let _closed = reply.try_send(Ok(outcome));
}

async fn send_claim(
    control: &Rc<RefCell<Control>>,
    organisation: OrganisationId,
    deadline: Instant,
) -> ClaimReply {
    let (clock, control_client, parent, claim) = {
        let control = control.borrow();
        let local_member = control.local_member();
        let claim = Claim {
            vm: local_member.vm.clone(),
            incarnation: local_member.incarnation,
            fence: control.fence(),
            organisation,
            count: 1,
            hops: MAX_CLAIM_HOPS,
        };
        let parts = &control.parts;
        (
            Arc::clone(&parts.clock),
            Arc::clone(&parts.control_client),
            control.parent(),
            claim,
        )
    };
    let sent = clock.now();
    let tokens = match parent {
        Some(parent) => control_client.claim(parent, &claim).await.ok(),
        None => Some(control.borrow_mut().handle_claim(&claim)),
    };
    match tokens {
        Some(tokens) if tokens.count > 0 && clock.now() < deadline.min(sent + CLAIM_LIFETIME) => {
            ClaimReply::Granted
        }
        Some(tokens) => ClaimReply::RetryAfter(tokens.retry_after),
        None => ClaimReply::RetryAfter(UNREACHABLE_RETRY_AFTER),
    }
}
