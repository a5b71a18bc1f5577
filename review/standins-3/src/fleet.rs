//! Starts the nodes as separate processes, and ends them.

use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::proxy::Proxy;
use crate::store::Store;

/// Figures of a small deployment, as the users' site file has them.
pub const GRACE_S: u64 = 6;
/// Memory of a machine.
pub const MEMORY_MB: u64 = 260;
const BEAT_MS: u64 = 500;
/// Number of zones, as on the users' sheet.
const ZONES: usize = 3;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn signal(signal: i32, handler: extern "C" fn(i32)) -> usize;
}

const SIGKILL: i32 = 9;
/// Signal of a planned stop.
pub const SIGTERM: i32 = 15;

/// Processes that run. The watchdog ends them if a run takes too long.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn note_start(child: &Child) {
    RUNNING.lock().unwrap().push(child.id());
}

/// Ends a process and waits until it has ended.
fn end(mut child: Child) {
    RUNNING.lock().unwrap().retain(|id| *id != child.id());
    let _ended = child.kill();
    let _status = child.wait();
}

/// Whether the run itself was told to stop.
static STOPPED: AtomicBool = AtomicBool::new(false);

extern "C" fn note_stop(_signal: i32) {
    STOPPED.store(true, Ordering::SeqCst);
}

/// Notes signals that end the run, which then ends its processes first.
pub fn watch_signals() {
    const SIGHUP: i32 = 1;
    const SIGINT: i32 = 2;
    for number in [SIGHUP, SIGINT, SIGTERM] {
        unsafe { signal(number, note_stop) };
    }
}

/// Whether such a signal has come.
pub fn is_stopped() -> bool {
    STOPPED.load(Ordering::SeqCst)
}

/// Ends all processes that still run.
pub fn end_all() {
    STOPPED.store(true, Ordering::SeqCst);
    for id in RUNNING.lock().unwrap().drain(..) {
        unsafe { kill(id as i32, SIGKILL) };
    }
    let _removed = std::fs::remove_dir_all(folder());
}

/// Folder of this run for settings and logs.
fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("review3-{}", std::process::id()))
}

/// Ports below those that the system gives to outgoing connections, one of which could take a port between
/// the choice and the start of its program.
const PORTS: std::ops::Range<u16> = 15_000..32_000;

/// A loopback address with a port that is free now and was not chosen before in this run.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    if NEXT.load(Ordering::Relaxed) == 0 {
        let count = u32::from(PORTS.end - PORTS.start);
        let first = std::process::id().wrapping_mul(97) % count;
        NEXT.store(PORTS.start + first as u16, Ordering::Relaxed);
    }
    loop {
        let port = NEXT.fetch_add(1, Ordering::Relaxed);
        if port >= PORTS.end {
            NEXT.store(PORTS.start, Ordering::Relaxed);
            continue;
        }
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        if TcpListener::bind(address).is_ok() {
            return address.into();
        }
    }
}

/// Addresses of a node.
#[derive(Debug, Clone, Copy)]
pub struct Listen {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub reports: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
}

/// A node process.
pub struct Node {
    pub name: String,
    pub listen: Listen,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    process: Mutex<Option<Child>>,
}

/// All processes of one run. Dropping it ends them.
pub struct Fleet {
    dir: PathBuf,
    store: Arc<Store>,
    pub nodes: Vec<Arc<Node>>,
    /// Proxies between the nodes and the store, if they are asked for.
    pub proxies: Vec<Arc<Proxy>>,
}

fn program(name: &str) -> Option<PathBuf> {
    let path = PathBuf::from("target/release").join(name);
    path.is_file().then_some(path)
}

impl Fleet {
    /// Starts the store and one node for each service named.
    pub fn start(services: &[&str]) -> io::Result<Self> {
        Self::open(services, false)
    }

    /// The same, with a proxy between each node and the store.
    pub fn start_behind_proxies(services: &[&str]) -> io::Result<Self> {
        Self::open(services, true)
    }

    fn open(services: &[&str], behind_proxies: bool) -> io::Result<Self> {
        let missing = || io::Error::other("a program is not built");
        let node_program = program("filbertwheel").ok_or_else(missing)?;
        let dir = folder();
        std::fs::create_dir_all(&dir)?;
        let store = Store::start()?;
        let mut fleet = Self {
            dir: dir.clone(),
            store: Arc::clone(&store),
            nodes: Vec::new(),
            proxies: Vec::new(),
        };
        for (index, service) in services.iter().enumerate() {
            let listen = Listen {
                callers: free_address(),
                readiness: free_address(),
                reports: free_address(),
                peers: free_address(),
                metrics: free_address(),
            };
            let mut store = store.address;
            if behind_proxies {
                let proxy = Proxy::start(store)?;
                store = proxy.address;
                fleet.proxies.push(proxy);
            }
            let name = format!("machine-{}", index + 1);
            let settings = dir.join(format!("{name}.toml"));
            std::fs::write(
                &settings,
                settings_text(&name, index, service, listen, store),
            )?;
            let node = Node {
                log: dir.join(format!("{name}.log")),
                name,
                listen,
                settings,
                program: node_program.clone(),
                process: Mutex::new(None),
            };
            node.restart()?;
            fleet.nodes.push(Arc::new(node));
        }
        Ok(fleet)
    }

    /// Writes a manifest as the operator.
    pub fn write_manifest(&self, text: &str) -> io::Result<()> {
        self.store.write("op", "config", text);
        Ok(())
    }

    /// Waits until all nodes are ready.
    pub fn wait_ready(&self) -> io::Result<()> {
        for node in &self.nodes {
            wait_for(Duration::from_secs(10), || node.is_ready())?;
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &self.nodes {
            node.end();
        }
        let _removed = std::fs::remove_dir_all(&self.dir);
    }
}

impl Node {
    /// Starts the process, which is not running.
    pub fn restart(&self) -> io::Result<()> {
        if is_stopped() {
            return Err(io::ErrorKind::Interrupted.into());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        note_start(&child);
        *self.process.lock().unwrap() = Some(child);
        Ok(())
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = self.process.lock().unwrap().as_ref() {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Ends the process at once.
    pub fn end(&self) {
        if let Some(child) = self.process.lock().unwrap().take() {
            end(child);
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&self) -> bool {
        match self.process.lock().unwrap().as_mut() {
            Some(child) => matches!(child.try_wait(), Ok(Some(_))),
            None => true,
        }
    }

    /// Asks as the platform does whether the node accepts clients.
    pub fn is_ready(&self) -> bool {
        get_status(self.listen.readiness, "/filbertwheel/readiness")
            .is_ok_and(|status| status == 200)
    }

    /// Memory that the process holds, in kilobytes.
    pub fn memory_kb(&self) -> Option<u64> {
        let id = self.process.lock().unwrap().as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

/// Settings as `deploy/settings.toml` renders them.
fn settings_text(
    name: &str,
    index: usize,
    service: &str,
    listen: Listen,
    store: SocketAddr,
) -> String {
    let Listen {
        callers,
        readiness,
        reports,
        peers,
        metrics,
    } = listen;
    format!(
        "vm = \"{name}\"\nregion = \"lahore\"\ndomain = \"zone-{}\"\nservice = \"{service}\"\n\
         [listen]\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\nreports = \"{reports}\"\n\
         peers = \"{peers}\"\nmetrics = \"{metrics}\"\n[store]\naddress = \"{store}\"\n\
         [retries]\nratio = 0.2\nslack = 50\nwindow_s = 10\n[placement]\nby_cost = false\n\
         [timing]\nbeat_ms = {BEAT_MS}\ngrace_s = {GRACE_S}\n",
        index % ZONES
    )
}

/// Time between status reports of a backend.
pub fn beat() -> Duration {
    Duration::from_millis(BEAT_MS)
}

/// Waits until a condition holds.
pub fn wait_for(limit: Duration, mut holds: impl FnMut() -> bool) -> io::Result<()> {
    let until = Instant::now() + limit;
    while !holds() {
        if Instant::now() >= until {
            return Err(io::ErrorKind::TimedOut.into());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// Sends a request without a key to one of the system's or the store's own calls. Returns the status.
pub fn post(to: SocketAddr, path: &str, body: &str) -> io::Result<u16> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: store\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    exchange(to, &head)
}

fn get_status(to: SocketAddr, path: &str) -> io::Result<u16> {
    exchange(
        to,
        &format!("GET {path} HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n"),
    )
}

fn exchange(to: SocketAddr, message: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    stream.write_all(message.as_bytes())?;
    let mut answer = Vec::new();
    let mut part = [0; 4096];
    while !answer.windows(4).any(|four| four == b"\r\n\r\n") {
        match stream.read(&mut part)? {
            0 => break,
            count => answer.extend_from_slice(&part[..count]),
        }
    }
    let text = String::from_utf8_lossy(&answer);
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    status.ok_or_else(|| io::Error::other("no status"))
}
