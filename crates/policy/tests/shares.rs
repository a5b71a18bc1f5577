//! No organisation exceeds its rate and burst under any fault.
//!
//! For a long run, which prints its number of steps: `FILBERTWHEEL_SHARES_CASES=20000 cargo test -p
//! filbertwheel-policy --release --test shares -- --nocapture`.

mod fleet;

use std::sync::atomic::{AtomicUsize, Ordering};

use fleet::{Fleet, TableMode};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed, TestRunner};

/// Number of VMs in the random runs, and in the scenarios.
const VMS: usize = 7;
const SCENARIO_VMS: usize = 5;
const SEED: u64 = 20_261_204;
const CASES: u32 = 300;

#[derive(Debug, Clone)]
enum Step {
    Tick(u8),
    Spend(usize, u32),
    Refund(usize, usize),
    Freeze(usize),
    Thaw,
    Kill(usize),
    Restart(usize),
    Partition(u8),
    Heal,
    Table(TableMode),
    Release(usize),
    Faults(u32),
}

fn step() -> impl Strategy<Value = Step> {
    let vm = 0..VMS;
    prop_oneof![
        30 => (1u8..8).prop_map(Step::Tick),
        30 => (vm.clone(), 1u32..25).prop_map(|(vm, count)| Step::Spend(vm, count)),
        5 => (vm.clone(), 1usize..10).prop_map(|(vm, count)| Step::Refund(vm, count)),
        3 => vm.clone().prop_map(Step::Freeze),
        4 => Just(Step::Thaw),
        2 => vm.clone().prop_map(Step::Kill),
        4 => vm.clone().prop_map(Step::Restart),
        3 => (1u8..128).prop_map(Step::Partition),
        4 => Just(Step::Heal),
        2 => Just(Step::Table(TableMode::Down)),
        2 => Just(Step::Table(TableMode::Faulty)),
        4 => Just(Step::Table(TableMode::Up)),
        1 => vm.prop_map(Step::Release),
        2 => (0u32..40).prop_map(Step::Faults),
    ]
}

fn apply(fleet: &mut Fleet, step: &Step) {
    match *step {
        Step::Tick(count) => (0..count).for_each(|_| {
            (0..VMS).for_each(|vm| fleet.spend(fleet.process(vm), 3));
            fleet.tick();
        }),
        Step::Spend(vm, count) => fleet.spend(fleet.process(vm), count),
        Step::Refund(vm, count) => fleet.refund(fleet.process(vm), count),
        Step::Freeze(vm) => {
            let process = fleet.process(vm);
            fleet.nodes[process].frozen = true;
        }
        Step::Thaw => fleet.nodes.iter_mut().for_each(|one| one.frozen = false),
        Step::Kill(vm) => {
            let process = fleet.process(vm);
            fleet.nodes[process].dead = true;
        }
        Step::Restart(vm) => fleet.restart(vm),
        Step::Partition(mask) => fleet.set_partitions(mask),
        Step::Heal => fleet.set_partitions(0),
        Step::Table(mode) => fleet.mode = mode,
        Step::Release(vm) => fleet.release(fleet.process(vm)),
        Step::Faults(faults) => fleet.faults = faults,
    }
}

#[test]
fn shares_never_exceed_the_limit() {
    let cases = std::env::var("FILBERTWHEEL_SHARES_CASES");
    let cases = cases.ok().and_then(|text| text.parse().ok());
    let config = ProptestConfig {
        cases: cases.unwrap_or(CASES),
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let steps = AtomicUsize::new(0);
    let spent = AtomicUsize::new(0);
    let cases = (
        any::<u64>(),
        2usize..9,
        prop::collection::vec(step(), 40..160),
    );
    let outcome = TestRunner::new(config).run(&cases, |(seed, fanout, list)| {
        let mut fleet = Fleet::open(VMS, fanout, seed);
        (0..8).for_each(|_| fleet.tick());
        for one in &list {
            apply(&mut fleet, one);
        }
        steps.fetch_add(list.len(), Ordering::Relaxed);
        spent.fetch_add(fleet.spent(), Ordering::Relaxed);
        fleet.check().map_err(TestCaseError::fail)
    });
    let steps = steps.into_inner();
    println!("{steps} steps, {} tokens spent", spent.into_inner());
    if let Err(error) = outcome {
        panic!("{error}");
    }
}

/// Ticks of a scenario after its fault.
const TICKS_AFTER_FAULT: u32 = 60;

/// Runs a fleet with a demand below its rate limit, and a fault in the middle.
fn scenario(fault: impl FnOnce(&mut Fleet, usize)) -> Fleet {
    scenario_in(SCENARIO_VMS, SCENARIO_VMS, fault)
}

fn scenario_in(vms: usize, fanout: usize, fault: impl FnOnce(&mut Fleet, usize)) -> Fleet {
    let mut fleet = Fleet::open(vms, fanout, SEED);
    let steady = |fleet: &mut Fleet, ticks: u32| {
        for tick in 0..ticks {
            (0..4).for_each(|call| fleet.spend(fleet.process((tick + call) as usize % vms), 1));
            fleet.tick();
        }
    };
    steady(&mut fleet, 60);
    fleet.refused = 0;
    let root = (0..fleet.nodes.len()).find(|process| fleet.is_root(*process));
    fault(&mut fleet, root.expect("a running fleet has a root"));
    steady(&mut fleet, TICKS_AFTER_FAULT);
    println!(
        "{} refused within the rate of {}",
        fleet.refused,
        TICKS_AFTER_FAULT * 4
    );
    assert_eq!(fleet.check(), Ok(()));
    fleet
}

#[test]
fn a_fleet_without_faults_refuses_nothing_within_the_rate() {
    assert_eq!(scenario(|_, _| {}).refused, 0);
}

#[test]
fn an_outage_of_the_store_refuses_nothing_within_the_rate() {
    assert_eq!(scenario(|fleet, _| fleet.mode = TableMode::Down).refused, 0);
}

#[test]
fn a_killed_root_is_replaced() {
    let fleet = scenario(|fleet, root| fleet.nodes[root].dead = true);
    let roots = (0..SCENARIO_VMS).filter(|vm| fleet.is_root(*vm) && !fleet.nodes[*vm].dead);
    assert_eq!(roots.count(), 1);
}

#[test]
fn a_graceful_shutdown_hands_over_the_lease() {
    let fleet = scenario(|fleet, root| fleet.release(root));
    assert_eq!((0..SCENARIO_VMS).filter(|vm| fleet.is_root(*vm)).count(), 1);
}

#[test]
fn a_root_partitioned_with_a_minority_grants_nothing() {
    let mut old = None;
    let fleet = scenario(|fleet, root| {
        fleet.set_partitions(1 << root);
        old = Some(root);
    });
    let old = old.expect("the scenario has a root");
    assert!(!fleet.may_grant(old));
    let granting = (0..SCENARIO_VMS).filter(|vm| fleet.may_grant(*vm));
    assert_eq!(granting.count(), 1);
}

#[test]
fn a_tree_keeps_the_limit_when_its_root_is_killed() {
    let kill = |fleet: &mut Fleet, root: usize| fleet.nodes[root].dead = true;
    assert!(scenario_in(VMS, 2, kill).spent() > 0);
}
