//! Processes of nodes, with settings as the template of the deploy file renders them.

use std::fs::{self, File};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::free_address;
use crate::http::{Message, call};

/// A machine of the deployment, with its node if that runs.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub service: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub reports: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    /// File that names the processes of all nodes, for the script that started this program.
    pids: PathBuf,
    child: Option<Child>,
}

impl Machine {
    /// Writes the settings of a machine into a folder. `grace_s` and `beat_ms` are those of the site.
    pub fn prepare(
        program: &Path,
        folder: &Path,
        store: SocketAddr,
        (name, zone, service): (&str, &str, &str),
    ) -> io::Result<Self> {
        let [callers, readiness, reports, peers, metrics] = [(); 5].map(|()| free_address());
        let settings = folder.join(format!("{name}.toml"));
        let text = format!(
            r#"vm = "{name}"
region = "riga-gulf"
domain = "{zone}"
service = "{service}"

[listen]
callers = "{callers}"
readiness = "{readiness}"
reports = "{reports}"
peers = "{peers}"
metrics = "{metrics}"

[store]
address = "{store}"

[retries]
ratio = 0.2
slack = 49
window_s = 10

[timing]
beat_ms = 1500
grace_s = 6
"#
        );
        fs::write(&settings, text)?;
        Ok(Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            service: service.to_owned(),
            callers,
            readiness,
            reports,
            program: program.to_owned(),
            settings,
            log: folder.join(format!("{name}.log")),
            pids: folder.join("pids"),
            child: None,
        })
    }

    /// Replaces a text in the settings file.
    pub fn change_settings(&self, before: &str, after: &str) -> io::Result<()> {
        let text = fs::read_to_string(&self.settings)?;
        fs::write(&self.settings, text.replace(before, after))
    }

    /// Starts the node with the command of the deploy file.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()?;
        let mut pids = File::options().create(true).append(true).open(&self.pids)?;
        writeln!(pids, "{}", child.id())?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the node with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails if the process has ended by itself.
            let _ended = child.kill();
            let _waited = child.wait();
        }
    }

    /// Sends a signal by its name.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let command = format!("kill -{signal} {}", child.id());
            let sent = Command::new("bash").args(["-c", &command]).status();
            assert!(sent.is_ok_and(|status| status.success()), "the node runs");
        }
    }

    /// Returns the id of the node's process.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills a process that this program has started, as the platform does.
    pub fn kill_process(pid: u32) {
        let command = format!("kill -KILL {pid}");
        // Fails if the process has ended.
        let _ended = Command::new("bash").args(["-c", &command]).status();
    }

    /// Returns whether the node still runs.
    pub fn runs(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Asks the node whether it is ready, as the platform does.
    pub fn is_ready(&self) -> bool {
        let question = Message::new("GET /filbertwheel/readiness HTTP/1.1", "")
            .with("Host", self.readiness.to_string());
        call(self.readiness, &question, Duration::from_millis(500))
            .is_ok_and(|response| response.status() == 200)
    }

    /// Waits until the node is ready. Returns whether it is.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

/// Returns the most memory that a process has used, in bytes; `None` once it has ended.
pub fn peak_bytes(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * 1024)
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}
