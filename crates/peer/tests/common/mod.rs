//! Nodes of which only the calls matter, and links to them.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertwheel_core::{
    Attempt, Clock, FleetSecret, InstanceNotice, Member, OrganisationId, RulesStamp, Status,
    SystemClock, Text, Verdict,
};
use filbertwheel_http::{LocalFuture, ShutdownTrigger};
use filbertwheel_peer::{CallState, Link, LinkEndpoint, LinkEvent, LinkHandler, RulesDocument};
use filbertwheel_policy::{BackendLoad, EvacuationReport};
use smol::{LocalExecutor, Task};

/// How long the sender of a call waits.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs calls.
pub trait Calls: Debug + Send + Sync {
    fn run(&self, attempt: Attempt, state: CallState) -> LocalFuture<'_, Verdict>;
}

/// Answers no call.
#[derive(Debug, Default)]
struct Idle;

impl Calls for Idle {
    fn run(&self, _attempt: Attempt, _state: CallState) -> LocalFuture<'_, Verdict> {
        Box::pin(std::future::pending())
    }
}

/// Node that runs calls and does nothing else.
#[derive(Debug, Default)]
pub struct Node<C>(pub C);

impl<C: Calls> LinkHandler for Node<C> {
    fn local_member(&self) -> Member {
        Member {
            vm: "vm1".into(),
            incarnation: 1,
            region: "lahore".into(),
            domain: "domain1".into(),
            service: None,
            address: "127.0.0.1:1".parse().expect("an address"),
            slots: 0,
            status: Status::Joining,
        }
    }

    fn load(&self) -> BackendLoad {
        BackendLoad::default()
    }

    fn notice(&self) -> Option<InstanceNotice> {
        None
    }

    fn learn_notice(&self, _notice: InstanceNotice) {}

    fn rules_stamp(&self) -> RulesStamp {
        RulesStamp::default()
    }

    fn wants_rules(&self, _stamp: RulesStamp) -> bool {
        false
    }

    fn run(&self, attempt: Attempt, state: CallState) -> LocalFuture<'_, Verdict> {
        self.0.run(attempt, state)
    }

    fn claim_tokens(&self, _organisation: &OrganisationId, _count: u32) -> (u32, u32) {
        (0, 0)
    }

    fn rules(&self) -> Option<RulesDocument> {
        None
    }

    fn evacuations(&self) -> EvacuationReport {
        EvacuationReport::default()
    }

    fn handle_event(&self, _event: LinkEvent) {}
}

pub fn clock() -> Arc<dyn Clock> {
    Arc::new(SystemClock)
}

pub fn secret() -> FleetSecret {
    FleetSecret::new(Text::from_static("a secret of the fleet"))
}

pub fn attempt(path: &str, body_bytes: usize) -> Attempt {
    Attempt {
        request: "one".into(),
        route: "sheets".into(),
        service: "rounds".into(),
        organisation: None,
        caller: "desk".into(),
        priority: 0,
        idempotent: true,
        nested: false,
        deadline: Instant::now() + CALL_TIMEOUT,
        objective: CALL_TIMEOUT,
        method: "GET".into(),
        path: path.into(),
        headers: Vec::new(),
        body: vec![b'x'; body_bytes].into(),
    }
}

/// Serves the links of a node, and returns its address.
pub async fn serve_links(
    executor: &Rc<LocalExecutor<'static>>,
    handler: Arc<dyn LinkHandler>,
) -> SocketAddr {
    let (stopper, stop) = ShutdownTrigger::open();
    let any = "127.0.0.1:0".parse().expect("an address");
    let endpoint = LinkEndpoint::bind(any, handler, secret(), clock(), stop).await;
    let endpoint = endpoint.expect("a port is free");
    let address = endpoint.address().expect("the endpoint is bound");
    let running = endpoint.run(Rc::clone(executor));
    let running = async move {
        running.await;
        drop(stopper);
    };
    executor.spawn(running).detach();
    address
}

/// Opens a link to a node. It is lost when its task is dropped.
pub async fn open_link(
    executor: &Rc<LocalExecutor<'static>>,
    address: SocketAddr,
) -> (Link, Task<()>) {
    let node = Arc::new(Node::<Idle>::default());
    let (link, driver) = Link::open("vm1".into(), address, node, secret(), clock());
    let task = executor.spawn(driver.run());
    while !link.is_up() {
        clock().sleep(Duration::from_millis(5)).await;
    }
    (link, task)
}
