//! Engines with a fake network between them and fake backend servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use async_trait::async_trait;
use filbertwheel_backend::{
    Announcement, BackendClient, BackendConnector, BackendError, BackendHandler, BackendReply,
    NestedRequest,
};
use filbertwheel_caller::{CallerHandler, CallerRequest};
use filbertwheel_core::{
    Answer, Call, Clock, Configuration, Criticality, Deduplication, Member, Route, ServiceId,
    Status, SystemClock, Text, Verdict,
};
use filbertwheel_http::RequestMetadata;
use filbertwheel_node::{Engine, Metrics, Runner, SharedSnapshot, Snapshot};
use filbertwheel_peer::{CallForwarder, CallHandler, ForwardError, LoadReport};
use filbertwheel_policy::{OwnershipHistory, Roster, ShareBuckets};
use smol::LocalExecutor;

/// Duration of the serving leases in the engines' ownership histories.
pub const LEASE: Duration = Duration::from_secs(5);

/// Injected fault of one message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The message is not sent.
    Unsent,
    /// The message arrives, but the response is lost.
    Lost,
    /// The backend server refuses the call.
    Refused,
}

/// Chooses the faults of messages to a node or to its backend server, by the node's index.
pub type Script = Box<dyn FnMut(usize) -> Fault + Send>;

/// Job for the engines' thread, since their futures can't be sent to other threads.
enum Job {
    Call(usize, Call, Sender<Verdict>),
    Nest(usize, NestedRequest, Sender<Verdict>),
}

/// Engines with their fake network and backend servers.
pub struct Fleet {
    pub executor: Rc<LocalExecutor<'static>>,
    pub engines: Vec<Arc<Engine>>,
    pub snapshots: Vec<SharedSnapshot>,
    pub fakes: Arc<Fakes>,
}

/// The fake network and the fake backend servers.
pub struct Fakes {
    jobs: Sender<Job>,
    /// Number of runs at each node's backend server.
    pub runs: Mutex<BTreeMap<usize, u32>>,
    /// Service that each node's backend server calls during every run.
    calls: Vec<Option<ServiceId>>,
    network: Mutex<Script>,
    backends: Mutex<Script>,
    /// Call tokens of all runs.
    pub tokens: Mutex<Vec<Text>>,
    /// Blocks every run until the channel is closed.
    pub gate: Mutex<Option<Receiver<()>>>,
}

impl std::fmt::Debug for Fakes {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Fakes")
    }
}

impl Fleet {
    /// Creates an engine for each pair of its service and the service that its backend server
    /// calls.
    pub fn open(services: &[(&str, Option<&str>)], network: Script, backends: Script) -> Self {
        let (jobs, waiting) = async_channel::unbounded();
        let calls = services.iter().map(|(_, calls)| calls.map(Text::from));
        let fakes = Arc::new(Fakes {
            jobs,
            runs: Mutex::default(),
            calls: calls.collect(),
            network: Mutex::new(network),
            backends: Mutex::new(backends),
            tokens: Mutex::default(),
            gate: Mutex::default(),
        });
        let members: Vec<Member> = (0..services.len())
            .map(|index| member(index, services[index].0))
            .collect();
        let snapshots: Vec<SharedSnapshot> = members
            .iter()
            .map(|local_member| snapshots(local_member, &members))
            .collect();
        let engines = snapshots.iter().enumerate();
        let engines: Vec<_> = engines
            .map(|(index, snapshots)| engine(index, snapshots, &fakes))
            .collect();
        let executor = Rc::new(LocalExecutor::new());
        executor
            .spawn(run_jobs(Rc::clone(&executor), engines.clone(), waiting))
            .detach();
        Self {
            executor,
            engines,
            snapshots,
            fakes,
        }
    }

    /// Sends a caller's request to an engine.
    pub fn handle_request(&self, at: usize, request: CallerRequest) -> Verdict {
        let engine = Arc::clone(&self.engines[at]);
        filbertwheel_runtime::block_on(
            self.executor
                .run(async move { engine.handle_request(request).await }),
        )
    }

    /// Changes an engine's snapshot.
    pub fn change(&self, index: usize, change: impl FnOnce(&mut Snapshot)) {
        let mut snapshot = Snapshot::clone(&self.snapshots[index].load());
        change(&mut snapshot);
        self.snapshots[index].store(Arc::new(snapshot));
    }
}

impl Fakes {
    /// Returns the total number of runs at all backend servers.
    pub fn total(&self) -> u32 {
        lock(&self.runs).values().sum()
    }

    async fn submit(&self, job: impl FnOnce(Sender<Verdict>) -> Job) -> Option<Verdict> {
        let (reply, answer) = async_channel::bounded(1);
        self.jobs.send(job(reply)).await.ok()?;
        answer.recv().await.ok()
    }
}

#[async_trait]
impl CallForwarder for Fakes {
    async fn forward(
        &self,
        to: SocketAddr,
        call: &Call,
    ) -> Result<(Verdict, LoadReport), ForwardError> {
        let to = usize::from(to.port());
        let fault = lock(&self.network)(to);
        if fault == Fault::Unsent {
            return Err(ForwardError::NotSent);
        }
        let verdict = self
            .submit(|reply| Job::Call(to, call.clone(), reply))
            .await
            .ok_or(ForwardError::Lost)?;
        match fault {
            Fault::Lost => Err(ForwardError::Lost),
            _ => Ok((verdict, LoadReport::default())),
        }
    }
}

#[derive(Debug)]
struct FakeBackend {
    index: usize,
    fakes: Arc<Fakes>,
}

impl BackendConnector for FakeBackend {
    fn connect(&self, _: SocketAddr) -> Arc<dyn BackendClient> {
        Arc::new(Self {
            index: self.index,
            fakes: Arc::clone(&self.fakes),
        })
    }
}

#[async_trait]
impl BackendClient for FakeBackend {
    async fn run(&self, call: &Call, token: Text) -> Result<BackendReply, BackendError> {
        let fault = lock(&self.fakes.backends)(self.index);
        if fault == Fault::Refused {
            let kind = filbertwheel_core::RefusalKind::Overloaded;
            return Err(BackendError::Refused(kind));
        }
        if fault == Fault::Unsent {
            return Err(BackendError::NotSent);
        }
        *lock(&self.fakes.runs).entry(self.index).or_default() += 1;
        lock(&self.fakes.tokens).push(token.clone());
        let gate = lock(&self.fakes.gate).clone();
        if let Some(gate) = gate {
            let _closed = gate.recv().await;
        }
        let mut status = 200;
        if let Some(service) = &self.fakes.calls[self.index] {
            let nested = NestedRequest {
                token,
                metadata: request_metadata(service.clone(), None),
                method: call.method.clone(),
                headers: Vec::new(),
                body: call.body.clone(),
            };
            let index = self.index;
            let verdict = self
                .fakes
                .submit(|reply| Job::Nest(index, nested, reply))
                .await;
            if !matches!(verdict, Some(Ok(_))) {
                status = 500;
            }
        }
        if fault == Fault::Lost {
            return Err(BackendError::Lost);
        }
        let answer = Answer {
            status,
            headers: Vec::new(),
            body: "booked".into(),
            retries: 0,
        };
        Ok(BackendReply { answer, load: None })
    }
}

async fn run_jobs(
    executor: Rc<LocalExecutor<'static>>,
    engines: Vec<Arc<Engine>>,
    waiting: Receiver<Job>,
) {
    while let Ok(job) = waiting.recv().await {
        let engines = engines.clone();
        let task = executor.spawn(async move {
            let (verdict, reply) = match job {
                Job::Call(at, call, reply) => (engines[at].run(call).await.0, reply),
                Job::Nest(at, request, reply) => (engines[at].handle_nested(request).await, reply),
            };
            let _gone = reply.try_send(verdict);
        });
        task.detach();
    }
}

fn engine(index: usize, snapshots: &SharedSnapshot, fakes: &Arc<Fakes>) -> Arc<Engine> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let metrics = Arc::new(Metrics::open());
    let connect = Arc::new(FakeBackend {
        index,
        fakes: Arc::clone(fakes),
    });
    let runner = Runner::open(
        connect,
        Arc::clone(snapshots),
        Arc::clone(&clock),
        Arc::clone(&metrics),
    );
    let (control, _) = async_channel::bounded(1);
    let engine = Engine::open(
        clock,
        Arc::clone(snapshots),
        Arc::new(Mutex::new(ShareBuckets::default())),
        runner,
        Arc::clone(fakes) as Arc<dyn CallForwarder>,
        control,
        metrics,
    );
    let engine = Arc::new(engine);
    let local_member = snapshots.load().local_member.clone();
    engine.announce(Announcement {
        service: local_member.service.unwrap_or_default(),
        address: local_member.address,
        slots: local_member.slots,
        status: Status::Serving,
        load: 0.0,
    });
    engine
}

/// Returns the member with an index, which is also the port of its address.
pub fn member(index: usize, service: &str) -> Member {
    Member {
        vm: format!("vm{index:02}").into(),
        incarnation: 1,
        region: "lahore".into(),
        domain: "bazaar".into(),
        service: Some(service.into()),
        address: ([127, 0, 0, 1], index as u16).into(),
        slots: if service == "narrow" { 1 } else { 64 },
        status: Status::Serving,
    }
}

fn snapshots(local_member: &Member, members: &[Member]) -> SharedSnapshot {
    let mut roster = Roster::default();
    let mut config = Configuration::default();
    for member in members {
        roster.merge(member.clone());
        let service = member.service.clone().unwrap_or_default();
        for (prefix, idempotent) in [("/", true), ("/book", false)] {
            let name = format!("{service}{prefix}");
            config
                .routes
                .insert(name.into(), route(&service, prefix, idempotent));
        }
    }
    let now = Instant::now();
    let lease = now + Duration::from_secs(3_600);
    let mut ownership = OwnershipHistory::open(local_member.vm.clone(), LEASE);
    // Makes the engines owners of their request ids since long before the test.
    let earlier = now - Duration::from_secs(600);
    ownership.observe(1, members, lease, earlier);
    Arc::new(ArcSwap::from_pointee(Snapshot {
        config: Arc::new(config),
        roster: Arc::new(roster),
        ownership: Arc::new(ownership),
        local_member: local_member.clone(),
        lease: Some(lease),
    }))
}

fn route(service: &ServiceId, prefix: &str, idempotent: bool) -> Route {
    Route {
        service: service.clone(),
        method: None,
        prefix: prefix.into(),
        criticality: Criticality::Critical,
        idempotent,
        open: true,
    }
}

/// Returns the metadata of a request to a service. A request with an id uses the route that isn't
/// idempotent.
pub fn request_metadata(service: ServiceId, id: Option<&str>) -> RequestMetadata {
    RequestMetadata {
        service,
        path: if id.is_some() { "/book" } else { "/" }.into(),
        request: id.map(Text::from),
        first_attempt: None,
        criticality: None,
        timeout: None,
    }
}

/// Returns a caller's request without a key.
pub fn request(service: &str, id: Option<&str>) -> CallerRequest {
    CallerRequest {
        key: None,
        metadata: request_metadata(service.into(), id),
        method: "POST".into(),
        headers: Vec::new(),
        body: "deposit".into(),
    }
}

/// Returns a call from another node.
pub fn call(service: &str, id: Option<&str>) -> Call {
    let tried = SystemTime::now();
    Call {
        id: 1,
        organisation: None,
        key: None,
        request: id.map(Text::from),
        service: service.into(),
        criticality: Criticality::Normal,
        idempotent: id.is_none(),
        once: id.map(|_| Deduplication {
            tried,
            admitted: false,
        }),
        rank: 0,
        deadline: Instant::now() + Duration::from_secs(5),
        retries: 3,
        depth: 0,
        method: "POST".into(),
        path: "/".into(),
        headers: Vec::new(),
        body: "deposit".into(),
    }
}

/// Returns a script without faults.
pub fn no_faults() -> Script {
    Box::new(|_| Fault::None)
}

pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
