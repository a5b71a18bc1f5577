//! A running node: its listeners, its threads and its graceful shutdown.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use arc_swap::ArcSwap;
use derive_more::{Display, Error};
use filbertwheel_backend::InstanceConnector;
use filbertwheel_core::{Clock, Member, Status};
use filbertwheel_http::{ShutdownSignal, ShutdownTrigger};
use filbertwheel_peer::{LinkEndpoint, LinkHandler};
use filbertwheel_policy::{LeastExpectedTime, LeastOccupied, Placement};
use smol::LocalExecutor;

use crate::control::{
    ControlParts, Shared, answer_departure_requests, exchange_sums, handle_messages, hold_lease,
    join_members, keep_departures, keep_members, open_control, recover_departures, run_ticks,
    store_profiles, watch_rules,
};
use crate::counted_store::CountedStore;
use crate::departures::Departures;
use crate::engine::{Engine, EngineParts};
use crate::epochs::StoreEpoch;
use crate::inbox::Inbox;
use crate::journal::Journal;
use crate::listeners::{ListenerFactory, bind_all};
use crate::metrics::Metrics;
use crate::runner::{Runner, RunnerParts};
use crate::settings::{Dependencies, EngineSettings};
use crate::shutdown::{end_requests, join_threads, stop_window};
use crate::snapshots::{SharedSnapshot, Snapshot};
use crate::traffic::{ThreadTasks, TrafficThread};

/// Maximum number of new links that wait for a traffic thread.
const LINK_QUEUE: usize = 4_096;
/// Interval at which the shutdown checks for calls in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the last messages to be sent.
const FLUSH_TIME: Duration = Duration::from_millis(30);

/// Error at the start of a node.
#[derive(Debug, Display, Error)]
pub enum NodeError {
    /// A listener can't be bound.
    #[display("can't bind {address}: {source}")]
    Bind {
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A thread can't be started.
    #[display("can't start a thread: {source}")]
    Thread {
        /// Error of the operating system.
        source: io::Error,
    },
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    control: Shared,
    executor: Rc<LocalExecutor<'static>>,
    engine: Arc<Engine>,
    threads: Vec<TrafficThread>,
    shutdown: ShutdownTrigger,
    /// Answers the requests that are still unanswered when the node ends.
    ending: ShutdownTrigger,
    clock: Arc<dyn Clock>,
    grace: Duration,
}

impl Node {
    /// Binds the listeners and starts the traffic threads. The thread that then calls `run` becomes
    /// the control thread.
    pub async fn spawn(
        settings: &EngineSettings,
        dependencies: Dependencies,
        open_listeners: ListenerFactory,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, NodeError> {
        let (shutdown, shutdown_signal) = ShutdownTrigger::open();
        let (ending, ending_signal) = ShutdownTrigger::open();
        let local_member = member(settings, clock.as_ref());
        let metrics = Arc::new(Metrics::open());
        let epoch = Arc::new(StoreEpoch::open(Arc::clone(&clock)));
        let store =
            CountedStore::open(dependencies.store, Arc::clone(&metrics), Arc::clone(&epoch));
        let dependencies = Dependencies {
            store: Arc::new(store),
            ..dependencies
        };
        let backends = Arc::clone(&dependencies.backends);
        let engine = open_engine(
            settings,
            &local_member,
            backends,
            metrics,
            ending_signal,
            &clock,
        );
        let specs = open_listeners(&engine);
        let listeners = bind_all(specs, settings, &engine, &clock, &shutdown_signal).await?;
        let links = bind_links(settings, &engine, &clock, shutdown_signal).await?;
        let (driver_sender, drivers) = async_channel::bounded(LINK_QUEUE);
        let tasks = ThreadTasks {
            listeners,
            links,
            drivers,
        };
        let threads = spawn_threads(settings, &tasks)?;
        let control_parts = ControlParts {
            clock: Arc::clone(&clock),
            dependencies,
            epoch,
            engine: Arc::clone(&engine),
            snapshots: Arc::clone(&engine.snapshots),
            secret: settings.secret.clone(),
            driver_sender,
            backend_report_interval: settings.report_interval,
        };
        Ok(Self {
            control: open_control(control_parts, local_member),
            executor: Rc::new(LocalExecutor::new()),
            engine,
            threads,
            shutdown,
            ending,
            clock,
            grace: settings.shutdown_grace,
        })
    }

    /// Returns the engine that the listeners pass requests to.
    pub fn engine(&self) -> &Arc<Engine> {
        &self.engine
    }

    /// Runs the control thread until `shutdown_requested` completes, then shuts down gracefully.
    pub async fn run(self, shutdown_requested: impl Future<Output = ()>) {
        let control = || Rc::clone(&self.control);
        let executor = Rc::clone(&self.executor);
        let control_tasks = [
            executor.spawn(handle_messages(control())),
            executor.spawn(watch_rules(control())),
            executor.spawn(join_members(control())),
            executor.spawn(keep_members(control())),
            executor.spawn(keep_departures(control())),
            executor.spawn(recover_departures(control())),
            executor.spawn(answer_departure_requests(control())),
            executor.spawn(store_profiles(control())),
            executor.spawn(run_ticks(control())),
            executor.spawn(exchange_sums(control())),
            executor.spawn(hold_lease(control())),
        ];
        executor
            .run(async {
                shutdown_requested.await;
                self.shut_down().await;
            })
            .await;
        drop(control_tasks);
    }

    /// Shuts down: announces that the node is draining, waits for the calls in flight, then closes
    /// the listeners. Requests that run until then are answered as unknown.
    async fn shut_down(self) {
        tracing::info!("node: Stopping.");
        let window = stop_window(self.grace, self.clock.now());
        self.control.borrow_mut().begin_shutdown(window);
        let end_requests = end_requests(self.ending, Arc::clone(&self.clock), window);
        let end_requests = self.executor.spawn(end_requests);
        let notice = window.noticed.saturating_duration_since(self.clock.now());
        self.clock.sleep(notice).await;
        while self.engine.in_flight() > 0 && self.clock.now() < window.closes {
            self.clock.sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.shutdown.trigger();
        join_threads(self.threads, self.clock.as_ref(), window).await;
        drop(end_requests);
        self.control.borrow_mut().return_portions();
        self.clock.sleep(FLUSH_TIME).await;
        tracing::info!("node: Stopped.");
    }
}

/// Creates the engine of a node.
fn open_engine(
    settings: &EngineSettings,
    local_member: &Member,
    backends: Arc<dyn InstanceConnector>,
    metrics: Arc<Metrics>,
    ending: ShutdownSignal,
    clock: &Arc<dyn Clock>,
) -> Arc<Engine> {
    let snapshot = Snapshot::open(local_member.clone());
    let snapshots: SharedSnapshot = Arc::new(ArcSwap::from_pointee(snapshot));
    let journal = Arc::new(Journal::default());
    let inbox = Arc::new(Inbox::open());
    let departures = Arc::new(Departures::open());
    let runner = Runner::open(RunnerParts {
        vm: local_member.vm.clone(),
        backends,
        clock: Arc::clone(clock),
        snapshots: Arc::clone(&snapshots),
        journal: Arc::clone(&journal),
        metrics: Arc::clone(&metrics),
        inbox: Arc::clone(&inbox),
        by_cost: settings.by_cost,
        departures: Arc::clone(&departures),
    });
    Arc::new(Engine::open(EngineParts {
        clock: Arc::clone(clock),
        snapshots,
        runner,
        departures,
        inbox,
        journal,
        metrics,
        service: settings.service.clone(),
        retries: settings.retries,
        placement: placement(settings),
        ending,
    }))
}

/// Binds the listener for the links of other nodes.
async fn bind_links(
    settings: &EngineSettings,
    engine: &Arc<Engine>,
    clock: &Arc<dyn Clock>,
    shutdown_signal: ShutdownSignal,
) -> Result<LinkEndpoint, NodeError> {
    let address = settings.listen.peers;
    let handler = Arc::clone(engine) as Arc<dyn LinkHandler>;
    let (secret, clock) = (settings.secret.clone(), Arc::clone(clock));
    let links = LinkEndpoint::bind(address, handler, secret, clock, shutdown_signal).await;
    links.map_err(|source| NodeError::Bind { address, source })
}

fn spawn_threads(
    settings: &EngineSettings,
    tasks: &ThreadTasks,
) -> Result<Vec<TrafficThread>, NodeError> {
    let threads = (0..settings.threads.max(1)).map(|index| {
        let thread = TrafficThread::spawn(index, tasks.clone());
        thread.map_err(|source| NodeError::Thread { source })
    });
    threads.collect()
}

/// Returns how backend servers are chosen.
fn placement(settings: &EngineSettings) -> Arc<dyn Placement> {
    if settings.by_cost {
        Arc::new(LeastExpectedTime)
    } else {
        Arc::new(LeastOccupied)
    }
}

fn member(settings: &EngineSettings, clock: &dyn Clock) -> Member {
    let started = clock.wall().duration_since(SystemTime::UNIX_EPOCH);
    Member {
        vm: settings.vm.clone(),
        incarnation: started.unwrap_or_default().as_millis() as u64,
        region: settings.region.clone(),
        domain: settings.domain.clone(),
        service: Some(settings.service.clone()),
        address: settings.listen.peers,
        slots: 0,
        status: Status::Joining,
    }
}
