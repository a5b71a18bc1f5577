//! What control does at regular intervals.

use std::sync::Arc;
use std::time::Duration;

use filbertwheel_core::Status;

use super::Shared;

/// Time between two reports to the other nodes in a small fleet.
const REPORT_TIME: Duration = Duration::from_millis(250);
/// Nodes up to which the interval stays; it grows with the fleet, so that a node hears as many
/// reports a second in a larger one.
const SMALL_FLEET: usize = 32;
/// Reports between two that tell what was learnt of the routes.
const PROFILE_TURNS: u64 = 2;
/// Reports between two beginnings of the journal's count.
const JOURNAL_TURNS: u64 = 4;
/// Suspension from which on shares of the rates are given up.
const SUSPENSION: Duration = Duration::from_millis(300);
/// Reports between two asks for portions.
const ASK_TURNS: u64 = 2;

/// Reports, plans and asks for as long as it's polled.
pub(crate) async fn run_ticks(control: Shared) {
    let clock = Arc::clone(&control.borrow().parts.clock);
    let mut turn: u64 = 0;
    let mut last = clock.now();
    loop {
        let interval = control.borrow().report_interval();
        clock.sleep(interval).await;
        turn += 1;
        let now = clock.now();
        let mut control = control.borrow_mut();
        control.check_suspension();
        control.take_inbox();
        control.measure(now.saturating_duration_since(last));
        last = now;
        control.check_backend();
        control.spread_suspicions();
        control.check_reach(now);
        control.report(turn.is_multiple_of(PROFILE_TURNS));
        control.replan();
        if turn.is_multiple_of(ASK_TURNS) {
            let limits = control.limits();
            control
                .parts
                .engine
                .allowance()
                .fill_emergency(&limits, now);
            control.ask_portions(false);
        }
        if turn.is_multiple_of(JOURNAL_TURNS) {
            control.parts.engine.journal.turn();
        }
        let up = control.others.values().filter(|other| other.link.is_up());
        control.parts.engine.metrics.links.set(up.count() as i64);
    }
}

impl super::Control {
    /// Time between two reports.
    pub(super) fn report_interval(&self) -> Duration {
        let nodes = self.others.len() + 1;
        REPORT_TIME.mul_f64((nodes as f64 / SMALL_FLEET as f64).max(1.0))
    }

    /// A VM that was suspended knows nothing of what others did meanwhile, though its monotonic
    /// clock says that no time has passed.
    fn check_suspension(&mut self) {
        let elsewhere = suspended_time().saturating_sub(self.suspended);
        if elsewhere > SUSPENSION {
            self.suspended += elsewhere;
            let millis = elsewhere.as_millis() as u64;
            tracing::warn!(millis, "control: The VM was suspended.");
            self.parts.engine.allowance().clear();
            self.resign();
        }
    }

    /// A backend server that's silent for long takes nothing new.
    fn check_backend(&mut self) {
        let silent = self.parts.engine.runner.is_silent(self.parts.beat);
        if silent && self.me.status == Status::Serving {
            tracing::warn!("control: The backend server has been silent for too long.");
            self.set_status(Status::Joining);
        }
    }

    /// Tells the holder that this node, which is about to end, spends nothing any more.
    pub fn give_up_portions(&mut self) {
        self.parts.engine.allowance().clear();
        self.ask_portions(true);
    }

    /// Asks the holder for portions of the organisations' rates.
    pub(super) fn ask_portions(&mut self, leaving: bool) {
        let (now, limits) = (self.parts.clock.now(), self.limits());
        let vm = self.me.vm.clone();
        let link = match (&self.ledger, &self.holder) {
            (Some(_), _) => None,
            (None, Some((holder, ..))) => match self.others.get(holder) {
                Some(other) => Some(other.link.clone()),
                None => return,
            },
            (None, None) => return,
        };
        let ask = self
            .parts
            .engine
            .allowance()
            .next_request(&vm, &limits, leaving, now);
        match (link, &mut self.ledger) {
            (Some(link), _) => link.request_portions(ask),
            (None, Some(holding)) if now < holding.until => {
                let grant = holding.ledger.answer(&ask, &limits, now);
                let fence = holding.fence;
                self.take_grant(fence, &grant);
            }
            (None, _) => {}
        }
    }
}

/// Time for which the VM was suspended since it started.
pub(super) fn suspended_time() -> Duration {
    let read = |clock| {
        let time = rustix::time::clock_gettime(clock);
        Duration::new(
            time.tv_sec.unsigned_abs(),
            time.tv_nsec.unsigned_abs() as u32,
        )
    };
    // The monotonic clock is read first, so that nothing is counted twice.
    let running = read(rustix::time::ClockId::Monotonic);
    read(rustix::time::ClockId::Boottime).saturating_sub(running)
}
