//! Claims for single tokens, where the node's share doesn't cover its calls.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use filbertwheel_core::{Claim, OrganisationId, Tokens};
use filbertwheel_peer::ControlError;
use filbertwheel_policy::{CLAIM_LIFETIME, MAX_CLAIM_HOPS};

use crate::control::{ClaimReply, Control};

/// Wait that's reported when the root doesn't answer.
const SILENT_WAIT: Duration = Duration::from_secs(1);

/// Claims one token of an organisation for a waiting call.
pub(crate) async fn serve_claims(
    control: Rc<RefCell<Control>>,
    organisation: OrganisationId,
    deadline: Instant,
    reply: Sender<ClaimReply>,
) {
    let outcome = claim(&control, organisation, deadline).await;
    let _gone = reply.try_send(outcome);
}

/// Answers a claim from below, if need be with what the parent gives.
pub(crate) async fn answer_claim(
    control: Rc<RefCell<Control>>,
    claim: Claim,
    reply: Sender<Result<Tokens, ControlError>>,
) {
    let (given, parent, controls) = {
        let mut control = control.borrow_mut();
        let given = control.take_claim(&claim);
        (given, control.parent(), Arc::clone(&control.parts.controls))
    };
    let outcome = match parent {
        Some(parent) if given.count == 0 && claim.hops > 0 => {
            let claim = Claim {
                hops: claim.hops - 1,
                ..claim
            };
            controls.claim(parent, &claim).await.unwrap_or(given)
        }
        _ => given,
    };
    let _gone = reply.try_send(Ok(outcome));
}

async fn claim(
    control: &Rc<RefCell<Control>>,
    organisation: OrganisationId,
    deadline: Instant,
) -> ClaimReply {
    let (clock, controls, parent, claim) = {
        let control = control.borrow();
        let me = control.me();
        let claim = Claim {
            vm: me.vm.clone(),
            incarnation: me.incarnation,
            fence: control.fence(),
            organisation,
            count: 1,
            hops: MAX_CLAIM_HOPS,
        };
        let parts = &control.parts;
        (
            Arc::clone(&parts.clock),
            Arc::clone(&parts.controls),
            control.parent(),
            claim,
        )
    };
    let sent = clock.now();
    let tokens = match parent {
        Some(parent) => controls.claim(parent, &claim).await.ok(),
        None => Some(control.borrow_mut().take_claim(&claim)),
    };
    match tokens {
        Some(tokens) if tokens.count > 0 && clock.now() < deadline.min(sent + CLAIM_LIFETIME) => {
            ClaimReply::Given
        }
        Some(tokens) => ClaimReply::Short(tokens.retry_after),
        None => ClaimReply::Short(SILENT_WAIT),
    }
}
