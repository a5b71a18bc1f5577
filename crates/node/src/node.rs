//! Assembly of a node: endpoints, threads and graceful shutdown.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use arc_swap::ArcSwap;
use async_channel::Receiver;
use derive_more::{Display, Error, From};
use filbertwheel_backend::{BackendEndpoint, HttpConnector};
use filbertwheel_caller::CallerEndpoint;
use filbertwheel_core::{Clock, Configuration, Member, Status};
use filbertwheel_http::{Handler, Limits, Listener, ShutdownSignal, ShutdownTrigger};
use filbertwheel_operator::OperatorEndpoint;
use filbertwheel_peer::{
    CallForwarder, CallHandler, ControlClient, ControlHandler, PeerClient, PeerEndpoint,
};
use filbertwheel_platform::Platform;
use filbertwheel_policy::{OwnershipHistory, Roster, ShareBuckets};
use filbertwheel_rpc::RequestAuth;
use smol::LocalExecutor;

use crate::control::{
    Control, ControlParts, ControlSender, Message, SERVING_LEASE, handle_messages, hold_lease,
    poll_changes, release_lease, run_heartbeats, send_heartbeat,
};
use crate::engine::Engine;
use crate::metrics::Metrics;
use crate::runner::Runner;
use crate::snapshot::{SharedSnapshot, Snapshot};
use crate::traffic::{Endpoint, TrafficThread};
use crate::{ListenSettings, NodeSettings};

/// Maximum number of messages queued for the control thread.
const CONTROL_QUEUE_LENGTH: usize = 4_096;
/// Extra room in a forwarded call's body for the call's head, in bytes.
const FRAME_HEAD_BYTES: usize = 64 * 1024;
/// Interval of progress messages on connections between nodes while a call runs.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time that a graceful shutdown waits for running calls.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a shutdown checks for running calls.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of heartbeats after which other nodes have learned that this node is draining.
const DRAIN_HEARTBEATS: u32 = 4;

/// Why a node can't start.
#[derive(Debug, Display, Error, From)]
pub enum NodeError {
    /// An address can't be bound.
    #[display("{address} can't be bound: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A thread can't be started.
    #[display("a thread can't be started: {_0}")]
    Thread(io::Error),
    /// An RPC method was registered twice.
    #[display("{_0}")]
    Method(jsonrpsee_core::RegisterMethodError),
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    control: Rc<RefCell<Control>>,
    executor: Rc<LocalExecutor<'static>>,
    engine: Arc<Engine>,
    threads: Vec<TrafficThread>,
    shutdown_trigger: ShutdownTrigger,
    clock: Arc<dyn Clock>,
    messages: Receiver<Message>,
    bound: ListenSettings,
}

impl Node {
    /// Binds the node's listeners and starts its traffic threads. The thread that calls `run`
    /// becomes the control thread.
    pub async fn spawn(
        settings: &NodeSettings,
        platform: Platform,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, NodeError> {
        let (shutdown_trigger, shutdown_signal) = ShutdownTrigger::open();
        let limits = Limits {
            body_bytes: settings.run.body_limit,
            ..Limits::default()
        };
        let frames = Limits {
            body_bytes: limits.body_bytes + FRAME_HEAD_BYTES,
            progress_interval: Some(PROGRESS_INTERVAL),
            ..limits
        };
        let listen = settings.listen;
        let bind =
            |address, limits| bind(address, limits, Arc::clone(&clock), shutdown_signal.clone());
        let front = bind(listen.front, limits).await?;
        let local = bind(listen.local, limits).await?;
        let peer = bind(listen.peer, frames).await?;
        let operator = bind(listen.operator, limits).await?;

        let bound = ListenSettings {
            front: front.address(),
            local: local.address(),
            peer: peer.address(),
            operator: operator.address(),
            advertise: listen.advertise,
        };
        let address = listen.advertise.unwrap_or(peer.address());
        let local_member = member(settings, address, clock.as_ref());
        let metrics = Arc::new(Metrics::open());
        let snapshots = initial_snapshot(&local_member);
        let buckets = Arc::new(Mutex::new(ShareBuckets::default()));
        let (sender, messages) = async_channel::bounded(CONTROL_QUEUE_LENGTH);
        let fleet = RequestAuth::open(settings.secrets.fleet(), Arc::clone(&clock));
        let operators = RequestAuth::open(settings.secrets.operator(), Arc::clone(&clock));
        let peers = Arc::new(PeerClient::open(frames, Arc::clone(&clock), fleet.clone()));
        let connect = Arc::new(HttpConnector::open(limits, Arc::clone(&clock)));
        let runner = Runner::open(
            connect,
            Arc::clone(&snapshots),
            Arc::clone(&clock),
            Arc::clone(&metrics),
        );
        let engine = Arc::new(Engine::open(
            Arc::clone(&clock),
            Arc::clone(&snapshots),
            Arc::clone(&buckets),
            runner,
            Arc::clone(&peers) as Arc<dyn CallForwarder>,
            sender.clone(),
            Arc::clone(&metrics),
        ));
        let commands = Arc::new(ControlSender {
            control: sender,
            metrics: Arc::clone(&metrics),
            snapshots: Arc::clone(&snapshots),
            clock: Arc::clone(&clock),
        });

        let calls = Arc::clone(&engine) as Arc<dyn CallHandler>;
        let control_handler = Arc::clone(&commands) as Arc<dyn ControlHandler>;
        let peer_endpoint = PeerEndpoint::open(calls, control_handler, fleet, Arc::clone(&clock))?;
        let endpoints = vec![
            endpoint(front, CallerEndpoint::open(Arc::clone(&engine) as _)),
            endpoint(local, BackendEndpoint::open(Arc::clone(&engine) as _)),
            endpoint(peer, peer_endpoint),
            endpoint(operator, OperatorEndpoint::open(commands, operators)?),
        ];
        let threads = (0..settings.run.threads)
            .map(|index| TrafficThread::spawn(index, endpoints.clone()))
            .collect::<io::Result<Vec<_>>>()
            .map_err(NodeError::Thread)?;

        let parts = ControlParts {
            clock: Arc::clone(&clock),
            table: platform.table,
            objects: platform.objects,
            control_client: peers as Arc<dyn ControlClient>,
            buckets,
            snapshots,
            metrics,
            heartbeat_interval: settings.run.heartbeat_interval(),
        };
        let control = Rc::new(RefCell::new(Control::open(parts, local_member)));
        let executor = Rc::new(LocalExecutor::new());
        Ok(Self {
            control,
            executor,
            engine,
            threads,
            shutdown_trigger,
            clock,
            messages,
            bound,
        })
    }

    /// Returns the addresses that the node listens on.
    pub fn bound(&self) -> ListenSettings {
        self.bound
    }

    /// Runs the control thread until `leave` completes, then shuts down gracefully.
    pub async fn run(self, leave: impl Future<Output = ()>) {
        let control = || Rc::clone(&self.control);
        let executor = Rc::clone(&self.executor);
        let messages = self.messages.clone();
        let tasks = [
            executor.spawn(handle_messages(control(), messages, Rc::clone(&executor))),
            executor.spawn(hold_lease(control())),
            executor.spawn(poll_changes(control())),
            executor.spawn(run_heartbeats(control())),
        ];
        tracing::info!(
            "node: {} is running.",
            self.control.borrow().local_member().vm
        );
        executor
            .run(async {
                leave.await;
                self.shut_down().await;
            })
            .await;
        drop(tasks);
    }

    /// Shuts down gracefully: refuses new calls, waits for the running ones, then stops.
    async fn shut_down(self) {
        tracing::info!("node: Draining.");
        self.control.borrow_mut().leave(Status::Draining);
        let pause = self.control.borrow().parts.heartbeat_interval * DRAIN_HEARTBEATS;
        send_heartbeat(&self.control).await;
        self.clock.sleep(pause).await;
        let deadline = self.clock.now() + DRAIN_TIMEOUT;
        while self.engine.in_flight() > 0 && self.clock.now() < deadline {
            self.clock.sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.shutdown_trigger.trigger();
        // The threads end with their last connection; the control thread keeps running meanwhile.
        let threads = self.threads;
        smol::unblock(move || threads.into_iter().for_each(TrafficThread::join)).await;
        self.control.borrow_mut().leave(Status::Gone);
        // No more tokens are spent; the last heartbeat reports that to the parent.
        self.control.borrow().buckets().clear();
        send_heartbeat(&self.control).await;
        release_lease(&self.control).await;
        tracing::info!("node: Stopped.");
    }
}

async fn bind(
    address: SocketAddr,
    limits: Limits,
    clock: Arc<dyn Clock>,
    shutdown_signal: ShutdownSignal,
) -> Result<Listener, NodeError> {
    let bound = Listener::bind(address, limits, clock, shutdown_signal).await;
    bound.map_err(|source| NodeError::Bind { address, source })
}

fn endpoint(listener: Listener, handler: impl Handler + 'static) -> Endpoint {
    Endpoint {
        listener,
        handler: Arc::new(handler),
    }
}

fn member(settings: &NodeSettings, address: SocketAddr, clock: &dyn Clock) -> Member {
    let started = clock
        .wall()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    Member {
        vm: settings.vm.clone(),
        incarnation: started.as_millis() as u64,
        region: settings.region.clone(),
        domain: settings.domain.clone(),
        service: None,
        address,
        slots: 0,
        status: Status::Joining,
    }
}

fn initial_snapshot(local_member: &Member) -> SharedSnapshot {
    Arc::new(ArcSwap::from_pointee(Snapshot {
        config: Arc::new(Configuration::default()),
        roster: Arc::new(Roster::default()),
        ownership: Arc::new(OwnershipHistory::open(
            local_member.vm.clone(),
            SERVING_LEASE,
        )),
        local_member: local_member.clone(),
        lease: None,
    }))
}
