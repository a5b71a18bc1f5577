//! What the programs of all cases share: their arguments and exit codes, and the start of a deployment.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use crate::backend::{Backend, BackendOptions};
use crate::free_address;
use crate::node::Machine;
use crate::record::Record;
use crate::store::Store;

/// Interval between status reports (`heartbeat_ms` of the site).
const BEAT: Duration = Duration::from_millis(1_500);
/// Time in which a node becomes ready.
pub const START_TIME: Duration = Duration::from_secs(10);

/// Arguments of a case: NODE_PROGRAM FOLDER RECORD TROUBLE.
pub struct Case {
    program: PathBuf,
    folder: PathBuf,
    pub record: Arc<Record>,
    /// Whether the disruption is played; not with `0`.
    pub trouble: bool,
}

/// A deployment of nodes, each with a backend server on its machine.
pub struct Fleet {
    pub store: Arc<Store>,
    pub store_address: SocketAddr,
    pub machines: Vec<Machine>,
    pub backends: Vec<Arc<Backend>>,
}

/// How the backend servers of a deployment behave.
pub struct Behaviour {
    /// Requests that each runs at once.
    pub slots: u32,
    /// Size of the answers to requests whose path ends in `bundle`.
    pub bundle_bytes: usize,
    /// Bytes per second at which each reads a body.
    pub read_rate: f64,
    /// Returns the time that a request takes, by its path.
    pub work: fn(&str) -> Duration,
}

/// Plays a case. `play` returns whether the rule held, or why the case can't run.
pub fn run(play: fn(&Case) -> Result<bool, String>) -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [program, folder, record, trouble] = arguments.as_slice() else {
        eprintln!("usage: NODE_PROGRAM FOLDER RECORD TROUBLE");
        return ExitCode::from(2);
    };
    let played = Record::create(Path::new(record))
        .map_err(|error| error.to_string())
        .and_then(|record| {
            play(&Case {
                program: program.into(),
                folder: folder.into(),
                record: Arc::new(record),
                trouble: trouble != "0",
            })
        });
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(reason) => {
            eprintln!("the case can't run: {reason}");
            ExitCode::from(2)
        }
    }
}

impl Case {
    /// Starts a store with a manifest, and on each machine (name, zone, service) a node and a backend
    /// server. Returns once all nodes are ready.
    pub fn start(
        &self,
        manifest: &str,
        places: &[(&str, &str, &str)],
        behaviour: &Behaviour,
    ) -> Result<Fleet, String> {
        let store_address = free_address();
        let mut fleet = Fleet {
            store: Store::start(store_address),
            store_address,
            machines: Vec::new(),
            backends: Vec::new(),
        };
        fleet.store.write_manifest(manifest);
        for place in places {
            let machine = Machine::prepare(&self.program, &self.folder, store_address, *place);
            let mut machine = machine.map_err(|error| error.to_string())?;
            machine.start().map_err(|error| error.to_string())?;
            let options = BackendOptions {
                name: format!("backend-{}", machine.name),
                service: machine.service.clone(),
                zone: machine.zone.clone(),
                slots: behaviour.slots,
                address: free_address(),
                control: machine.reports,
                beat: BEAT,
                bundle_bytes: behaviour.bundle_bytes,
                read_rate: behaviour.read_rate,
            };
            let backend = Backend::start(options, Arc::clone(&self.record), behaviour.work);
            fleet.backends.push(backend);
            fleet.machines.push(machine);
        }
        fleet.wait_ready()?;
        Ok(fleet)
    }
}

impl Fleet {
    /// Waits until all nodes are ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        for machine in &self.machines {
            if !machine.wait_ready(START_TIME) {
                return Err(format!("{} isn't ready", machine.name));
            }
        }
        Ok(())
    }

    /// Fails if a node has ended by itself.
    pub fn check_runs(&mut self) -> Result<(), String> {
        for machine in &mut self.machines {
            if !machine.runs() {
                return Err(format!("{} has ended by itself", machine.name));
            }
        }
        Ok(())
    }
}
