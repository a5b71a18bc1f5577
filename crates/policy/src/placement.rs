//! Choice of the backend server that a call is sent to.

use std::fmt::Debug;
use std::time::{Duration, Instant};

use crate::BackendView;
use crate::balance::{BROKEN_RATE, JITTER_COST};
use crate::speed::freshness;

/// Part of the choices that take a candidate whatever it costs, so that what is believed of it is
/// measured again.
const EXPLORED_PART: f64 = 1.0 / 64.0;
/// The same if a candidate has had no call for some time, so that no sound server stays without.
const IDLE_PART: f64 = 1.0 / 8.0;
/// Weight of distance and failures beside the time of a run, which counts half when calls are placed by
/// their number.
const OTHER_WEIGHT: f64 = 2.0;
/// Utilisation above which a server may have no free slot, or may be slower, by the time the call
/// arrives, and the cost of each further unit in units of a run.
const NEARLY_FULL: f64 = 0.9;
const FULL_COST: f64 = 3.0;
/// Shortest unit of cost, in seconds.
const MIN_UNIT: f64 = 0.001;
/// Range of the slowness that counts.
const MIN_SLOWNESS: f64 = 0.2;
const MAX_SLOWNESS: f64 = 20.0;

/// Chooses the backend server that a call is sent to.
pub trait Placement: Debug + Send + Sync {
    /// Returns the index of one of the candidates, which are in random order; `None` if there are none.
    /// `work` is the time that the call is expected to take at a server of usual speed, and `draw`
    /// returns random numbers from 0 to 1.
    fn choose(
        &self,
        candidates: &[BackendView],
        work: Duration,
        now: Instant,
        draw: &mut dyn FnMut() -> f64,
    ) -> Option<usize>;
}

/// Takes the server with the fewest calls per slot, weighted by its slowness.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastOccupied;

impl Placement for LeastOccupied {
    fn choose(
        &self,
        candidates: &[BackendView],
        _work: Duration,
        now: Instant,
        draw: &mut dyn FnMut() -> f64,
    ) -> Option<usize> {
        least(candidates, |view| view.cost(now, draw()))
    }
}

/// Takes the server where the call is expected to be complete first, with some distance to servers
/// that have much to do.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastExpectedTime;

impl Placement for LeastExpectedTime {
    fn choose(
        &self,
        candidates: &[BackendView],
        work: Duration,
        now: Instant,
        draw: &mut dyn FnMut() -> f64,
    ) -> Option<usize> {
        let work = work.as_secs_f64();
        if let Some(explored) = explore(candidates, now, draw()) {
            return Some(explored);
        }
        let unit = unit(candidates, work);
        least(candidates, |view| {
            let other = view.other_costs(now) * OTHER_WEIGHT + draw() * JITTER_COST;
            expected_cost(view, work, unit, now) + other
        })
    }
}

/// Returns a candidate to be measured again, if the random number `drawn` calls for that.
fn explore(candidates: &[BackendView], now: Instant, drawn: f64) -> Option<usize> {
    let is_idle = |view: &BackendView| view.load.idle && view.pending == 0;
    let idle = candidates.iter().position(is_idle);
    let (index, part) = idle.map_or((0, EXPLORED_PART), |index| (index, IDLE_PART));
    let view = candidates.get(index)?;
    (drawn < part && is_sound(view, now)).then_some(index)
}

/// Returns whether a call may be sent there to learn how it does.
fn is_sound(view: &BackendView, now: Instant) -> bool {
    let failing = f64::from(view.load.failing);
    failing < BROKEN_RATE && !view.is_avoided(now) && view.utilisation() < NEARLY_FULL
}

/// Returns the index of the candidate with the least cost.
fn least(candidates: &[BackendView], mut cost: impl FnMut(&BackendView) -> f64) -> Option<usize> {
    let costs = candidates.iter().map(&mut cost).enumerate();
    let (index, _) = costs.min_by(|(_, one), (_, other)| one.total_cmp(other))?;
    Some(index)
}

/// Returns the seconds that a cost of 1 stands for: a run at the candidates, or the call itself if it
/// is longer. So other costs weigh the same for calls of all kinds.
fn unit(candidates: &[BackendView], work: f64) -> f64 {
    let (mut backlog, mut occupancy) = (0.0, 0.0);
    for view in candidates {
        backlog += f64::from(view.load.backlog);
        occupancy += view.load.occupancy();
    }
    let run = if occupancy > 0.0 {
        backlog / occupancy
    } else {
        0.0
    };
    run.max(work).max(MIN_UNIT)
}

/// Returns the cost of the time until the call is complete, and of the work that it finds there: what a
/// sender knows of the latter is old, so more may have come.
fn expected_cost(view: &BackendView, work: f64, unit: f64, now: Instant) -> f64 {
    let slowness = present_slowness(view, now);
    let slots = f64::from(view.load.slots.max(1));
    let utilisation = view.utilisation();
    let own_pending = view.pending_work * slowness / slots;
    let waits = if utilisation < 1.0 {
        0.0
    } else {
        f64::from(view.load.delay) + own_pending
    };
    let complete = waits + work * slowness;
    let backlog = reported_backlog(view, unit) + own_pending;
    let nearly_full = (utilisation - NEARLY_FULL).max(0.0) * FULL_COST * slowness;
    (complete + backlog) / unit + nearly_full
}

/// Returns the slowness that was reported, faded to the usual one with the age of the report.
fn present_slowness(view: &BackendView, now: Instant) -> f64 {
    let (present, usual) = (view.load.slowness, view.load.usual_slowness);
    let (present, usual) = (f64::from(present), f64::from(usual));
    let weight = view
        .reported
        .map_or(0.0, |at| freshness(now.saturating_duration_since(at)));
    let slowness = usual + (present - usual) * weight;
    slowness.clamp(MIN_SLOWNESS, MAX_SLOWNESS)
}

/// Returns the reported backlog, or an estimate from the number of calls if the other node counts
/// calls only.
fn reported_backlog(view: &BackendView, unit: f64) -> f64 {
    if view.load.backlog > 0.0 {
        return f64::from(view.load.backlog);
    }
    view.load.occupancy() * unit
}
