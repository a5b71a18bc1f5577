//! Complete nodes in one process, while the platform is down or a node is isolated.

use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime};

use async_channel::Sender;
use async_trait::async_trait;
use filbertwheel_core::{Clock, SleepFuture, SystemClock, Text};
use filbertwheel_node::{ListenSettings, Node, NodeSettings};
use filbertwheel_platform::{
    MemoryObjects, MemoryTable, Platform, PlatformError, Table, TableRow, TableWrite,
};

/// Speed of the nodes' clock relative to real time.
const SPEED: u32 = 5;
/// Longer than all leases and lifetimes.
const LONG: Duration = Duration::from_secs(30);

/// A clock that runs faster than real time, so that leases expire soon.
#[derive(Debug)]
struct FastClock(Instant);

impl Clock for FastClock {
    fn now(&self) -> Instant {
        self.0 + self.0.elapsed() * SPEED
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }

    fn sleep(&self, duration: Duration) -> SleepFuture {
        SystemClock.sleep(duration / SPEED)
    }
}

/// A table that can be made unreachable.
#[derive(Debug, Default)]
struct OutageTable {
    table: MemoryTable,
    down: AtomicBool,
}

impl OutageTable {
    fn up(&self) -> Result<&MemoryTable, PlatformError> {
        if self.down.load(Ordering::SeqCst) {
            return Err(PlatformError::Unreachable);
        }
        Ok(&self.table)
    }
}

#[async_trait]
impl Table for OutageTable {
    async fn read(&self, key: &Text) -> Result<Option<TableRow>, PlatformError> {
        self.up()?.read(key).await
    }

    async fn scan(&self, prefix: &Text, after: &Text) -> Result<Vec<TableRow>, PlatformError> {
        self.up()?.scan(prefix, after).await
    }

    async fn commit(&self, writes: Vec<TableWrite>) -> Result<(), PlatformError> {
        self.up()?.commit(writes).await
    }
}

/// A node running on its own thread.
struct RunningNode {
    bound: ListenSettings,
    leave: Sender<()>,
    thread: JoinHandle<()>,
}

impl RunningNode {
    fn spawn(vm: &str, table: &Arc<OutageTable>, clock: &Arc<FastClock>) -> Self {
        let settings = settings(vm);
        let (table, clock) = (Arc::clone(table), Arc::clone(clock));
        let (started, bound) = async_channel::bounded(1);
        let (leave, left) = async_channel::bounded::<()>(1);
        let thread = std::thread::spawn(move || {
            filbertwheel_runtime::block_on(async {
                let objects = Arc::new(MemoryObjects::default());
                let platform = Platform { table, objects };
                let node = Node::spawn(&settings, platform, clock).await;
                let node = node.expect("the node starts");
                started.send(node.bound()).await.expect("the test waits");
                node.run(async move {
                    let _left = left.recv().await;
                })
                .await;
            });
        });
        let bound = bound.recv_blocking().expect("the node starts");
        Self {
            bound,
            leave,
            thread,
        }
    }

    /// Returns the status of a request with an unknown key: 401 if the node holds a serving lease
    /// and so may reject the key, 503 if it doesn't.
    fn keyed_status(&self) -> u16 {
        status(
            self.bound.front,
            "GET /sheets/x HTTP/1.1\r\nhost: a\r\nfilbertwheel-key: none\r\n\r\n",
        )
    }

    fn wait_for(&self, wanted: u16) {
        let until = Instant::now() + LONG;
        while self.keyed_status() != wanted {
            assert!(Instant::now() < until, "the node never answers {wanted}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn close(self) {
        self.leave.send_blocking(()).expect("the node runs");
        self.thread.join().expect("the node ends");
    }
}

fn status(to: SocketAddr, request: &str) -> u16 {
    let mut stream = TcpStream::connect(to).expect("the node listens");
    stream.write_all(request.as_bytes()).expect("it reads");
    let mut head = [0; 12];
    stream.read_exact(&mut head).expect("it answers");
    let code = std::str::from_utf8(&head[9..]).expect("a status line");
    code.parse().expect("a status")
}

fn settings(vm: &str) -> NodeSettings {
    let text = format!(
        "vm = '{vm}'\nregion = 'here'\ndomain = '{vm}'\n\
         [listen]\nfront = '127.0.0.1:0'\nlocal = '127.0.0.1:0'\npeer = '127.0.0.1:0'\n\
         operator = '127.0.0.1:0'\n\
         [platform]\ntable = '127.0.0.1:1'\nobjects = '127.0.0.1:1'\n\
         [secrets]\nfleet = 'a-secret-of-the-fleet'\noperator = 'an-operator-secret'\n\
         [run]\nthreads = 1\n"
    );
    let path = std::env::temp_dir().join(format!("outage-{}-{vm}.toml", std::process::id()));
    std::fs::write(&path, text).expect("the directory is writable");
    let settings = NodeSettings::load(&path).expect("the settings are valid");
    std::fs::remove_file(&path).expect("the file is there");
    settings
}

fn fleet(names: &[&str]) -> (Arc<OutageTable>, Arc<FastClock>, Vec<RunningNode>) {
    let table = Arc::new(OutageTable::default());
    let clock = Arc::new(FastClock(Instant::now()));
    let nodes: Vec<RunningNode> = names
        .iter()
        .map(|vm| RunningNode::spawn(vm, &table, &clock))
        .collect();
    for node in &nodes {
        node.wait_for(401);
    }
    (table, clock, nodes)
}

#[test]
fn an_outage_of_the_table_does_not_stop_keyed_routes() {
    let (table, clock, nodes) = fleet(&["a1", "a2", "a3"]);
    filbertwheel_runtime::block_on(clock.sleep(Duration::from_secs(3)));
    table.down.store(true, Ordering::SeqCst);
    let until = clock.now() + LONG;
    while clock.now() < until {
        for node in &nodes {
            assert_eq!(node.keyed_status(), 401);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    nodes.into_iter().for_each(RunningNode::close);
}

#[test]
fn an_isolated_node_stops_serving_keyed_routes() {
    let (table, clock, mut nodes) = fleet(&["b1", "b2", "b3"]);
    filbertwheel_runtime::block_on(clock.sleep(Duration::from_secs(3)));
    table.down.store(true, Ordering::SeqCst);
    let last = nodes.remove(0);
    nodes.into_iter().for_each(RunningNode::close);
    last.wait_for(503);
    table.down.store(false, Ordering::SeqCst);
    last.wait_for(401);
    last.close();
}
