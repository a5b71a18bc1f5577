//! Routing of a call to a backend server, with retries.

use std::time::Duration;

use filbertwheel_core::{
    Answer, Call, CutOff, Failure, Member, Refusal, RefusalKind, UnknownReason, Verdict, VmId,
    invariant,
};
use filbertwheel_peer::{ForwardError, LoadReport};
use filbertwheel_policy::{RequestKey, request_owner};

use crate::engine::Engine;
use crate::routing::Target;
use crate::snapshot::Snapshot;

/// Maximum delay before a retry. The delay is a random part of it.
const MAX_BACKOFF: Duration = Duration::from_millis(20);

impl Engine {
    /// Runs a call at a backend server, with up to `call.retries` retries. Returns the verdict with
    /// the last reported cut-off.
    pub(super) async fn dispatch(&self, call: Call) -> (Verdict, Option<CutOff>) {
        let given = call.retries;
        let mut left = given;
        let mut tried = Vec::new();
        let mut unknown = None;
        loop {
            if let Some(cut_off) = self.routing.sheds(&call, self.clock.now()) {
                let shed = Err(RefusalKind::OverloadedDeep.into());
                return (
                    with_retries(with_unknown(shed, unknown), left),
                    Some(cut_off),
                );
            }
            let (verdict, cut_off) = self.attempt(&call, &mut left, &mut tried).await;
            if verdict.is_ok() {
                self.routing.record_success(&call.service);
            }
            invariant!(
                "retries-bounded",
                left <= given,
                "{left} retries are left of {given}"
            );
            let retryable = is_retryable(&call, &verdict) && left > 0;
            let late = self.clock.now() + MAX_BACKOFF >= call.deadline;
            if !retryable
                || late
                || !(is_leaving(&verdict) || self.routing.try_spend_retry(&call.service))
            {
                return (with_retries(with_unknown(verdict, unknown), left), cut_off);
            }
            if let Err(Failure::Unknown(found)) = verdict {
                unknown = Some(found);
            }
            invariant!(
                "runs-at-most-once",
                call.idempotent || unknown.is_none(),
                "a call that may have run is tried again"
            );
            left -= 1;
            self.metrics.retries.inc();
            self.clock.sleep(MAX_BACKOFF.mul_f64(rand::random())).await;
        }
    }

    /// Runs a call at this node's backend server, after deduplication if the call needs it.
    pub(super) async fn run_here(&self, call: &Call) -> (Verdict, LoadReport) {
        match call.once {
            Some(once) if !once.admitted => {
                let (verdict, cut_off) = Box::pin(self.run_owned(call, once)).await;
                let wait = self.runner.wait();
                (verdict, LoadReport { wait, cut_off })
            }
            _ => self.runner.run(call).await,
        }
    }

    /// Makes one attempt at one backend server. Deducts the retries spent there from `left`.
    async fn attempt(
        &self,
        call: &Call,
        left: &mut u32,
        tried: &mut Vec<VmId>,
    ) -> (Verdict, Option<CutOff>) {
        let snapshot = self.snapshots.load_full();
        let Some(target) = self.target(&snapshot, call, tried) else {
            return (Err(RefusalKind::Unavailable.into()), None);
        };
        tried.push(target.vm.clone());
        // One retry is kept here, since a lost response doesn't return any.
        let reserved = (*left).min(1);
        let call = Call {
            retries: *left - reserved,
            ..call.clone()
        };
        *left = reserved;
        let (verdict, cut_off) = if target.vm == snapshot.local_member.vm {
            let (verdict, load) = self.run_here(&call).await;
            let now = self.clock.now();
            self.routing.record_reply(&target.vm, &call, &load, now);
            (verdict, load.cut_off)
        } else {
            self.send(&target, &call).await
        };
        if is_connection_failure(&verdict) {
            self.routing
                .record_unreachable(&target.vm, self.clock.now());
        }
        *left += returned_retries(&verdict).min(call.retries);
        (verdict, cut_off)
    }

    async fn send(&self, target: &Target, call: &Call) -> (Verdict, Option<CutOff>) {
        let pending = self.routing.begin(&target.vm, self.clock.now());
        let reply = self.forward.forward(target.address, call).await;
        drop(pending);
        let now = self.clock.now();
        let failure = match reply {
            Ok((verdict, load)) => {
                self.routing.record_reply(&target.vm, call, &load, now);
                return (verdict, load.cut_off);
            }
            Err(ForwardError::NotSent) => {
                self.routing.record_unreachable(&target.vm, now);
                Failure::Refused(Refusal::new(RefusalKind::Unavailable).with_retries(call.retries))
            }
            Err(ForwardError::Lost) => UnknownReason::Lost.into(),
            Err(ForwardError::Late) => UnknownReason::Late.into(),
            Err(ForwardError::Broken) => UnknownReason::Broken.into(),
        };
        (Err(failure), None)
    }

    fn target(&self, snapshot: &Snapshot, call: &Call, tried: &[VmId]) -> Option<Target> {
        match call.once {
            Some(once) if !once.admitted => owner_of(snapshot, call).map(|member| Target {
                vm: member.vm.clone(),
                address: member.address,
            }),
            _ => {
                let (wait, now) = (self.runner.wait(), self.clock.now());
                self.routing.choose_target(snapshot, call, tried, wait, now)
            }
        }
    }
}

/// Returns the node that owns a call's request id.
fn owner_of<'a>(snapshot: &'a Snapshot, call: &'a Call) -> Option<&'a Member> {
    let key = RequestKey::of(call)?;
    let serving = snapshot.roster.serving(&call.service);
    let vm = request_owner(serving.map(|member| &member.vm), &key)?;
    snapshot.roster.member(vm)
}

/// Whether the target refused the call only because it is draining. A retry elsewhere adds no load
/// to the service.
fn is_leaving(verdict: &Verdict) -> bool {
    matches!(verdict, Err(Failure::Refused(refusal)) if refusal.kind == RefusalKind::Draining)
}

/// Whether the response was truncated or the connection lost. Other targets are preferred for a
/// while then.
fn is_connection_failure(verdict: &Verdict) -> bool {
    matches!(
        verdict,
        Err(Failure::Unknown(
            UnknownReason::Broken | UnknownReason::Lost
        ))
    )
}

fn is_retryable(call: &Call, verdict: &Verdict) -> bool {
    match verdict {
        Ok(_) => false,
        Err(Failure::Refused(refusal)) => refusal.kind.is_retryable(),
        Err(Failure::Unknown(unknown)) => call.idempotent && *unknown != UnknownReason::Late,
    }
}

/// Returns the unused retries that came back with a verdict.
pub(crate) fn returned_retries(verdict: &Verdict) -> u32 {
    match verdict {
        Ok(answer) => answer.retries,
        Err(Failure::Refused(refusal)) => refusal.retries,
        Err(Failure::Unknown(_)) => 0,
    }
}

fn with_retries(verdict: Verdict, retries: u32) -> Verdict {
    match verdict {
        Ok(answer) => Ok(Answer { retries, ..answer }),
        Err(Failure::Refused(refusal)) => Err(refusal.with_retries(retries).into()),
        unknown @ Err(Failure::Unknown(_)) => unknown,
    }
}

/// Turns a refusal into an unknown outcome if an earlier attempt may have run.
fn with_unknown(verdict: Verdict, unknown: Option<UnknownReason>) -> Verdict {
    match (verdict, unknown) {
        (Err(Failure::Refused(_)), Some(unknown)) => Err(unknown.into()),
        (verdict, _) => verdict,
    }
}
