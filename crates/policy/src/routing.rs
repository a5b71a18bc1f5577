//! Choice of the backend server for a call, by two random choices.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use filbertwheel_core::{VmId, value};

/// Backend server that could run a call.
#[value]
pub struct Candidate {
    /// Expected wait in microseconds.
    pub wait_us: u64,
    /// Calls that this node has sent to it and that are still in flight.
    pub pending: u32,
    /// Whether it is in this node's failure domain.
    pub same_domain: bool,
    /// Percentage of a full share of the calls that it gets, below 100 while it is new.
    pub ramp_percent: u32,
}

/// Difference in wait, in microseconds, above which a call leaves its failure domain.
const DOMAIN_PENALTY_US: u64 = 2_000;
/// Wait in microseconds that is assumed per pending call.
const PENDING_CALL_WAIT_US: u64 = 200;
/// Time in which a reported wait decays by half.
const WAIT_HALF_LIFE: Duration = Duration::from_millis(500);
/// How long an unreachable backend server is avoided.
const AVOID_TIME: Duration = Duration::from_secs(1);
/// Wait in microseconds that is assumed for an avoided backend server.
const AVOIDED_WAIT_US: u64 = 1_000_000;
/// How long a new backend server gets less than a full share.
const RAMP_TIME: Duration = Duration::from_secs(10);
/// Percentage of a full share that a new backend server starts with.
const RAMP_START_PERCENT: u32 = 10;
/// Percentage of a full share.
const FULL_SHARE_PERCENT: u32 = 100;

/// Chooses the better of two random candidates. `draw` returns a random number below its argument.
pub fn choose_backend(
    candidates: &[Candidate],
    mut draw: impl FnMut(usize) -> usize,
) -> Option<usize> {
    match candidates.len() {
        0 => None,
        1 => Some(0),
        count => {
            let first = draw(count);
            let second = (first + 1 + draw(count - 1)) % count;
            let (a, b) = (&candidates[first], &candidates[second]);
            let skip_first = a.ramp_percent < FULL_SHARE_PERCENT
                && draw(FULL_SHARE_PERCENT as usize) >= a.ramp_percent as usize;
            let skip_second = b.ramp_percent < FULL_SHARE_PERCENT
                && draw(FULL_SHARE_PERCENT as usize) >= b.ramp_percent as usize;
            let better = match (skip_first, skip_second) {
                (true, false) => second,
                (false, true) => first,
                _ if b.cost() < a.cost() => second,
                _ => first,
            };
            Some(better)
        }
    }
}

impl Candidate {
    /// Returns the expected wait in microseconds, including the penalties.
    fn cost(&self) -> u64 {
        let penalty = if self.same_domain {
            0
        } else {
            DOMAIN_PENALTY_US
        };
        self.wait_us + penalty + u64::from(self.pending) * PENDING_CALL_WAIT_US
    }
}

/// Tracks the load of other members, as observed by one node in its own calls.
#[derive(Debug, Default)]
pub struct LoadTracker {
    members: HashMap<VmId, MemberLoad>,
}

#[derive(Debug)]
struct MemberLoad {
    wait: Duration,
    reported: Instant,
    avoided_until: Option<Instant>,
    pending: u32,
    added: Option<Instant>,
}

impl LoadTracker {
    /// Adds a member at `now`. A `new` one starts with a reduced share; one that is present from
    /// the start doesn't.
    pub fn add(&mut self, vm: &VmId, new: bool, now: Instant) {
        self.member(vm, now).added = new.then_some(now);
    }

    /// Drops the members for which `keep` returns `false`, unless they have pending calls.
    pub fn retain(&mut self, mut keep: impl FnMut(&VmId) -> bool) {
        self.members
            .retain(|vm, member| member.pending > 0 || keep(vm));
    }

    /// Returns whether a member is tracked.
    pub fn contains(&self, vm: &VmId) -> bool {
        self.members.contains_key(vm)
    }

    /// Records that a call is sent.
    pub fn begin(&mut self, vm: &VmId, now: Instant) {
        self.member(vm, now).pending += 1;
    }

    /// Records that a call has ended.
    pub fn end(&mut self, vm: &VmId) {
        if let Some(member) = self.members.get_mut(vm) {
            member.pending = member.pending.saturating_sub(1);
        }
    }

    /// Records a reported wait.
    pub fn record_wait(&mut self, vm: &VmId, wait: Duration, now: Instant) {
        let member = self.member(vm, now);
        member.wait = wait;
        member.reported = now;
        member.avoided_until = None;
    }

    /// Records that a member was unreachable.
    pub fn record_unreachable(&mut self, vm: &VmId, now: Instant) {
        self.member(vm, now).avoided_until = Some(now + AVOID_TIME);
    }

    /// Returns a member as a candidate.
    pub fn candidate(&self, vm: &VmId, same_domain: bool, now: Instant) -> Candidate {
        let Some(member) = self.members.get(vm) else {
            return Candidate {
                wait_us: 0,
                pending: 0,
                same_domain,
                ramp_percent: FULL_SHARE_PERCENT,
            };
        };
        Candidate {
            wait_us: member.wait_us(now),
            pending: member.pending,
            same_domain,
            ramp_percent: member.ramp_percent(now),
        }
    }

    /// Returns the state of a member, which is added if it is unknown.
    fn member(&mut self, vm: &VmId, now: Instant) -> &mut MemberLoad {
        self.members
            .entry(vm.clone())
            .or_insert_with(|| MemberLoad {
                wait: Duration::ZERO,
                reported: now,
                avoided_until: None,
                pending: 0,
                added: None,
            })
    }
}

impl MemberLoad {
    /// Returns the reported wait in microseconds, decayed by its age.
    fn wait_us(&self, now: Instant) -> u64 {
        if self.avoided_until.is_some_and(|until| now < until) {
            return AVOIDED_WAIT_US;
        }
        let age = now.saturating_duration_since(self.reported).as_secs_f64();
        let weight = 0.5_f64.powf(age / WAIT_HALF_LIFE.as_secs_f64());
        (self.wait.as_micros() as f64 * weight) as u64
    }

    /// Returns the percentage of a full share, which rises linearly over the ramp time.
    fn ramp_percent(&self, now: Instant) -> u32 {
        let Some(added) = self.added else {
            return FULL_SHARE_PERCENT;
        };
        let age = now.saturating_duration_since(added).as_secs_f64();
        let grown =
            age / RAMP_TIME.as_secs_f64() * f64::from(FULL_SHARE_PERCENT - RAMP_START_PERCENT);
        (RAMP_START_PERCENT + grown as u32).min(FULL_SHARE_PERCENT)
    }
}
