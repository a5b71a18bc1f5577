//! A running node: its listeners, its threads and its graceful shutdown.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use arc_swap::ArcSwap;
use derive_more::{Display, Error};
use filbertwheel_core::{Clock, Member, Status, Text};
use filbertwheel_http::{
    Handler, Limits, Listener, LocalFuture, Request, Response, ShutdownSignal, ShutdownTrigger,
};
use filbertwheel_peer::{LinkEndpoint, LinkHandler};
use filbertwheel_policy::{LeastExpectedTime, LeastOccupied, Placement, StopWindow};
use smol::LocalExecutor;

use crate::control::{
    ControlParts, Shared, exchange_sums, handle_messages, hold_lease, join_members,
    keep_departures, keep_members, open_control, run_ticks, store_profiles, watch_rules,
};
use crate::counted_store::CountedStore;
use crate::departures::Departures;
use crate::engine::{Engine, EngineParts};
use crate::epochs::StoreEpoch;
use crate::inbox::Inbox;
use crate::journal::Journal;
use crate::metrics::Metrics;
use crate::runner::{Runner, RunnerParts};
use crate::settings::{Dependencies, EngineSettings};
use crate::snapshots::{SharedSnapshot, Snapshot};
use crate::traffic::{BoundListener, ThreadTasks, TrafficThread};

/// Maximum number of new links that wait for a traffic thread.
const LINK_QUEUE: usize = 4_096;
/// How long a stopping node keeps accepting all requests, so that callers notice in time that it is
/// not ready. It is shortened to half the grace period if that is less.
const DRAIN_NOTICE: Duration = Duration::from_millis(2_600);
/// Interval at which the shutdown checks for calls in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time before the connections close in which requests that still run are answered.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(60);
/// Time for the last messages to be sent.
const FLUSH_TIME: Duration = Duration::from_millis(30);
/// Percentage of the grace period after which a stopping node closes its connections. The rest of
/// the period is for the return of its portions and the last messages.
const GRACE_PERCENT: u32 = 93;

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

/// A listener that a front end needs, with the handler of its requests.
#[derive(Debug)]
pub struct ListenerSpec {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Limits of its connections.
    pub limits: Limits,
    /// Handler of its requests.
    pub handler: Arc<dyn Handler>,
}

/// Creates the listeners of a front end for an engine.
pub type ListenerFactory = Box<dyn FnOnce(&Arc<Engine>) -> Vec<ListenerSpec>>;

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
        let snapshots: SharedSnapshot =
            Arc::new(ArcSwap::from_pointee(Snapshot::open(local_member.clone())));
        let (journal, metrics) = (Arc::new(Journal::default()), Arc::new(Metrics::open()));
        let epoch = Arc::new(StoreEpoch::open(Arc::clone(&clock)));
        let store =
            CountedStore::open(dependencies.store, Arc::clone(&metrics), Arc::clone(&epoch));
        let dependencies = Dependencies {
            store: Arc::new(store),
            ..dependencies
        };
        let inbox = Arc::new(Inbox::open());
        let departures = Arc::new(Departures::open());
        let runner = Runner::open(RunnerParts {
            vm: local_member.vm.clone(),
            backends: Arc::clone(&dependencies.backends),
            clock: Arc::clone(&clock),
            snapshots: Arc::clone(&snapshots),
            journal: Arc::clone(&journal),
            metrics: Arc::clone(&metrics),
            inbox: Arc::clone(&inbox),
            by_cost: settings.by_cost,
            departures: Arc::clone(&departures),
        });
        let engine = Arc::new(Engine::open(EngineParts {
            clock: Arc::clone(&clock),
            snapshots: Arc::clone(&snapshots),
            runner,
            departures,
            inbox,
            journal,
            metrics,
            service: settings.service.clone(),
            retries: settings.retries,
            placement: placement(settings),
            ending: ending_signal,
        }));
        let mut specs = open_listeners(&engine);
        specs.push(ListenerSpec {
            address: settings.listen.metrics,
            limits: Limits::default(),
            handler: Arc::new(MetricsEndpoint(Arc::clone(&engine))),
        });
        let mut listeners = Vec::new();
        for spec in specs {
            listeners.push(bind(spec, &clock, &shutdown_signal).await?);
        }
        let handler = Arc::clone(&engine) as Arc<dyn LinkHandler>;
        let address = settings.listen.peers;
        let links = LinkEndpoint::bind(
            address,
            handler,
            settings.secret.clone(),
            Arc::clone(&clock),
            shutdown_signal,
        );
        let links = links
            .await
            .map_err(|source| NodeError::Bind { address, source })?;
        let (driver_sender, driver_receiver) = async_channel::bounded(LINK_QUEUE);
        let mut threads = Vec::new();
        for index in 0..settings.threads.max(1) {
            let tasks = ThreadTasks {
                listeners: listeners.clone(),
                links: links.clone(),
                drivers: driver_receiver.clone(),
            };
            let thread = TrafficThread::spawn(index, tasks);
            threads.push(thread.map_err(|source| NodeError::Thread { source })?);
        }
        let control_parts = ControlParts {
            clock: Arc::clone(&clock),
            dependencies,
            epoch,
            engine: Arc::clone(&engine),
            snapshots,
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
        let began = self.clock.now();
        tracing::info!("node: Stopping.");
        let notice = DRAIN_NOTICE.min(self.grace / 2);
        let until = began + self.grace * GRACE_PERCENT / 100;
        self.control.borrow_mut().begin_shutdown(StopWindow {
            noticed: began + notice,
            closes: until,
        });
        let clock = Arc::clone(&self.clock);
        let ending = self.ending;
        let end_requests = self.executor.spawn(async move {
            let left = until.saturating_duration_since(clock.now());
            clock.sleep(left.saturating_sub(LAST_ANSWER_TIME)).await;
            ending.trigger();
        });
        self.clock.sleep(notice).await;
        while self.engine.in_flight() > 0 && self.clock.now() < until {
            self.clock.sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.shutdown.trigger();
        let threads = self.threads;
        let ended = async {
            for thread in threads {
                thread.join().await;
            }
        };
        let clock = Arc::clone(&self.clock);
        let late = async move {
            clock
                .sleep(until.saturating_duration_since(clock.now()))
                .await;
            tracing::warn!("node: Connections were still open at the end of the grace period.");
        };
        smol::future::or(ended, late).await;
        drop(end_requests);
        self.control.borrow_mut().return_portions();
        self.clock.sleep(FLUSH_TIME).await;
        tracing::info!("node: Stopped.");
    }
}

async fn bind(
    spec: ListenerSpec,
    clock: &Arc<dyn Clock>,
    shutdown_signal: &ShutdownSignal,
) -> Result<BoundListener, NodeError> {
    let ListenerSpec {
        address,
        limits,
        handler,
    } = spec;
    let listener =
        Listener::bind(address, limits, Arc::clone(clock), shutdown_signal.clone()).await;
    let listener = listener.map_err(|source| NodeError::Bind { address, source })?;
    Ok(BoundListener { listener, handler })
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

/// Endpoint of the metrics and the status document.
#[derive(Debug)]
struct MetricsEndpoint(Arc<Engine>);

impl Handler for MetricsEndpoint {
    fn handle(&self, request: Request) -> LocalFuture<'_, Response> {
        Box::pin(async move {
            match request.path_only() {
                b"/metrics" => Response::new(200, self.0.metrics_text()),
                b"/status" => Response::new(200, self.0.status_text())
                    .with("content-type", Text::from_static("application/json")),
                _ => Response::new(404, ""),
            }
        })
    }
}
