//! A small deployment: the store, nodes as processes of their own, and the backend server beside each.

use std::collections::BTreeSet;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use crate::http::{Message, Reply, once, serve};
use crate::store::Store;

/// Time from the end of a process until the platform has started it again.
const RESTART_DELAY: Duration = Duration::from_millis(600);
/// Interval between status reports of a backend server, as in the site file.
const BEAT: Duration = Duration::from_millis(1_500);

/// What the backend servers of a service do with a request.
#[derive(Clone, Copy)]
pub struct Work {
    pub time: Duration,
    pub body_bytes: usize,
    /// Requests that a backend server runs at once.
    pub slots: u32,
}

/// A backend server. It answers 421 to what is meant for another instance.
pub struct Backend {
    pub service: String,
    pub id: String,
    pub address: SocketAddr,
    pub born: u64,
    pub work: Mutex<Work>,
    reports: SocketAddr,
    sequence: AtomicU64,
    /// Whether it has exited: it closes each connection without an answer.
    gone: AtomicBool,
    /// Id of each request that has run, with the time of its arrival.
    pub runs: Mutex<Vec<(String, Instant)>>,
}

pub struct Node {
    pub vm: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    pub backend: Arc<Backend>,
}

pub struct Fleet {
    pub store: Arc<Store>,
    pub nodes: Vec<Node>,
    pub began: Instant,
}

/// Where a node stands and which service its backend server belongs to.
pub struct Place {
    pub domain: &'static str,
    pub service: &'static str,
}

pub fn wall_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

fn listener(host: u8) -> TcpListener {
    TcpListener::bind(SocketAddr::from(([127, 93, 7, host], 0))).expect("a free port")
}

impl Backend {
    fn start(host: u8, service: &str, work: Work, reports: SocketAddr) -> Arc<Self> {
        let listener = listener(host);
        let backend = Arc::new(Self {
            service: service.to_owned(),
            id: format!("i-{host}-{}", wall_ms()),
            address: listener.local_addr().expect("an address"),
            born: wall_ms(),
            work: Mutex::new(work),
            reports,
            sequence: AtomicU64::new(0),
            gone: AtomicBool::new(false),
            runs: Mutex::default(),
        });
        let served = Arc::clone(&backend);
        serve(listener, Arc::new(move |request| served.answer(request)));
        let reporting = Arc::clone(&backend);
        std::thread::spawn(move || {
            loop {
                reporting.beat();
                std::thread::sleep(BEAT);
            }
        });
        backend
    }

    fn answer(&self, request: &Message) -> Reply {
        let id = request.header("attempt-id").unwrap_or_default().to_owned();
        let echo = ("Attempt-Id".to_owned(), id.clone());
        if id.is_empty() {
            return Some((
                400,
                vec![("Not-Executed".to_owned(), "1".to_owned())],
                Vec::new(),
            ));
        }
        if request
            .header("expect-instance")
            .is_some_and(|wanted| wanted != self.id)
        {
            let own = ("Instance-Id".to_owned(), self.id.clone());
            return Some((421, vec![echo, own], Vec::new()));
        }
        self.runs.lock().expect("runs").push((id, Instant::now()));
        let work = *self.work.lock().expect("work");
        // It stops work at the time budget that it was handed, and says so.
        let budget = request
            .header("deadline-ms")
            .and_then(|text| text.parse().ok());
        let budget = budget.map_or(Duration::MAX, Duration::from_millis);
        std::thread::sleep(work.time.min(budget));
        if self.gone.load(Ordering::SeqCst) {
            return None;
        }
        let seal = ("Server-Seal".to_owned(), "3e1b.07.5a2".to_owned());
        let headers = vec![echo, seal];
        if budget < work.time {
            return Some((504, headers, Vec::new()));
        }
        Some((200, headers, vec![b'x'; work.body_bytes]))
    }

    /// Sends a status report. The state is `ready` at all times: a backend server that deregisters
    /// never reports another one.
    fn beat(&self) {
        if self.gone.load(Ordering::SeqCst) {
            return;
        }
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":{},\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service,
            self.address,
            self.work.lock().expect("work").slots,
            self.born
        );
        let path = format!("/filbertwheel/Instances.Heartbeat/{}", self.id);
        let _away = once(
            self.reports,
            "POST",
            &path,
            "",
            body.as_bytes(),
            Duration::from_secs(1),
        );
    }

    /// Deregisters. Returns the status of the node's response.
    pub fn deregister(&self) -> u16 {
        let path = format!("/filbertwheel/Instances.Deregister/{}", self.id);
        let body = format!("{{\"born\":{}}}", self.born);
        let sent = once(
            self.reports,
            "POST",
            &path,
            "",
            body.as_bytes(),
            Duration::from_secs(1),
        );
        sent.map_or(0, |answer| answer.status())
    }

    /// Exits, in the middle of what it does.
    pub fn exit(&self) {
        self.gone.store(true, Ordering::SeqCst);
    }

    pub fn ran(&self) -> BTreeSet<String> {
        self.runs
            .lock()
            .expect("runs")
            .iter()
            .map(|(id, _)| id.clone())
            .collect()
    }
}

impl Node {
    fn start(&self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("the log");
        // As in the deploy file.
        let errors = log.try_clone().expect("the log");
        let mut command = Command::new("target/release/filbertwheel");
        command.arg("--settings").arg(&self.settings);
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        *self.child.lock().expect("child") = Some(command.spawn().expect("the node starts"));
    }

    pub fn is_ready(&self) -> bool {
        let asked = once(
            self.readiness,
            "GET",
            "/filbertwheel/readiness",
            "",
            b"",
            Duration::from_secs(1),
        );
        asked.is_ok_and(|answer| answer.status() == 200)
    }

    /// Returns the value of a metric; 0 if there is none.
    pub fn metric(&self, name: &str) -> f64 {
        let asked = once(
            self.metrics,
            "GET",
            "/metrics",
            "",
            b"",
            Duration::from_secs(1),
        );
        let text = asked
            .map(|answer| String::from_utf8_lossy(&answer.body).into_owned())
            .unwrap_or_default();
        let line = text
            .lines()
            .find(|line| line.split([' ', '{']).next() == Some(name));
        line.and_then(|line| line.rsplit(' ').next()?.parse().ok())
            .unwrap_or(0.0)
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().expect("child").take() {
            let _ended = child.kill();
            let _status = child.wait();
        }
    }

    /// Sends SIGTERM, and SIGKILL after `grace`, as the platform does.
    pub fn stop(&self, grace: Duration) {
        let Some(mut child) = self.child.lock().expect("child").take() else {
            return;
        };
        let signal = format!("kill -TERM {}", child.id());
        let _sent = Command::new("bash").args(["-c", &signal]).status();
        let until = Instant::now() + grace;
        while matches!(child.try_wait(), Ok(None)) && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
        }
        let _ended = child.kill();
        let _status = child.wait();
    }

    pub fn restart(&self) {
        std::thread::sleep(RESTART_DELAY);
        self.start();
    }

    /// Returns the memory that the process takes, in bytes; 0 if it does not run.
    pub fn memory(&self) -> u64 {
        let child = self.child.lock().expect("child");
        let Some(child) = child.as_ref() else {
            return 0;
        };
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1024
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Fleet {
    /// Starts a store, and a node and a backend server at each place.
    pub fn start(places: &[Place], work: Work, manifest: &str) -> Self {
        let dir = PathBuf::from(std::env::var("CASE_DIR").expect("CASE_DIR"));
        let store = Store::start(listener(200));
        store.put("op", "config", manifest);
        let mut nodes = Vec::new();
        for (index, place) in places.iter().enumerate() {
            let host = index as u8 + 1;
            let ports: Vec<TcpListener> = (0..5).map(|_| listener(host)).collect();
            let at: Vec<SocketAddr> = ports
                .iter()
                .map(|one| one.local_addr().expect("an address"))
                .collect();
            let vm = format!("sidecar-{}-{host}", place.domain);
            let settings = dir.join(format!("{vm}.toml"));
            let text = format!(
                "vm = \"{vm}\"\nregion = \"riga-gulf\"\ndomain = \"{}\"\nservice = \"{}\"\n\n\
                 [listen]\ncallers = \"{}\"\nreadiness = \"{}\"\nreports = \"{}\"\npeers = \"{}\"\nmetrics = \"{}\"\n\n\
                 [store]\naddress = \"{}\"\n\n[retries]\nratio = 0.2\nslack = 50\nwindow_s = 10\n\n\
                 [placement]\nby_cost = false\n\n[timing]\nbeat_ms = 1500\ngrace_s = 6\n",
                place.domain, place.service, at[0], at[1], at[2], at[3], at[4], store.address
            );
            std::fs::write(&settings, text).expect("the settings");
            let node = Node {
                log: dir.join(format!("{vm}.log")),
                vm,
                callers: at[0],
                readiness: at[1],
                metrics: at[4],
                settings,
                child: Mutex::default(),
                backend: Backend::start(host, place.service, work, at[2]),
            };
            // Held until now, so that nothing else has got them.
            drop(ports);
            node.start();
            nodes.push(node);
        }
        let fleet = Self {
            store,
            nodes,
            began: Instant::now(),
        };
        fleet.wait_ready();
        // The backend servers are known after their next reports.
        std::thread::sleep(BEAT + Duration::from_secs(1));
        fleet
    }

    /// Waits until all nodes are ready.
    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while !self.nodes.iter().all(Node::is_ready) {
            if Instant::now() > until {
                for node in self.nodes.iter().filter(|node| !node.is_ready()) {
                    let log = std::fs::read_to_string(&node.log).unwrap_or_default();
                    let last = log.lines().rev().take(5);
                    println!("{} is not ready:", node.vm);
                    last.for_each(|line| println!("  {line}"));
                }
                // Dropping the fleet while this unwinds ends its processes.
                panic!("the nodes are not ready");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    pub fn at(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }
}
