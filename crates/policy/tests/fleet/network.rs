//! Messages between the nodes: lost, delayed, duplicated and reordered.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use filbertwheel_core::{Delta, Heartbeat, HeartbeatReply, VmId};
use filbertwheel_policy::{
    AttachOutcome, CLAIM_LIFETIME, Root, SHARE_LIFETIME, ShareLedger, choose_child,
};
use rand::Rng;

use super::{Fleet, LIMIT, ORGANISATION, Process};

/// How long a node may serve after a heartbeat reply of the root.
const SERVING_LEASE: Duration = Duration::from_secs(8);

#[derive(Clone)]
pub enum Message {
    Heartbeat(Heartbeat),
    Reply(HeartbeatReply),
    Claim(usize, u8, Instant),
    Tokens(u32, Instant),
}

#[derive(Clone)]
pub struct Envelope {
    pub due: Instant,
    pub from: usize,
    pub to: usize,
    pub message: Message,
}

impl Fleet {
    /// Redirects a new node if there is no room for it.
    fn redirect(&self, process: usize, heartbeat: &Heartbeat) -> Option<HeartbeatReply> {
        let node = &self.nodes[process];
        let ledger = node.root.as_ref().map_or(&node.child_ledger, Root::ledger);
        let children: Vec<&VmId> = ledger
            .children()
            .filter(|vm| **vm != node.member.vm)
            .collect();
        let full = children.len() >= self.fanout;
        let known = children.contains(&&heartbeat.member.vm);
        let accepts_all = node
            .root
            .as_ref()
            .is_some_and(|root| root.accepts_all(heartbeat, self.now()));
        if !full || known || accepts_all {
            return None;
        }
        let child = choose_child(&heartbeat.member.vm, children.into_iter())?;
        let child = self.nodes.iter().rfind(|one| one.member.vm == *child)?;
        Some(HeartbeatReply {
            lease: Duration::ZERO,
            parent: Some(child.member.address),
            ..reply_to(node, heartbeat, self.now())?
        })
    }

    fn draw_fault(&mut self) -> bool {
        self.rng.random_range(0..100) < self.faults
    }

    pub fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.partition(from) != self.partition(to) {
            return;
        }
        let mut envelope = Envelope {
            due: self.now(),
            from,
            to,
            message,
        };
        if !self.draw_fault() {
            return self.in_transit.push(envelope);
        }
        let delay = Duration::from_millis(self.rng.random_range(0..25_000));
        match self.rng.random_range(0..3) {
            0 => {}
            1 => {
                envelope.due += delay;
                self.in_transit.push(envelope);
            }
            _ => {
                self.in_transit.push(envelope.clone());
                envelope.due += delay;
                self.in_transit.push(envelope);
            }
        }
    }

    /// Delivers due messages in random order. Messages to a frozen process wait.
    pub fn deliver(&mut self) {
        loop {
            let now = self.now();
            let ready =
                |envelope: &Envelope| envelope.due <= now && !self.nodes[envelope.to].frozen;
            let due: Vec<usize> = (0..self.in_transit.len())
                .filter(|index| ready(&self.in_transit[*index]))
                .collect();
            if due.is_empty() {
                return;
            }
            let index = due[self.rng.random_range(0..due.len())];
            let envelope = self.in_transit.swap_remove(index);
            if !self.nodes[envelope.to].dead {
                self.receive(envelope);
            }
        }
    }

    fn receive(&mut self, envelope: Envelope) {
        let now = self.now();
        let node = &mut self.nodes[envelope.to];
        match envelope.message {
            Message::Heartbeat(heartbeat) => {
                if let Some(reply) = self.redirect(envelope.to, &heartbeat) {
                    return self.send(envelope.to, envelope.from, Message::Reply(reply));
                }
                let node = &mut self.nodes[envelope.to];
                if let Some(reply) = handle_heartbeat(node, &heartbeat, now) {
                    self.send(envelope.to, envelope.from, Message::Reply(reply));
                }
            }
            Message::Reply(reply) => handle_reply(node, reply, now),
            Message::Claim(origin, hops, sent) => {
                let count = node.buckets.grant_tokens(&ORGANISATION, LIMIT, 1, now);
                let parent = node
                    .parent_session
                    .parent()
                    .filter(|_| count == 0 && hops > 0);
                if let Some(parent) = parent {
                    let parent = self.process_at(parent);
                    self.send(envelope.to, parent, Message::Claim(origin, hops - 1, sent));
                } else {
                    self.send(envelope.to, origin, Message::Tokens(count, sent));
                }
            }
            Message::Tokens(count, sent) => {
                if count > 0 && now < sent + CLAIM_LIFETIME {
                    self.spent.push(Some(now));
                    self.refused -= 1;
                }
            }
        }
    }
}

/// Handles a heartbeat, at the root or below it.
pub fn handle_heartbeat(
    node: &mut Process,
    heartbeat: &Heartbeat,
    now: Instant,
) -> Option<HeartbeatReply> {
    let limits = BTreeMap::from([(ORGANISATION, LIMIT)]);
    let (grant, lifetime) = match &mut node.root {
        Some(root) => (
            root.handle_heartbeat(heartbeat, &limits, now).ok()?,
            SHARE_LIFETIME,
        ),
        None => {
            if heartbeat.fence > node.parent_session.fence() {
                return None;
            }
            node.child_ledger.record_heartbeat(heartbeat, now).ok()?;
            let grant = node.child_ledger.allocate(heartbeat, &limits, now, now);
            (grant, node.child_ledger.lifetime(now))
        }
    };
    Some(HeartbeatReply {
        grant,
        lifetime,
        ..reply_to(node, heartbeat, now)?
    })
}

fn reply_to(node: &Process, heartbeat: &Heartbeat, now: Instant) -> Option<HeartbeatReply> {
    let lease = match &node.root {
        Some(root) if root.term().is_live(now) => SERVING_LEASE,
        Some(_) => Duration::ZERO,
        None => node.serving_until?.saturating_duration_since(now),
    };
    let own_address = Some(node.member.address).filter(|_| node.root.is_some());
    let root = own_address
        .or(node.parent_session.distant_root())
        .or(node.parent_session.parent());
    Some(HeartbeatReply {
        number: heartbeat.number,
        stamp: node
            .root
            .as_ref()
            .map_or(&node.child_ledger, Root::ledger)
            .stamp(&heartbeat.member.vm),
        fence: node.parent_session.fence(),
        root: root.unwrap_or(node.member.address),
        parent: None,
        lease,
        lifetime: SHARE_LIFETIME,
        confirmed: 0,
        delta: Delta::Changes(Vec::new()),
        roster: 0,
        members: Vec::new(),
        grant: None,
    })
}

fn handle_reply(node: &mut Process, reply: HeartbeatReply, now: Instant) {
    let Some(sent) = node.parent_session.accept(&reply) else {
        return;
    };
    if reply.lease > Duration::ZERO {
        node.serving_until = Some(sent + reply.lease);
        node.parent_session.refresh(sent);
    }
    if let Some(parent) = reply.parent {
        return node.attach(parent, reply.fence, now);
    }
    if let Some(grant) = reply.grant {
        if grant.fresh {
            node.child_ledger = ShareLedger::below_root(node.member.vm.clone(), now);
        }
        node.child_ledger
            .set_supply(&grant.shares, sent + reply.lifetime, now);
    }
}

impl Process {
    pub fn attach(&mut self, parent: SocketAddr, fence: u64, now: Instant) {
        if self.parent_session.attach(parent, fence, now) == AttachOutcome::Fresh {
            self.child_ledger = ShareLedger::below_root(self.member.vm.clone(), now);
        }
    }
}
