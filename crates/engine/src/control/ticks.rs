//! Periodic tasks of the control thread.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertwheel_core::Status;

use super::Shared;

/// Interval at which this node measures, plans and checks its state, whatever the size of the
/// fleet.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of reports per second that a node sends to the others and receives from them.
const MAX_REPORTS_PER_SECOND: f64 = 128.0;
/// Longest interval between two reports to another node. Links without reports are closed.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(4);
/// Number of ticks between updates of the route profiles.
const PROFILE_TICKS: u64 = 2;
/// Number of ticks after which the journal's count of lines starts anew.
const JOURNAL_TICKS: u64 = 4;
/// Minimum suspension of the VM after which its portions and its lease are given up.
const MIN_SUSPENSION: Duration = Duration::from_millis(300);
/// Number of ticks between requests for portions.
const REQUEST_TICKS: u64 = 2;
/// Number of ticks between log lines about the rate limits at the lease holder.
const LEDGER_TICKS: u64 = 20;

/// Runs the periodic tasks without end.
pub(crate) async fn run_ticks(control: Shared) {
    let clock = Arc::clone(&control.borrow().parts.clock);
    let mut tick: u64 = 0;
    let mut last = clock.now();
    let mut reported = last;
    loop {
        clock.sleep(TICK_INTERVAL).await;
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
        control.forget_dead_peers(now);
        control.apply_notices(now);
        control.note_unknown_domains(now);
        if now.saturating_duration_since(reported) >= control.report_interval() {
            control.send_reports();
            reported = now;
        }
        if tick.is_multiple_of(PROFILE_TICKS) {
            control.measure_profiles();
        }
        control.replan(now);
        if tick.is_multiple_of(REQUEST_TICKS) {
            control.update_portions(now);
        }
        if tick.is_multiple_of(LEDGER_TICKS) {
            control.report_ledger(now);
        }
        if tick.is_multiple_of(JOURNAL_TICKS) {
            control.parts.engine.journal.begin_second();
        }
        let up = control.peers.values().filter(|peer| peer.link.is_up());
        control.parts.engine.metrics.links.set(up.count() as i64);
    }
}

impl super::Control {
    /// Returns the interval between reports to each other node. In a large fleet they only say that
    /// a link works and how loaded a backend server without calls is.
    pub(super) fn report_interval(&self) -> Duration {
        let interval = Duration::from_secs_f64(self.peers.len() as f64 / MAX_REPORTS_PER_SECOND);
        interval.clamp(TICK_INTERVAL, MAX_REPORT_INTERVAL)
    }

    /// Gives up the portions and the lease after a suspension of the VM. The other nodes may have
    /// granted them anew meanwhile, and the monotonic clock doesn't count the time of the
    /// suspension.
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

    /// Takes the backend server out of service if it has not reported for too long.
    fn check_backend(&mut self) {
        let silent = self
            .parts
            .engine
            .runner
            .is_silent(self.parts.backend_report_interval);
        if silent && self.local_member.status == Status::Serving {
            tracing::warn!("control: The backend server has not reported for too long.");
            self.set_status(Status::Joining);
        }
    }

    /// Updates the demand for portions, and requests some if this node needs them. The lease holder
    /// also hears once from each node, so that it knows what an earlier one has lent.
    fn update_portions(&mut self, now: Instant) {
        let limits = Arc::clone(&self.limits);
        let needed = {
            let mut portions = self.parts.engine.portions();
            portions.fill_emergency(&limits, now);
            portions.update_demand(&limits, now);
            portions.needs_portions(&limits, now)
        };
        let fence = self.holder.as_ref().map(|(_, fence, _)| *fence);
        if needed || self.lease.is_some() || fence != self.asked_fence {
            self.asked_fence = fence;
            self.request_portions(false);
        }
    }

    /// Logs and records the state of the rate limits, if this node holds the lease.
    fn report_ledger(&self, now: Instant) {
        let Some(lease) = &self.lease else { return };
        let ledger = lease.ledger.summary(now);
        let claims = self.parts.engine.claims.take();
        self.parts.engine.metrics.record_ledger(&ledger, &claims);
        tracing::info!(
            fence = lease.fence,
            nodes = ledger.nodes,
            lent_organisations = ledger.lent_organisations,
            max_lent = ledger.max_lent,
            max_unconfirmed = ledger.max_unconfirmed,
            emergency_reserve = ledger.emergency_reserve,
            granted = claims.granted,
            denied = claims.denied,
            denied_organisations = claims.denied_organisations,
            most_denied = claims.most_denied,
            "control: State of the rate limits at the lease holder."
        );
    }

    /// Returns this node's portions to the lease holder before the node ends.
    pub fn return_portions(&mut self) {
        self.parts.engine.portions().clear();
        self.request_portions(true);
    }

    /// Requests portions of the organisations' rate limits from the lease holder.
    pub(super) fn request_portions(&mut self, leaving: bool) {
        let (now, limits) = (self.parts.clock.now(), Arc::clone(&self.limits));
        let vm = self.local_member.vm.clone();
        let link = match (&self.lease, &self.holder) {
            (Some(_), _) => None,
            (None, Some((holder, ..))) => match self.peers.get(holder) {
                Some(peer) => Some(peer.link.clone()),
                None => return,
            },
            (None, None) => return,
        };
        let request = self.parts.engine.portions().next_request(&vm, leaving, now);
        match (link, &mut self.lease) {
            (Some(link), _) => link.request_portions(request),
            (None, Some(lease)) if now < lease.expires => {
                let grant = lease.ledger.handle_request(&request, &limits, now);
                let fence = lease.fence;
                self.apply_grant(fence, &grant);
            }
            (None, _) => {}
        }
    }
}

/// Returns the total time for which the VM was suspended since its boot.
pub(super) fn suspended_time() -> Duration {
    let read = |clock| {
        let time = rustix::time::clock_gettime(clock);
        Duration::new(
            time.tv_sec.unsigned_abs(),
            time.tv_nsec.unsigned_abs() as u32,
        )
    };
    // The monotonic clock is read first, so that the difference never comes out too small.
    let running = read(rustix::time::ClockId::Monotonic);
    read(rustix::time::ClockId::Boottime).saturating_sub(running)
}
