//! Learns the departures of before the start of a node from other nodes if the store doesn't serve it, and
//! answers the requests of others.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use filbertwheel_core::VmId;
use filbertwheel_peer::{NodeProcess, ReplyHandle};
use filbertwheel_policy::{DepartureRow, KnownDepartures};
use futures_lite::FutureExt as _;

use super::departures::read_row;
use super::{Control, Shared};

/// Time after the start of a node in which it reads its row itself.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest time between two requests to other nodes.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Time within which a node reads the row of another one, or says what it remembers.
const READ_TIME: Duration = Duration::from_millis(300);

/// A request of a node for the departures at its VM.
#[derive(Debug)]
pub(super) struct DeparturesRequest {
    process: NodeProcess,
    reply: ReplyHandle,
}

/// Where the departures of before the start are known from.
#[derive(Debug, Display)]
pub(super) enum RecoverySource<'a> {
    /// The row of this VM, read by this node.
    #[display("store")]
    Store,
    /// Another node.
    #[display("{_0}")]
    Node(&'a VmId),
    /// Nowhere; it is so long ago that none matters.
    #[display("time")]
    Time,
}

/// Asks one node after another for the departures at this VM until they are known.
pub(crate) async fn recover_departures(control: Shared) {
    let clock = Arc::clone(&control.borrow().parts.clock);
    let mut pause = FIRST_PAUSE;
    let mut asked = None;
    loop {
        clock.sleep(pause).await;
        pause = (pause * 2).min(MAX_PAUSE);
        let control = control.borrow();
        if control.parts.engine.runner.trusts_reports() {
            return;
        }
        if control.recovery.is_over(clock.now()) {
            control.trust_reports(&RecoverySource::Time);
            return;
        }
        asked = control.ask_next(asked);
    }
}

/// Answers the requests of nodes that have just started.
pub(crate) async fn answer_departure_requests(control: Shared) {
    let requests = control.borrow().departures_requests.1.clone();
    // The sender is kept with the receiver, so the channel never closes.
    while let Ok(request) = requests.recv().await {
        let known = match read_for(&control, &request.process.vm).await {
            Some(row) => KnownDepartures::Stored(row),
            None => control.borrow().remembered(&request.process),
        };
        tracing::info!(
            vm = %request.process.vm,
            known = ?known,
            "control: A node was told of the departures at its VM."
        );
        request.reply.send_departures(known);
    }
}

/// Reads the row of another VM, if the store serves this node.
async fn read_for(control: &Shared, vm: &VmId) -> Option<DepartureRow> {
    let (store, clock) = {
        let parts = &control.borrow().parts;
        // As long as this node can't read its own row, it can't read others.
        if parts.engine.departures.needs_read() {
            return None;
        }
        let store = Arc::clone(&parts.dependencies.store);
        (store, Arc::clone(&parts.clock))
    };
    let read = async { read_row(store.as_ref(), vm).await.ok() };
    let late = async {
        clock.sleep(READ_TIME).await;
        None
    };
    read.or(late).await
}

impl Control {
    /// Relies on the status reports of the backend server from now on.
    pub(super) fn trust_reports(&self, source: &RecoverySource<'_>) {
        let runner = &self.parts.engine.runner;
        if !runner.trusts_reports() {
            tracing::info!(
                source = %source,
                "control: The departures of before the start are known."
            );
        }
        runner.trust_reports();
    }

    /// Asks the connected node that follows the one asked before. Returns it.
    fn ask_next(&self, before: Option<VmId>) -> Option<VmId> {
        let connected = || self.peers.iter().filter(|(_, peer)| peer.link.is_up());
        let later = before.and_then(|before| connected().find(|(vm, _)| **vm > before));
        let (vm, peer) = later.or_else(|| connected().next())?;
        peer.link.request_departures();
        Some(vm.clone())
    }

    /// Keeps the request of another node until it is answered.
    pub(super) fn queue_departures_request(&self, process: NodeProcess, reply: ReplyHandle) {
        let request = DeparturesRequest { process, reply };
        if self.departures_requests.0.try_send(request).is_err() {
            tracing::warn!("control: Too many nodes request departures; one gets no reply.");
        }
    }

    /// Records a new link with a process at another VM, and whether its backend server is in use.
    pub(super) fn record_link(&mut self, process: &NodeProcess, serving: bool) {
        if let Some(peer) = self.peers.get_mut(&process.vm) {
            peer.processes.record_link(process.incarnation, serving);
        }
    }

    /// Records that a process at another VM has ended.
    pub(super) fn record_end(&mut self, process: &NodeProcess) {
        let now = self.parts.clock.now();
        if let Some(peer) = self.peers.get_mut(&process.vm) {
            peer.processes.record_end(process.incarnation, now);
        }
    }

    /// Returns what this node remembers of the departures at the VM of an asking one.
    fn remembered(&self, asking: &NodeProcess) -> KnownDepartures {
        let Some(peer) = self.peers.get(&asking.vm) else {
            return KnownDepartures::Partial(Vec::new());
        };
        let departures = peer.link.known_departure().into_iter().collect();
        let now = self.parts.clock.now();
        match peer.processes.since_end(asking.incarnation, now) {
            Some(ended) => KnownDepartures::Told { departures, ended },
            None => KnownDepartures::Partial(departures),
        }
    }

    /// Applies what another node knows of the departures at this VM.
    pub(super) fn learn_departures(&self, vm: &VmId, known: KnownDepartures) {
        let parts = &self.parts;
        if parts.engine.runner.trusts_reports() {
            return;
        }
        let mut is_complete = self.recovery.is_complete(&known, parts.clock.now());
        let departures = &parts.engine.departures;
        match known {
            KnownDepartures::Stored(row) => {
                departures.apply_row(row);
                // A row from before a restore is ignored.
                is_complete = departures.is_recovered();
            }
            KnownDepartures::Told {
                departures: told, ..
            }
            | KnownDepartures::Partial(told) => {
                told.into_iter().for_each(|one| departures.record(one));
            }
        }
        if is_complete {
            self.trust_reports(&RecoverySource::Node(vm));
        }
    }
}
