//! Runs the short scenarios on real processes, one at a time.

use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

use filbertwheel_scenario::{Paths, run};

/// Held while a scenario runs, so that only one runs at a time.
static SCENARIO_LOCK: Mutex<()> = Mutex::new(());

/// Defines a test for each scenario file.
macro_rules! scenarios {
    ($($name:ident $file:literal)*) => {
        $(
            #[test]
            fn $name() {
                run_scenario($file);
            }
        )*
    };
}

scenarios! {
    backend_killed "backend-killed"
    basic "basic"
    crashing_request "crashing-request"
    cut_answers "cut-answers"
    graceful_stop "graceful-stop"
    lost_answer "lost-answer"
    misleading_load "misleading-load"
    operators_race "operators-race"
    over_rate "over-rate"
    silent_connections "silent-connections"
    withdrawn_key "withdrawn-key"
    within_rate "within-rate"
}

fn run_scenario(name: &str) {
    let _lock = SCENARIO_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let path = repository_root().join(format!("scenarios/{name}.scenario"));
    let text = std::fs::read_to_string(path).expect("the scenario should be readable");
    let id = std::process::id();
    let work_dir = std::env::temp_dir().join(format!("filbertwheel-{id}-{name}"));
    let bin_dir = bin_dir();
    let paths = Paths {
        bin_dir,
        work_dir: work_dir.clone(),
    };
    let completed = run(
        &text,
        paths,
        |line| println!("{line}"),
        std::future::pending(),
    );
    if let Err(failure) = completed {
        panic!("{name}: {failure} (logs are in {})", work_dir.display());
    }
    std::fs::remove_dir_all(work_dir).expect("the working directory should be removable");
}

/// Returns the directory of the executables, the parent of the test's own directory.
fn bin_dir() -> PathBuf {
    let own = std::env::current_exe().expect("the path of the test executable should be known");
    let directory = own
        .ancestors()
        .nth(2)
        .expect("the test executable should be in the deps directory");
    assert!(
        directory.join("filbertwheel-node").exists(),
        "build the workspace first: cargo build --workspace"
    );
    directory.to_owned()
}

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}
