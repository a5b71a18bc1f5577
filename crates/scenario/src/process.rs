//! Processes that a scenario starts, and ends in any case.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::Stdio;

use rustix::process::{Pid, Signal, kill_process};
use smol::process::{Child, Command};

use crate::StepError;

/// A running process. Dropping it kills it.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
}

impl Process {
    /// Starts a program whose standard error is added to a file.
    pub fn spawn(program: &Path, arguments: &[String], log: &Path) -> Result<Self, StepError> {
        let failed = |source| StepError::Spawn {
            program: program.to_owned(),
            source,
        };
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .map_err(failed)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(failed)?;
        Ok(Self { child })
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) -> Result<(), StepError> {
        let id = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let id = id.ok_or(StepError::NotRunning)?;
        kill_process(id, signal).map_err(|_| StepError::NotRunning)
    }

    /// Whether it has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_status(), Ok(None))
    }

    /// Waits until it ends. Returns whether it reported success.
    pub async fn wait_for_exit(&mut self) -> bool {
        let status = self.child.status().await;
        status.is_ok_and(|status| status.success())
    }

    /// Ends it at once.
    pub async fn kill(mut self) {
        // A process that has ended already needs no signal.
        let _ended = self.child.kill();
        let _status = self.child.status().await;
    }
}

/// Where the programs and a scenario's files are.
#[derive(Debug, Clone)]
pub struct Paths {
    /// Directory with the programs.
    pub bin_dir: PathBuf,
    /// Directory for settings and logs.
    pub work_dir: PathBuf,
}

impl Paths {
    /// Path of a program.
    pub fn program(&self, name: &str) -> PathBuf {
        self.bin_dir.join(name)
    }

    /// Path of a file of the scenario.
    pub fn work_file(&self, name: &str) -> PathBuf {
        self.work_dir.join(name)
    }
}
