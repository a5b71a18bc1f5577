//! What control does at regular intervals.

use std::sync::Arc;
use std::time::Duration;

use filbertwheel_core::Status;

use super::Shared;

/// Time between two reports to the other nodes in a small fleet.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Nodes up to which the interval stays; it grows with the fleet, so that a node hears as many
/// reports a second in a larger one.
const SMALL_FLEET: usize = 32;
/// Reports between two that tell what was learnt of the routes.
const PROFILE_TICKS: u64 = 2;
/// Reports between two beginnings of the journal's count.
const JOURNAL_TICKS: u64 = 4;
/// Suspension from which on shares of the rates are given up.
const MIN_SUSPENSION: Duration = Duration::from_millis(300);
/// Reports between two asks for portions.
const REQUEST_TICKS: u64 = 2;

/// Reports, plans and asks for as long as it's polled.
pub(crate) async fn run_ticks(control: Shared) {
    let clock = Arc::clone(&control.borrow().parts.clock);
    let mut tick: u64 = 0;
    let mut last = clock.now();
    loop {
        let interval = control.borrow().report_interval();
        clock.sleep(interval).await;
        tick += 1;
        let now = clock.now();
        let mut control = control.borrow_mut();
        control.check_suspension();
        control.handle_inbox();
        control.measure_demand(now.saturating_duration_since(last));
        last = now;
        control.check_backend();
        control.broadcast_crash_reports();
        control.check_reachability(now);
        control.send_reports(tick.is_multiple_of(PROFILE_TICKS));
        control.replan();
        if tick.is_multiple_of(REQUEST_TICKS) {
            let limits = control.limits();
            control.parts.engine.portions().fill_emergency(&limits, now);
            control.request_portions(false);
        }
        if tick.is_multiple_of(JOURNAL_TICKS) {
            control.parts.engine.journal.begin_second();
        }
        let up = control.peers.values().filter(|peer| peer.link.is_up());
        control.parts.engine.metrics.links.set(up.count() as i64);
    }
}

impl super::Control {
    /// Time between two reports.
    pub(super) fn report_interval(&self) -> Duration {
        let nodes = self.peers.len() + 1;
        REPORT_INTERVAL.mul_f64((nodes as f64 / SMALL_FLEET as f64).max(1.0))
    }

    /// A VM that was suspended knows nothing of what others did meanwhile, though its monotonic
    /// clock says that no time has passed.
    fn check_suspension(&mut self) {
        let suspension = suspended_time().saturating_sub(self.suspended);
        if suspension > MIN_SUSPENSION {
            self.suspended += suspension;
            let millis = suspension.as_millis() as u64;
            tracing::warn!(millis, "control: The VM was suspended.");
            self.parts.engine.portions().clear();
            self.drop_lease();
        }
    }

    /// A backend server that's silent for long takes nothing new.
    fn check_backend(&mut self) {
        let silent = self
            .parts
            .engine
            .runner
            .is_silent(self.parts.backend_report_interval);
        if silent && self.local_member.status == Status::Serving {
            tracing::warn!("control: The backend server has been silent for too long.");
            self.set_status(Status::Joining);
        }
    }

    /// Tells the holder that this node, which is about to end, spends nothing any more.
    pub fn return_portions(&mut self) {
        self.parts.engine.portions().clear();
        self.request_portions(true);
    }

    /// Asks the holder for portions of the organisations' rates.
    pub(super) fn request_portions(&mut self, leaving: bool) {
        let (now, limits) = (self.parts.clock.now(), self.limits());
        let vm = self.local_member.vm.clone();
        let link = match (&self.lease, &self.holder) {
            (Some(_), _) => None,
            (None, Some((holder, ..))) => match self.peers.get(holder) {
                Some(peer) => Some(peer.link.clone()),
                None => return,
            },
            (None, None) => return,
        };
        let request = self
            .parts
            .engine
            .portions()
            .next_request(&vm, &limits, leaving, now);
        match (link, &mut self.lease) {
            (Some(link), _) => link.request_portions(request),
            (None, Some(lease)) if now < lease.expires => {
                let grant = lease.ledger.answer(&request, &limits, now);
                let fence = lease.fence;
                self.apply_grant(fence, &grant);
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
