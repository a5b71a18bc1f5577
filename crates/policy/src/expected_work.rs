//! Work that a call is expected to take, learnt from the runs at one backend server.
//!
//! Work is counted in seconds at a server of usual speed. A distribution by route shows also what is
//! left of a run that has lasted for some time (mean residual life): of runs with a heavy tail, the
//! more the longer they last.

use std::collections::HashMap;

use filbertwheel_core::{OrganisationId, RouteId};

/// Work in seconds at a server of usual speed.
pub type WorkSeconds = f64;

/// Work of a call of which nothing is known.
const UNKNOWN_WORK: WorkSeconds = 0.1;
/// Most work that is expected of a call, and that one run counts for.
const MAX_WORK: WorkSeconds = 60.0;
/// Runs in which the weight of earlier ones halves.
const HALF_LIFE_RUNS: f64 = 128.0;
/// Runs that the fleet's mean time of a route counts for.
const PRIOR_RUNS: f64 = 4.0;
/// Least part of the mean that is left of any run.
const MIN_LEFT: f64 = 0.5;

/// Classes of run lengths. Each is longer than the one before by the square root of two.
const CLASSES: usize = 28;
/// Longest run of the first class.
const FIRST_CLASS: WorkSeconds = 0.001;
/// Classes for each doubling of the length.
const CLASSES_PER_DOUBLING: f64 = 2.0;

/// Routes that are kept.
const MAX_ROUTES: usize = 128;
/// Organisations that are kept for each route.
const MAX_ORGANISATIONS: usize = 64;
/// Runs of an organisation before its calls are told apart from those of others.
const MIN_ORGANISATION_RUNS: f64 = 8.0;
/// Least factor between the runs of an organisation and those of others to tell them apart.
const MIN_DIFFERENCE: f64 = 1.5;
/// Standard errors by which they must differ.
const MIN_STANDARD_ERRORS: f64 = 2.0;
/// Largest factor between a run of an organisation and the mean run of its route.
const MAX_FACTOR: f64 = 20.0;

/// Expected work by route, and by organisation where it differs.
#[derive(Debug, Default)]
pub struct ExpectedWork {
    routes: HashMap<RouteId, RouteWork>,
}

/// Distribution of the work of a route's runs.
#[derive(Debug, Default)]
struct RouteWork {
    classes: [Class; CLASSES],
    organisations: HashMap<OrganisationId, OrganisationWork>,
}

/// Runs of similar length, decayed.
#[derive(Debug, Clone, Copy, Default)]
struct Class {
    runs: f64,
    work: WorkSeconds,
}

/// Runs of an organisation relative to the mean run of the route, decayed.
#[derive(Debug, Clone, Copy, Default)]
struct OrganisationWork {
    runs: f64,
    factors: f64,
    squares: f64,
}

/// Expectation for one call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Expectation {
    /// Work of the call.
    pub work: WorkSeconds,
    /// Factor by which its organisation's calls differ from others of the route.
    pub factor: f64,
}

impl ExpectedWork {
    /// Returns the expectation for a call. `fleet_mean` is the mean time of the route's runs over all
    /// servers, if known.
    pub fn expect(
        &self,
        route: &RouteId,
        organisation: Option<&OrganisationId>,
        fleet_mean: Option<WorkSeconds>,
    ) -> Expectation {
        let prior = fleet_mean.filter(|mean| mean.is_finite() && *mean > 0.0);
        let prior = prior.unwrap_or(UNKNOWN_WORK).min(MAX_WORK);
        let Some(known) = self.routes.get(route) else {
            return Expectation {
                work: prior,
                factor: 1.0,
            };
        };
        let all = known.longer_than(0.0);
        let mean = (prior * PRIOR_RUNS + all.work) / (PRIOR_RUNS + all.runs);
        let factor = organisation
            .and_then(|organisation| known.organisations.get(organisation))
            .map_or(1.0, OrganisationWork::factor);
        Expectation {
            work: (mean * factor).min(MAX_WORK),
            factor,
        }
    }

    /// Returns the work that is left of a run that has taken `done` so far. It is never nothing, and
    /// grows when a run turns out to be a long one.
    pub fn left(&self, route: &RouteId, expected: Expectation, done: WorkSeconds) -> WorkSeconds {
        let least = expected.work * MIN_LEFT;
        let Some(known) = self.routes.get(route) else {
            return (expected.work - done).max(least);
        };
        // The distribution is that of the route; the organisation's runs are longer by a factor.
        let done = done / expected.factor;
        let longer = known.longer_than(done);
        if longer.runs < 1.0 {
            return (expected.work - done * expected.factor).max(least);
        }
        let left = (longer.work / longer.runs - done) * expected.factor;
        left.clamp(least, MAX_WORK)
    }

    /// Records the work of a finished run.
    pub fn record(
        &mut self,
        route: &RouteId,
        organisation: Option<&OrganisationId>,
        work: WorkSeconds,
    ) {
        if !work.is_finite() || work < 0.0 {
            return;
        }
        let work = work.min(MAX_WORK);
        let known = self.route_entry(route);
        let all = known.longer_than(0.0);
        known.record(work);
        if let (Some(organisation), true) = (organisation, all.runs >= 1.0 && all.work > 0.0) {
            let factor = work / (all.work / all.runs);
            known.record_organisation(organisation, factor.min(MAX_FACTOR));
        }
    }

    /// Returns the number of routes that are kept.
    pub fn routes(&self) -> usize {
        self.routes.len()
    }

    /// Returns the number of a route's organisations that are kept.
    pub fn organisations(&self, route: &RouteId) -> usize {
        let known = self.routes.get(route);
        known.map_or(0, |known| known.organisations.len())
    }

    /// Returns the route's entry. If there is no room for a new one, the one with the fewest runs goes.
    fn route_entry(&mut self, route: &RouteId) -> &mut RouteWork {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            let runs = |known: &RouteWork| known.longer_than(0.0).runs;
            let least = self
                .routes
                .iter()
                .min_by(|(_, one), (_, other)| runs(one).total_cmp(&runs(other)));
            if let Some(evicted) = least.map(|(route, _)| route.clone()) {
                self.routes.remove(&evicted);
            }
        }
        self.routes.entry(route.clone()).or_default()
    }
}

impl RouteWork {
    /// Returns the sums over all runs of at least the class that `done` falls into.
    fn longer_than(&self, done: WorkSeconds) -> Class {
        let longer = self.classes[class_of(done)..].iter();
        longer.fold(Class::default(), |sum, class| Class {
            runs: sum.runs + class.runs,
            work: sum.work + class.work,
        })
    }

    fn record(&mut self, work: WorkSeconds) {
        let kept = decay();
        for class in &mut self.classes {
            class.runs *= kept;
            class.work *= kept;
        }
        let class = &mut self.classes[class_of(work)];
        class.runs += 1.0;
        class.work += work;
    }

    fn record_organisation(&mut self, organisation: &OrganisationId, factor: f64) {
        let known = &mut self.organisations;
        if known.len() >= MAX_ORGANISATIONS && !known.contains_key(organisation) {
            let least = known
                .iter()
                .min_by(|(_, one), (_, other)| one.runs.total_cmp(&other.runs));
            if let Some(evicted) = least.map(|(organisation, _)| organisation.clone()) {
                known.remove(&evicted);
            }
        }
        match known.get_mut(organisation) {
            Some(entry) => entry.record(factor),
            None => {
                let mut entry = OrganisationWork::default();
                entry.record(factor);
                known.insert(organisation.clone(), entry);
            }
        }
    }
}

impl OrganisationWork {
    fn record(&mut self, factor: f64) {
        let kept = decay();
        self.runs = self.runs * kept + 1.0;
        self.factors = self.factors * kept + factor;
        self.squares = self.squares * kept + factor * factor;
    }

    /// Returns the mean factor if it differs clearly from 1, else 1.
    fn factor(&self) -> f64 {
        if self.runs < MIN_ORGANISATION_RUNS {
            return 1.0;
        }
        let mean = self.factors / self.runs;
        let variance = (self.squares / self.runs - mean * mean).max(0.0);
        let standard_error = (variance / self.runs).sqrt();
        let is_similar = (1.0 / MIN_DIFFERENCE..=MIN_DIFFERENCE).contains(&mean);
        let is_uncertain = (mean - 1.0).abs() < standard_error * MIN_STANDARD_ERRORS;
        if is_similar || is_uncertain {
            return 1.0;
        }
        mean.clamp(1.0 / MAX_FACTOR, MAX_FACTOR)
    }
}

/// Returns the part of the earlier weight that is left after one more run.
fn decay() -> f64 {
    1.0 - std::f64::consts::LN_2 / HALF_LIFE_RUNS
}

fn class_of(work: WorkSeconds) -> usize {
    let doublings = (work / FIRST_CLASS).max(1.0).log2();
    // The cast saturates.
    ((doublings * CLASSES_PER_DOUBLING) as usize).min(CLASSES - 1)
}
