//! Child processes and the directories of a scenario.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::Stdio;

use rustix::process::{Pid, Signal, kill_process};
use smol::process::{Child, Command};

use crate::StepError;

/// A child process, killed when dropped.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
}

impl Process {
    /// Starts a program and appends its standard error to the log file.
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

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> Result<(), StepError> {
        let id = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let id = id.ok_or(StepError::NotRunning)?;
        kill_process(id, signal).map_err(|_| StepError::NotRunning)
    }

    /// Returns whether the process has exited, without waiting for it.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_status(), Ok(None))
    }

    /// Waits until the process exits. Returns whether its exit status is success.
    pub async fn wait_for_exit(&mut self) -> bool {
        let status = self.child.status().await;
        status.is_ok_and(|status| status.success())
    }

    /// Kills the process and reaps it.
    pub async fn kill(mut self) {
        // Killing a process that has already exited fails, which is harmless.
        let _ended = self.child.kill();
        let _status = self.child.status().await;
    }
}

/// The directories that a scenario uses.
#[derive(Debug, Clone)]
pub struct Paths {
    /// Directory that contains the executables.
    pub bin_dir: PathBuf,
    /// Directory for settings files and logs.
    pub work_dir: PathBuf,
}

impl Paths {
    /// Returns the path of an executable.
    pub fn program(&self, name: &str) -> PathBuf {
        self.bin_dir.join(name)
    }

    /// Returns the path of a settings file or log.
    pub fn work_file(&self, name: &str) -> PathBuf {
        self.work_dir.join(name)
    }
}
