//! Acknowledged departures over restarts of the process, lost and late writes, and restores of the
//! store.

use filbertwheel_policy::{Departure, DepartureLog, DepartureRow, DepartureWrite};
use proptest::prelude::*;

const INSTANCES: usize = 3;
/// Latest start of a life.
const LAST_START: u64 = 6;
const FIRST_EPOCH: u64 = 1;

#[derive(Debug, Clone)]
enum Step {
    /// A life leaves, and is acknowledged if the store holds that at the end of the step.
    Leave(usize, u64),
    Read,
    Write(Outcome),
    /// A write whose outcome was unknown takes effect, if its condition still holds.
    LateWrite,
    /// The process ends and starts again without memory.
    Restart,
    /// The store is copied.
    Copy,
    /// The store goes back to the copy.
    Restore,
    /// The process hears of the epoch.
    Observe,
}

#[derive(Debug, Clone, Copy)]
enum Outcome {
    Done,
    Lost,
    Refused,
    Late,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let outcome = prop_oneof![
        4 => Just(Outcome::Done),
        1 => Just(Outcome::Lost),
        1 => Just(Outcome::Refused),
        1 => Just(Outcome::Late),
    ];
    let step = prop_oneof![
        6 => (0..INSTANCES, 1..=LAST_START).prop_map(|(one, at)| Step::Leave(one, at)),
        6 => Just(Step::Read),
        6 => outcome.prop_map(Step::Write),
        2 => Just(Step::LateWrite),
        2 => Just(Step::Restart),
        1 => Just(Step::Copy),
        1 => Just(Step::Restore),
        2 => Just(Step::Observe),
    ];
    prop::collection::vec(step, 1..80)
}

#[derive(Debug, Clone, Default)]
struct Store {
    departures: Vec<Departure>,
    /// Revision of the row; 0 if there is none.
    row: u64,
    revision: u64,
    epoch: u64,
}

impl Store {
    /// Applies a write if its condition holds.
    fn commit(&mut self, write: &DepartureWrite) -> bool {
        if write.expected != self.row {
            return false;
        }
        self.revision += 1;
        self.row = self.revision;
        self.departures.clone_from(&write.departures);
        true
    }

    fn holds(&self, departure: &Departure) -> bool {
        let mut held = self.departures.iter();
        held.any(|one| one.instance == departure.instance && departure.until_ms <= one.until_ms)
    }

    fn read(&self) -> DepartureRow {
        DepartureRow {
            departures: self.departures.clone(),
            revision: self.row,
            epoch: self.epoch,
        }
    }
}

struct Model {
    store: Store,
    copy: Store,
    log: DepartureLog,
    /// Departures recorded by the present process.
    recorded: Vec<Departure>,
    /// Departures that were acknowledged and not lost in a restore.
    acknowledged: Vec<Departure>,
    /// Those of them that a restore took from the store, so that only the process has them.
    restored_away: Vec<Departure>,
    late: Vec<DepartureWrite>,
}

impl Model {
    fn open() -> Self {
        let store = Store {
            epoch: FIRST_EPOCH,
            ..Store::default()
        };
        Self {
            copy: store.clone(),
            store,
            log: DepartureLog::default(),
            recorded: Vec::new(),
            acknowledged: Vec::new(),
            restored_away: Vec::new(),
            late: Vec::new(),
        }
    }

    fn play(&mut self, step: &Step) {
        match step {
            Step::Leave(instance, until_ms) => {
                let departure = Departure {
                    instance: format!("i-{instance}").into(),
                    until_ms: *until_ms,
                };
                self.log.record(departure.clone());
                self.recorded.push(departure);
            }
            Step::Read if self.log.needs_read() => self.log.apply_row(self.store.read()),
            Step::Read => {}
            Step::Write(outcome) => self.write(*outcome),
            Step::LateWrite => {
                if let Some(write) = self.late.pop() {
                    self.store.commit(&write);
                }
            }
            Step::Restart => {
                self.log = DepartureLog::default();
                self.recorded.clear();
                let (store, lost) = (&self.store, std::mem::take(&mut self.restored_away));
                self.acknowledged
                    .retain(|one| store.holds(one) || !lost.contains(one));
            }
            Step::Copy => self.copy = self.store.clone(),
            Step::Restore => {
                let epoch = self.store.epoch + 1;
                self.store = Store {
                    epoch,
                    ..self.copy.clone()
                };
                // Lost unless a process that remembers them is still there, or the copy has them.
                let (store, log) = (&self.store, &self.log);
                self.acknowledged
                    .retain(|one| store.holds(one) || log.has_left(&one.instance, one.until_ms));
                let acknowledged = self.acknowledged.iter();
                let away = acknowledged.filter(|one| !store.holds(one));
                self.restored_away = away.cloned().collect();
                // A late write may meet its condition again.
                self.late.clear();
                self.log.observe_epoch(epoch);
            }
            Step::Observe => self.log.observe_epoch(self.store.epoch),
        }
        let stored = self.recorded.iter().filter(|one| self.log.is_stored(one));
        self.acknowledged.extend(stored.cloned());
    }

    fn write(&mut self, outcome: Outcome) {
        let Some(write) = self.log.due_write() else {
            return;
        };
        match outcome {
            Outcome::Done => {
                if self.store.commit(&write) {
                    let (revision, epoch) = (self.store.revision, self.store.epoch);
                    self.log.finish_write(&write, revision, epoch);
                } else {
                    self.log.fail_write();
                }
            }
            Outcome::Lost => {
                self.store.commit(&write);
                self.log.fail_write();
            }
            Outcome::Refused => self.log.fail_write(),
            Outcome::Late => {
                self.late.push(write);
                self.log.fail_write();
            }
        }
    }

    /// Checks that the store or, after a restore, the process still holds what was acknowledged.
    fn check(&self) {
        for departure in &self.acknowledged {
            let is_held = self.store.holds(departure);
            let is_known = self.log.has_left(&departure.instance, departure.until_ms);
            let will_be_written = is_known && !self.log.is_stored(departure);
            assert!(
                is_held || will_be_written,
                "{departure:?} was acknowledged and is forgotten"
            );
            assert!(
                !self.log.is_recovered() || is_known,
                "{departure:?} was acknowledged, and the process takes it for present"
            );
        }
    }
}

proptest! {
    // Guards against an acknowledged departure that a restart, a lost or late write or a restore of the
    // store undoes.
    #[test]
    fn an_acknowledged_departure_is_never_forgotten(steps in steps()) {
        let mut model = Model::open();
        for step in &steps {
            model.play(step);
            model.check();
        }
        // Nothing that was recorded stays unstored for ever.
        model.log.observe_epoch(model.store.epoch);
        for _ in 0..3 {
            model.play(&Step::Read);
            model.play(&Step::Write(Outcome::Done));
        }
        for departure in &model.recorded {
            prop_assert!(model.log.is_stored(departure));
        }
    }
}

fn departure(instance: &str, until_ms: u64) -> Departure {
    Departure {
        instance: instance.into(),
        until_ms,
    }
}

// Guards against a record that keeps a later life of the same instance out of use.
#[test]
fn a_later_life_of_the_same_instance_is_present() {
    let mut log = DepartureLog::default();
    log.apply_row(DepartureRow::default());
    log.record(departure("i-1", 100));
    assert!(log.has_left(&"i-1".into(), 100));
    assert!(!log.has_left(&"i-1".into(), 101));
    assert!(!log.has_left(&"i-2".into(), 100));
}

// Guards against a record that grows with each backend server that a VM has ever had.
#[test]
fn the_oldest_departures_are_forgotten() {
    let mut log = DepartureLog::default();
    log.apply_row(DepartureRow::default());
    for number in 0..100 {
        log.record(departure(&format!("i-{number}"), number));
        // A repeated report changes nothing.
        log.record(departure(&format!("i-{number}"), number));
    }
    let write = log.due_write().expect("a write is due");
    assert_eq!(write.departures.len(), 16);
    assert!(log.has_left(&"i-99".into(), 99));
    assert!(!log.has_left(&"i-0".into(), 0));
}
