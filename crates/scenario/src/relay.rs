//! A TCP relay on loopback that can block, delay, silence or truncate its connections.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use filbertwheel_core::Clock;
use filbertwheel_runtime::{TcpListener, TcpStream};
use futures_lite::future::zip;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use smol::{LocalExecutor, Task};

use crate::StepError;
use crate::owner::node_of_connection;
use crate::script::{LinkState, VmNumber};

/// Size of the copy buffer.
const CHUNK_BYTES: usize = 16 * 1024;
/// Time between two checks whether a cut link has been restored.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of bytes of a response that pass before it is truncated.
const CUT_AFTER_BYTES: usize = 30;

/// Process ids of the nodes, by VM number.
pub(crate) type NodePids = Rc<RefCell<BTreeMap<VmNumber, u32>>>;

/// A relay that forwards connections to one address.
#[derive(Debug)]
pub(crate) struct Relay {
    shared: Rc<Shared>,
    accept_task: Task<()>,
}

#[derive(Debug)]
struct Shared {
    listen: SocketAddr,
    target: SocketAddr,
    clock: Arc<dyn Clock>,
    executor: Rc<LocalExecutor<'static>>,
    node_pids: Option<NodePids>,
    link_states: RefCell<BTreeMap<VmNumber, LinkState>>,
    next_number: Cell<u64>,
    /// Connections with a lower number transfer nothing any more.
    silent_below: Cell<u64>,
    cuts_answers: Cell<bool>,
}

/// A connection through a relay, and the VM of the node that opened it once that is known.
#[derive(Debug, Default)]
struct Connection {
    number: u64,
    node: Cell<Option<VmNumber>>,
}

impl Relay {
    /// Listens at `listen` and forwards connections to `target`. With `node_pids`, identifies which
    /// node opened each connection, so that links from different nodes can be set separately.
    pub async fn bind(
        listen: SocketAddr,
        target: SocketAddr,
        node_pids: Option<NodePids>,
        clock: Arc<dyn Clock>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Result<Self, StepError> {
        let socket = TcpListener::bind(listen).map_err(StepError::RelayListen)?;
        let shared = Rc::new(Shared {
            listen,
            target,
            clock,
            executor: Rc::clone(&executor),
            node_pids,
            link_states: RefCell::default(),
            next_number: Cell::new(0),
            silent_below: Cell::new(0),
            cuts_answers: Cell::new(false),
        });
        let accept_task = executor.spawn(Rc::clone(&shared).accept(socket));
        Ok(Self {
            shared,
            accept_task,
        })
    }

    /// Sets the state of the link from a node.
    pub fn set_link(&self, from: VmNumber, state: LinkState) {
        self.shared.link_states.borrow_mut().insert(from, state);
    }

    /// Permanently stops transfers on all connections that are open now.
    pub fn silence(&self) {
        self.shared.silent_below.set(self.shared.next_number.get());
    }

    /// Sets whether responses are truncated.
    pub fn cut_answers(&self, cuts: bool) {
        self.shared.cuts_answers.set(cuts);
    }

    /// Stops listening. Open connections continue until either end closes them.
    pub async fn close(self) {
        self.accept_task.cancel().await;
    }
}

impl Shared {
    async fn accept(self: Rc<Self>, socket: TcpListener) {
        while let Ok((stream, peer)) = socket.accept().await {
            let number = self.next_number.get();
            self.next_number.set(number + 1);
            let forwarding = Rc::clone(&self).forward(stream, peer, number);
            self.executor.spawn(forwarding).detach();
        }
    }

    async fn forward(self: Rc<Self>, client: TcpStream, peer: SocketAddr, number: u64) {
        let Ok(server) = TcpStream::connect(self.target).await else {
            return;
        };
        if client.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
            return;
        }
        let connection = Connection {
            number,
            ..Connection::default()
        };
        let to_server = self.copy_bytes(client.clone(), server.clone(), &connection, false);
        let to_client = self.copy_bytes(server, client, &connection, true);
        let both = zip(to_server, to_client);
        zip(both, self.identify_node(peer, &connection)).await;
    }

    /// Identifies the node that opened a connection. Runs on the blocking thread pool because the
    /// kernel's tables are long.
    async fn identify_node(&self, peer: SocketAddr, connection: &Connection) {
        let Some(pids) = &self.node_pids else { return };
        let (pids, listen) = (pids.borrow().clone(), self.listen);
        connection
            .node
            .set(smol::unblock(move || node_of_connection(peer, listen, &pids)).await);
    }

    /// Copies bytes in one direction until either end closes.
    async fn copy_bytes(
        &self,
        mut from: TcpStream,
        mut to: TcpStream,
        connection: &Connection,
        is_response: bool,
    ) {
        let mut chunk = vec![0; CHUNK_BYTES];
        while let Ok(count @ 1..) = from.read(&mut chunk).await {
            self.wait_until_open(connection).await;
            if is_response && self.cuts_answers.get() {
                let _gone = to.write_all(&chunk[..count.min(CUT_AFTER_BYTES)]).await;
                let _gone = from.shutdown(Shutdown::Both);
                break;
            }
            if to.write_all(&chunk[..count]).await.is_err() {
                break;
            }
        }
        self.wait_until_open(connection).await;
        let _gone = to.shutdown(Shutdown::Write);
    }

    /// Waits while the connection's link is cut, or for the delay of a slow link. Never returns on
    /// a silenced connection.
    async fn wait_until_open(&self, connection: &Connection) {
        if connection.number < self.silent_below.get() {
            return std::future::pending().await;
        }
        loop {
            let state = connection
                .node
                .get()
                .and_then(|vm| self.link_states.borrow().get(&vm).copied());
            match state {
                Some(LinkState::Cut) => self.clock.sleep(CUT_POLL_INTERVAL).await,
                Some(LinkState::Slow(millis)) => {
                    return self.clock.sleep(Duration::from_millis(millis)).await;
                }
                Some(LinkState::Whole) | None => return,
            }
        }
    }
}
