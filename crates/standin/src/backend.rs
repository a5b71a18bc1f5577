//! A simulated backend server with a fixed number of slots, a configurable service time and nested
//! calls to other services.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use filbertwheel_backend::Announcement;
use filbertwheel_core::{Clock, ServiceId, Status, Text, message};
use filbertwheel_http::{Handler, Limits, LocalFuture, Pool, Request, Response, names};

/// Interval between announcements to the node.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after the start of draining from which a new request is reported as late.
const LATE_WORK_THRESHOLD: Duration = Duration::from_secs(5);
/// Service time factor of a cold backend server.
const COLD_SLOWDOWN: f64 = 5.0;
/// Interval at which draining checks for running requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Exit code of an injected crash.
const CRASH_EXIT_CODE: i32 = 101;
/// Timeout of a nested call if the request has no deadline.
const NESTED_TIMEOUT: Duration = Duration::from_secs(10);

/// Settings of a stand-in backend server.
#[derive(Debug, Clone)]
pub struct BackendOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address of the node's endpoint for its backend server.
    pub node: SocketAddr,
    /// Service that it provides.
    pub service: ServiceId,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Service time of a request, without its nested calls.
    pub work: Duration,
    /// Services that each request calls, in sequence.
    pub calls: Vec<ServiceId>,
    /// Address announced to the node, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// Time for which it continues to serve after a shutdown signal.
    pub grace: Duration,
    /// Time after the start during which it is cold and therefore slow.
    pub cold: Duration,
}

/// Faults injected into the stand-in. Body of `POST /fault`.
#[message]
#[serde(default)]
pub struct InjectedFaults {
    /// Factor on the service time.
    pub slowness: f64,
    /// Reports a load of 0 regardless of the actual load.
    pub reports_idle: bool,
    /// The process crashes on a request whose body contains this text.
    pub crash_on: Option<Text>,
}

/// A stand-in backend server.
#[derive(Debug)]
pub struct BackendStandin {
    options: BackendOptions,
    node: Pool,
    clock: Arc<dyn Clock>,
    running: AtomicU32,
    runs: Mutex<BTreeMap<Text, u32>>,
    faults: Mutex<InjectedFaults>,
    started: Instant,
    drain_started: Mutex<Option<Instant>>,
}

impl BackendStandin {
    /// Creates a backend server without injected faults.
    pub fn open(options: BackendOptions, clock: Arc<dyn Clock>) -> Self {
        let node = Pool::open(options.node, Limits::default(), Arc::clone(&clock));
        let started = clock.now();
        Self {
            options,
            node,
            clock,
            running: AtomicU32::new(0),
            runs: Mutex::default(),
            faults: Mutex::default(),
            started,
            drain_started: Mutex::default(),
        }
    }

    /// Announces the backend server to its node periodically, and sooner after a failure.
    pub async fn announce(self: Arc<Self>) {
        loop {
            let pause = if self.announce_once().await {
                ANNOUNCE_INTERVAL
            } else {
                ANNOUNCE_INTERVAL / 10
            };
            self.clock.sleep(pause).await;
        }
    }

    /// Announces the draining state and waits until the grace period has passed and no request runs.
    pub async fn drain(&self) {
        tracing::info!("standin: Draining.");
        let now = self.clock.now();
        *self
            .drain_started
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(now);
        self.announce_once().await;
        self.clock.sleep(self.options.grace).await;
        while self.running.load(Ordering::Relaxed) > 0 {
            self.clock.sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Sends one announcement. Returns whether the node responded.
    async fn announce_once(&self) -> bool {
        let status = match self.drain_started() {
            Some(_) => Status::Draining,
            None => Status::Serving,
        };
        let announcement = Announcement {
            service: self.options.service.clone(),
            address: self.options.advertise.unwrap_or(self.options.listen),
            slots: self.options.slots,
            status,
            load: self.load(),
        };
        let body = serde_json::to_vec(&announcement).unwrap_or_default();
        let request = Request::post("/filbertwheel/announce", body);
        let deadline = self.clock.now() + ANNOUNCE_TIMEOUT;
        self.node.exchange(request, deadline).await.is_ok()
    }

    fn drain_started(&self) -> Option<Instant> {
        *self
            .drain_started
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Logs an error if a request arrives long after draining was announced.
    fn report_late_work(&self) {
        let late = self.drain_started().map(|since| self.clock.now() - since);
        if let Some(late) = late.filter(|late| *late > LATE_WORK_THRESHOLD) {
            let millis = late.as_millis();
            tracing::error!("standin: Work came late, {millis} ms after the leave was announced.");
        }
    }

    /// Returns the current factor on the service time.
    fn slowness(&self, faults: &InjectedFaults) -> f64 {
        let is_cold = self.clock.now() - self.started < self.options.cold;
        faults.slowness * if is_cold { COLD_SLOWDOWN } else { 1.0 }
    }

    async fn run_request(&self, request: &Request) -> Response {
        if self.running.load(Ordering::Relaxed) >= self.options.slots {
            return Response::new(503, "")
                .with(names::OUTCOME, "not-run")
                .with(names::REASON, "overloaded");
        }
        self.report_late_work();
        let _slot = Slot::acquire(&self.running);
        if let Some(id) = request.header(names::REQUEST) {
            let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
            *runs.entry(id.clone()).or_default() += 1;
        }
        let faults = self.faults();
        if faults
            .crash_on
            .as_ref()
            .is_some_and(|text| contains(&request.body, text.as_bytes()))
        {
            tracing::warn!("standin: Crashing on a request as injected.");
            std::process::exit(CRASH_EXIT_CODE);
        }
        let work = self.options.work.mul_f64(self.slowness(&faults));
        self.clock.sleep(work).await;
        let mut lines = vec![format!("{} ran {}", self.options.service, request.path)];
        for service in &self.options.calls {
            match self.call_nested(service, request).await {
                Some(response) if response.status == 200 => {
                    lines.push(String::from_utf8_lossy(&response.body).into_owned());
                }
                _ => return Response::new(502, format!("{service} gave no answer")),
            }
        }
        Response::new(200, lines.join("; ")).with(names::LOAD, format!("{:.3}", self.load()))
    }

    async fn call_nested(&self, service: &ServiceId, request: &Request) -> Option<Response> {
        let token = request.header(names::TOKEN)?.clone();
        let path = format!("/{service}{}", request.path);
        let nested = Request::get(&path).with(names::TOKEN, token);
        self.node
            .exchange(nested, self.deadline(request))
            .await
            .ok()
    }

    fn deadline(&self, request: &Request) -> Instant {
        let millis = request
            .header(names::DEADLINE)
            .and_then(|text| text.as_str()?.parse().ok());
        self.clock.now() + millis.map_or(NESTED_TIMEOUT, Duration::from_millis)
    }

    fn load(&self) -> f64 {
        if self.faults().reports_idle {
            return 0.0;
        }
        f64::from(self.running.load(Ordering::Relaxed)) / f64::from(self.options.slots.max(1))
    }

    fn faults(&self) -> InjectedFaults {
        self.faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn runs(&self) -> Response {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        Response::new(200, serde_json::to_vec(&*runs).unwrap_or_default())
    }

    fn set_faults(&self, request: &Request) -> Response {
        let Ok(faults) = serde_json::from_slice(&request.body) else {
            return Response::new(400, "the body is malformed");
        };
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
        Response::new(200, "")
    }
}

impl Handler for BackendStandin {
    fn handle(&self, request: Request) -> LocalFuture<'_, Response> {
        Box::pin(async move {
            match request.path.as_bytes() {
                b"/fault" => self.set_faults(&request),
                b"/runs" => self.runs(),
                _ => self.run_request(&request).await,
            }
        })
    }
}

impl Default for InjectedFaults {
    fn default() -> Self {
        Self {
            slowness: 1.0,
            reports_idle: false,
            crash_on: None,
        }
    }
}

fn contains(haystack: &[u8], needle: &[u8]) -> bool {
    haystack
        .windows(needle.len().max(1))
        .any(|window| window == needle)
}

struct Slot<'a>(&'a AtomicU32);

impl<'a> Slot<'a> {
    fn acquire(running: &'a AtomicU32) -> Self {
        running.fetch_add(1, Ordering::Relaxed);
        Self(running)
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
