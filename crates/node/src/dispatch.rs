//! Routing and retries of a call.

use std::net::SocketAddr;
use std::time::Duration;

use filbertwheel_core::{
    Answer, Call, Doubt, Failure, Member, Refusal, RefusalKind, Verdict, VmId, invariant,
};
use filbertwheel_peer::ForwardError;
use filbertwheel_policy::{RequestKey, choose, owner};

use crate::engine::Engine;
use crate::snapshot::Snapshot;

/// Longest pause before a retry.
const BACKOFF: Duration = Duration::from_millis(20);
/// Wait that's assumed of a node that wasn't reached, in microseconds.
const UNREACHED_WAIT_US: u64 = 1_000_000;

/// Where a call can run.
#[derive(Debug, Clone)]
struct Target {
    vm: VmId,
    address: SocketAddr,
}

impl Engine {
    /// Runs a call at some backend server, with retries as far as they're given.
    pub(super) async fn dispatch(&self, call: Call) -> Verdict {
        let given = call.retries;
        let mut left = given;
        let mut tried = Vec::new();
        let mut doubt = None;
        loop {
            let verdict = self.attempt(&call, &mut left, &mut tried).await;
            invariant!(
                "retries-bounded",
                left <= given,
                "{left} retries are left of {given}"
            );
            let again = may_retry(&call, &verdict) && left > 0;
            if !again || self.clock.now() + BACKOFF >= call.deadline {
                return with_retries(with_doubt(verdict, doubt), left);
            }
            if let Err(Failure::Unknown(found)) = verdict {
                doubt = Some(found);
            }
            invariant!(
                "runs-at-most-once",
                call.idempotent || doubt.is_none(),
                "a call that may have run is tried again"
            );
            left -= 1;
            self.metrics.retries.inc();
            self.clock.sleep(BACKOFF.mul_f64(rand::random())).await;
        }
    }

    /// Runs a call at this node, as its owner or at its backend server.
    pub(super) async fn run_here(&self, call: &Call) -> Verdict {
        match call.once {
            Some(once) if !once.admitted => Box::pin(self.run_owned(call, once)).await,
            _ => self.runner.run(call).await,
        }
    }

    /// Tries one backend server. Takes from `left` what that one spends.
    async fn attempt(&self, call: &Call, left: &mut u32, tried: &mut Vec<VmId>) -> Verdict {
        let snapshot = self.board.load_full();
        let Some(target) = self.target(&snapshot, call, tried) else {
            return Err(RefusalKind::Unavailable.into());
        };
        tried.push(target.vm.clone());
        // One retry stays here, for the case that the target's answer is lost.
        let kept = (*left).min(1);
        let call = Call {
            retries: *left - kept,
            ..call.clone()
        };
        *left = kept;
        let verdict = if target.vm == snapshot.me.vm {
            self.run_here(&call).await
        } else {
            self.send(&target, &call).await
        };
        *left += returned(&verdict).min(call.retries);
        verdict
    }

    async fn send(&self, target: &Target, call: &Call) -> Verdict {
        let pending = self.loads.pending(&target.vm);
        let reply = self.forward.forward(target.address, call).await;
        drop(pending);
        match reply {
            Ok((verdict, load)) => {
                self.loads.note_wait(&target.vm, (load * 1e6) as u64);
                verdict
            }
            Err(ForwardError::NotSent) => {
                self.loads.note_wait(&target.vm, UNREACHED_WAIT_US);
                Err(Refusal::new(RefusalKind::Unavailable)
                    .with_retries(call.retries)
                    .into())
            }
            Err(ForwardError::Lost) => Err(Doubt::Lost.into()),
            Err(ForwardError::Late) => Err(Doubt::Late.into()),
            Err(ForwardError::Broken) => Err(Doubt::Broken.into()),
        }
    }

    fn target(&self, snapshot: &Snapshot, call: &Call, tried: &[VmId]) -> Option<Target> {
        let member = match call.once {
            Some(once) if !once.admitted => owner_of(snapshot, call),
            _ => self.pick(snapshot, call, tried),
        };
        member.map(|member| Target {
            vm: member.vm.clone(),
            address: member.address,
        })
    }

    fn pick<'a>(
        &self,
        snapshot: &'a Snapshot,
        call: &'a Call,
        tried: &[VmId],
    ) -> Option<&'a Member> {
        let members = snapshot.roster.serving(&call.service);
        let members: Vec<_> = members
            .filter(|member| !tried.contains(&member.vm))
            .collect();
        let me = &snapshot.me;
        let mut candidates = self.loads.candidates(members.iter().copied(), &me.domain);
        if let Some(own) = members.iter().position(|member| member.vm == me.vm) {
            candidates[own].wait_us = (self.runner.wait() * 1e6) as u64;
        }
        let index = choose(&candidates, |count| rand::random_range(0..count))?;
        members.get(index).copied()
    }
}

/// The node that answers for a call's request id.
fn owner_of<'a>(snapshot: &'a Snapshot, call: &'a Call) -> Option<&'a Member> {
    let key = RequestKey::of(call)?;
    let serving = snapshot.roster.serving(&call.service);
    let vm = owner(serving.map(|member| &member.vm), &key)?;
    snapshot.roster.member(vm)
}

fn may_retry(call: &Call, verdict: &Verdict) -> bool {
    match verdict {
        Ok(_) => false,
        Err(Failure::Refused(refusal)) => refusal.kind.may_retry(),
        Err(Failure::Unknown(doubt)) => call.idempotent && *doubt != Doubt::Late,
    }
}

/// Retries that came back with a verdict.
pub(crate) fn returned(verdict: &Verdict) -> u32 {
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

/// A refusal after a try that may have run doesn't mean that nothing ran.
fn with_doubt(verdict: Verdict, doubt: Option<Doubt>) -> Verdict {
    match (verdict, doubt) {
        (Err(Failure::Refused(_)), Some(doubt)) => Err(doubt.into()),
        (verdict, _) => verdict,
    }
}
