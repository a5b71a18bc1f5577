//! Exchange of the sums over the fleet with the other nodes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertwheel_core::{Status, VmId};
use filbertwheel_policy::{FleetSums, HolderNotice, Outgoing, ServiceCapacity, SumMessage};

use super::Shared;
use super::plan::usable_slots;
use super::state::Control;

/// Interval at which this node passes on the sums that it has received.
const SUM_INTERVAL: Duration = Duration::from_millis(100);

/// Exchanges sums with the other nodes without end.
pub(crate) async fn exchange_sums(control: Shared) {
    let clock = Arc::clone(&control.borrow().parts.clock);
    loop {
        clock.sleep(SUM_INTERVAL).await;
        let now = clock.now();
        let mut control = control.borrow_mut();
        control.handle_inbox();
        control.exchange_sums(now);
    }
}

impl Control {
    fn exchange_sums(&mut self, now: Instant) {
        let peers = self.peers.values().filter(|peer| peer.link.is_up());
        let members = peers.map(|peer| (peer.member.vm.clone(), peer.member.domain.clone()));
        self.sums.set_members(members);
        let sample = self.sample();
        let profiles = self.profiles();
        self.sums.set_sample(sample, profiles);
        let outgoing = self.sums.tick(now);
        self.send_sums(outgoing);
        self.log_aggregator();
    }

    /// Handles sums of another node.
    pub(super) fn handle_sums(&mut self, message: SumMessage) {
        if !message.is_plausible() {
            tracing::warn!("control: Sums of another node are not plausible, so they are ignored.");
            return;
        }
        let now = self.parts.clock.now();
        let outgoing = self.sums.receive(message, now);
        self.send_sums(outgoing);
    }

    /// Applies what the sums over the fleet say of the lease holder, the rules, the store and
    /// evacuations.
    pub(super) fn apply_notices(&mut self, now: Instant) {
        let Some((sums, _)) = self.sums.fleet(now) else {
            return;
        };
        let (holder, rules) = (sums.holder.clone(), sums.rules);
        let evacuations = sums.evacuations.clone();
        self.parts.epoch.hear(sums.epoch);
        if let Some(HolderNotice { vm, fence, age }) = holder {
            let heard = now.checked_sub(age).unwrap_or(now);
            if vm != self.local_member.vm && self.peers.contains_key(&vm) {
                self.note_holder(&vm, fence, heard);
            }
        }
        self.receive_evacuations(&evacuations);
        if self.parts.engine.wants_newer_rules(rules) {
            self.request_rules();
        }
    }

    /// Requests the rules from the node that this one receives its sums from, or from any other.
    fn request_rules(&self) {
        let aggregator = self.sums.aggregator().and_then(|vm| self.peers.get(vm));
        let up = self.peers.values().find(|peer| peer.link.is_up());
        if let Some(peer) = aggregator.filter(|peer| peer.link.is_up()).or(up) {
            peer.link.request_rules();
        }
    }

    fn send_sums(&self, outgoing: Vec<Outgoing>) {
        for Outgoing { to, message } in outgoing {
            if let Some(peer) = self.peers.get(&to) {
                peer.link.send_sums(message);
            }
        }
    }

    /// Returns this node's own measurements.
    pub(super) fn sample(&self) -> FleetSums {
        let (member, load) = (&self.local_member, self.parts.engine.runner.load());
        let service = member.service.clone();
        // What an evacuated backend server still runs isn't capacity to plan with.
        let is_evacuated = self.parts.snapshots.load().is_evacuated(&member.domain);
        let is_serving = member.status == Status::Serving && !is_evacuated;
        let serving = service.filter(|_| is_serving);
        let cold = self.parts.engine.runner.cold_capacity().unwrap_or_default();
        let capacity = serving.map(|service| ServiceCapacity {
            service,
            slots: usable_slots(member, &load) as f32,
            in_flight: (load.running + load.queued) as f32,
            servers: 1,
            cold,
        });
        let lease = self.lease.as_ref();
        FleetSums {
            nodes: 1,
            demand: self.plan.demand.demand(),
            capacities: capacity.into_iter().collect(),
            rules: self.parts.snapshots.load().document.stamp,
            epoch: self.parts.epoch.latest().unwrap_or_default(),
            holder: lease.map(|lease| HolderNotice {
                vm: member.vm.clone(),
                fence: lease.fence,
                age: Duration::ZERO,
            }),
            watchers: Vec::from_iter(self.watching.then(|| member.vm.clone())),
            evacuations: self.evacuations.report(self.parts.clock.now()),
        }
    }

    /// Logs from which node the sums over the fleet come, whenever that changes.
    fn log_aggregator(&mut self) {
        let aggregator: Option<VmId> = self.sums.aggregator().cloned();
        if aggregator != self.aggregator {
            if let Some(vm) = &aggregator {
                tracing::info!(vm = %vm, "control: The sums over the fleet come from another node.");
            }
            self.aggregator = aggregator;
        }
    }
}
