//! Messages of the traffic threads to the control thread.

use std::sync::Arc;

use filbertwheel_core::{Status, VmId};
use filbertwheel_peer::{LinkEvent, NodeProcess};

use super::{Control, Message, Shared};

/// Handles messages from the traffic threads as urgent ones arrive.
pub(crate) async fn handle_messages(control: Shared) {
    let engine = Arc::clone(&control.borrow().parts.engine);
    loop {
        engine.inbox.wait_urgent().await;
        control.borrow_mut().handle_inbox();
    }
}

impl Control {
    /// Handles all waiting messages.
    pub(super) fn handle_inbox(&mut self) {
        for message in self.parts.engine.inbox.drain() {
            match message {
                Message::BackendState(state) => self.set_backend_state(state),
                Message::Leaving => self.set_status(Status::Gone),
                Message::LinkEvent(event) => self.handle_link_event(event),
            }
        }
    }

    fn handle_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Report(report, notice) => self.apply_report(*report, notice),
            LinkEvent::Connected(member) => {
                // Even if the store can't be read, the nodes that already know this one connect to
                // it.
                self.members_known = true;
                let process = NodeProcess::of(&member);
                let serving = member.status == Status::Serving;
                let vm = member.vm.clone();
                self.upsert_peer(member);
                self.record_link(&process, serving);
                self.publish();
                self.send_known_crash_reports(&vm);
            }
            LinkEvent::Disconnected(vm) => {
                tracing::info!(vm = %vm, "control: The link to a node was lost.")
            }
            LinkEvent::Ended(process) => self.record_end(&process),
            LinkEvent::DeparturesRequest(process, reply) => {
                self.queue_departures_request(process, reply)
            }
            LinkEvent::Departures(vm, known) => self.learn_departures(&vm, known),
            LinkEvent::Rules(document) => self.receive_rules(document),
            LinkEvent::PortionRequest(request, reply) => {
                let (now, limits) = (self.parts.clock.now(), Arc::clone(&self.limits));
                if let Some(lease) = self.lease.as_mut().filter(|lease| now < lease.expires) {
                    let grant = lease.ledger.handle_request(&request, &limits, now);
                    reply.grant(lease.fence, grant);
                }
            }
            LinkEvent::PortionGrant(fence, grant) => self.apply_grant(fence, &grant),
            LinkEvent::CrashReports(reports) => self.parts.engine.runner.merge_crashes(&reports),
            LinkEvent::Sums(message) => self.handle_sums(*message),
            LinkEvent::Evacuations(report) => self.receive_evacuations(&report),
            LinkEvent::LeaseOffer(vm, fence, left) => self.note_offer(&vm, fence, left),
        }
    }

    /// Sends all known crash reports to a peer that has just connected.
    fn send_known_crash_reports(&self, vm: &VmId) {
        let known = self.parts.engine.runner.crash_reports();
        if let (Some(peer), false) = (self.peers.get(vm), known.is_empty()) {
            peer.link.send_crash_reports(known);
        }
    }

    /// Sends new crash reports of the local backend server to all peers.
    pub(super) fn broadcast_crash_reports(&self) {
        let unsent = self.parts.engine.runner.take_unsent_crash_reports();
        if unsent.is_empty() {
            return;
        }
        for peer in self.peers.values() {
            peer.link.send_crash_reports(unsent.clone());
        }
    }
}
