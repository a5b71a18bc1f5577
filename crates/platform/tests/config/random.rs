//! Concurrent operators and random faults: each command is committed at most once, and versions
//! have no gaps and never revert.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use crate::faulty::{FaultyPlatform, fill, loaded, set_rate};
use filbertwheel_core::{Change, CommandId, ConfigLog, Delta, PausedClock, Version};
use filbertwheel_platform::{
    COMMAND_LIFETIME, CommitError, CommitOutcome, ConfigStore, SNAPSHOT_INTERVAL,
};
use filbertwheel_runtime::block_on;
use proptest::prelude::{ProptestConfig, any};
use proptest::{prop_assert, prop_assert_eq, proptest};
use smol::LocalExecutor;

/// Number of concurrent operators.
const OPERATORS: usize = 4;
/// Number of nodes that operators send commands to.
const NODES: usize = 3;
/// Number of commands of one operator.
const COMMANDS: usize = 5;
/// Maximum number of attempts of one command.
const MAX_ATTEMPTS: usize = 6;
/// Chance of an injected fault per request, in percent.
const FAULT_PERCENT: u32 = 25;

/// Versions reported to operators, by command.
type Reported = Rc<RefCell<BTreeMap<CommandId, Version>>>;

/// A node: its configuration store and the configuration in force.
struct Node {
    store: ConfigStore,
    log: RefCell<ConfigLog>,
}

impl Node {
    async fn run(&self, command: CommandId, rate: f64) -> Result<Version, CommitError> {
        let version = self.log.borrow().current().version;
        let delta = self.store.load(version).await;
        self.apply(delta.map_err(|_| CommitError::Unavailable)?);
        let config = self.log.borrow().current().clone();
        let edit = set_rate("wardoffice", rate);
        match self.store.commit(&config, command, edit).await? {
            CommitOutcome::Committed(change) => {
                let version = change.version;
                self.apply(Delta::Changes(vec![change]));
                Ok(version)
            }
            CommitOutcome::Duplicate(version) => Ok(version),
        }
    }

    fn apply(&self, delta: Delta) {
        let before = self.log.borrow().current().version;
        // Another task of this node may have applied the same changes already.
        self.log.borrow_mut().apply(delta).unwrap();
        assert!(self.log.borrow().current().version >= before);
    }
}

async fn run_operator(operator: usize, nodes: Rc<Vec<Node>>, reported: Reported) {
    for index in 0..COMMANDS {
        let command: CommandId = format!("{operator}-{index}").into();
        for attempt in 0..MAX_ATTEMPTS {
            let node = &nodes[(operator + index + attempt) % NODES];
            let rate = (1 + operator * COMMANDS + index) as f64;
            match node.run(command.clone(), rate).await {
                Ok(version) => {
                    reported.borrow_mut().insert(command, version);
                    break;
                }
                Err(CommitError::Invalid(error)) => panic!("{error}"),
                Err(_) => {}
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn each_command_is_committed_once_and_no_version_reverts(seed in any::<u64>()) {
        let platform = FaultyPlatform::open();
        let clock = PausedClock::new();
        let start = block_on(fill(&platform.store(&clock), SNAPSHOT_INTERVAL));
        clock.advance(COMMAND_LIFETIME);
        platform.set_random(seed, FAULT_PERCENT);
        let nodes = (0..NODES).map(|_| Node {
            store: platform.store(&clock),
            log: RefCell::default(),
        });
        let nodes = Rc::new(nodes.collect::<Vec<_>>());
        let reported = Reported::default();
        let executor = LocalExecutor::new();
        let tasks: Vec<_> = (0..OPERATORS)
            .map(|operator| executor.spawn(run_operator(operator, Rc::clone(&nodes), Rc::clone(&reported))))
            .collect();
        let store = platform.store(&clock);
        let compaction = executor.spawn(async move {
            while store.compact(&start).await.is_err() {}
            start
        });
        let (start, changes) = block_on(executor.run(async {
            for task in tasks {
                task.await;
            }
            (compaction.await, platform.changes().await)
        }));

                // Pruning that failed leaves old rows until the next snapshot.
        let changes: Vec<Change> = changes
            .into_iter()
            .filter(|change| change.version > start.version)
            .collect();
        let versions: Vec<Version> = changes.iter().map(|change| change.version).collect();
        let expected: Vec<Version> = (start.version + 1..).take(changes.len()).collect();
        prop_assert_eq!(versions, expected);
        let mut config = start;
        let mut committed = BTreeMap::new();
        for change in &changes {
            config.apply(change).unwrap();
            let earlier = committed.insert(change.command.clone(), change.version);
            prop_assert!(earlier.is_none(), "{} twice", change.command);
        }
        platform.set_random(seed, 0);
        prop_assert_eq!(block_on(loaded(&platform.store(&clock))), config);
        for (command, version) in reported.borrow().iter() {
            prop_assert_eq!(committed.get(command), Some(version));
        }
    }
}
