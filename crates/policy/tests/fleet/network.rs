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
    Beat(Heartbeat),
    Pulse(HeartbeatReply),
    Claim(usize, u8, Instant),
    Tokens(u32, Instant),
}

#[derive(Clone)]
pub struct Mail {
    pub due: Instant,
    pub from: usize,
    pub to: usize,
    pub message: Message,
}

impl Fleet {
    /// Redirects a new node if there is no room for it.
    fn redirect(&self, process: usize, beat: &Heartbeat) -> Option<HeartbeatReply> {
        let node = &self.nodes[process];
        let ledger = node.root.as_ref().map_or(&node.branch, Root::ledger);
        let children: Vec<&VmId> = ledger
            .children()
            .filter(|vm| **vm != node.member.vm)
            .collect();
        let full = children.len() >= self.fanout;
        let known = children.contains(&&beat.member.vm);
        let takes_all = node
            .root
            .as_ref()
            .is_some_and(|root| root.takes_all(beat, self.now()));
        if !full || known || takes_all {
            return None;
        }
        let child = choose_child(&beat.member.vm, children.into_iter())?;
        let child = self.nodes.iter().rfind(|one| one.member.vm == *child)?;
        Some(HeartbeatReply {
            lease: Duration::ZERO,
            parent: Some(child.member.address),
            ..pulse_of(node, beat, self.now())?
        })
    }

    fn faulty(&mut self) -> bool {
        self.rng.random_range(0..100) < self.faults
    }

    pub fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.side(from) != self.side(to) {
            return;
        }
        let mut mail = Mail {
            due: self.now(),
            from,
            to,
            message,
        };
        if !self.faulty() {
            return self.mail.push(mail);
        }
        let late = Duration::from_millis(self.rng.random_range(0..25_000));
        match self.rng.random_range(0..3) {
            0 => {}
            1 => {
                mail.due += late;
                self.mail.push(mail);
            }
            _ => {
                self.mail.push(mail.clone());
                mail.due += late;
                self.mail.push(mail);
            }
        }
    }

    /// Delivers due messages in random order. Messages to a frozen process wait.
    pub fn deliver(&mut self) {
        loop {
            let now = self.now();
            let ready = |mail: &Mail| mail.due <= now && !self.nodes[mail.to].frozen;
            let due: Vec<usize> = (0..self.mail.len())
                .filter(|index| ready(&self.mail[*index]))
                .collect();
            if due.is_empty() {
                return;
            }
            let index = due[self.rng.random_range(0..due.len())];
            let mail = self.mail.swap_remove(index);
            if !self.nodes[mail.to].dead {
                self.receive(mail);
            }
        }
    }

    fn receive(&mut self, mail: Mail) {
        let now = self.now();
        let node = &mut self.nodes[mail.to];
        match mail.message {
            Message::Beat(beat) => {
                if let Some(pulse) = self.redirect(mail.to, &beat) {
                    return self.send(mail.to, mail.from, Message::Pulse(pulse));
                }
                let node = &mut self.nodes[mail.to];
                if let Some(pulse) = take_beat(node, &beat, now) {
                    self.send(mail.to, mail.from, Message::Pulse(pulse));
                }
            }
            Message::Pulse(pulse) => take_pulse(node, pulse, now),
            Message::Claim(origin, hops, sent) => {
                let count = node.buckets.grant_tokens(&ORGANISATION, LIMIT, 1, now);
                let parent = node.link.parent().filter(|_| count == 0 && hops > 0);
                if let Some(parent) = parent {
                    let parent = self.at(parent);
                    self.send(mail.to, parent, Message::Claim(origin, hops - 1, sent));
                } else {
                    self.send(mail.to, origin, Message::Tokens(count, sent));
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
pub fn take_beat(node: &mut Process, beat: &Heartbeat, now: Instant) -> Option<HeartbeatReply> {
    let limits = BTreeMap::from([(ORGANISATION, LIMIT)]);
    let (grant, lifetime) = match &mut node.root {
        Some(root) => (
            root.handle_heartbeat(beat, &limits, now).ok()?,
            SHARE_LIFETIME,
        ),
        None => {
            if beat.fence > node.link.fence() {
                return None;
            }
            node.branch.record_heartbeat(beat, now).ok()?;
            let grant = node.branch.allocate(beat, &limits, now, now);
            (grant, node.branch.lifetime(now))
        }
    };
    Some(HeartbeatReply {
        grant,
        lifetime,
        ..pulse_of(node, beat, now)?
    })
}

fn pulse_of(node: &Process, beat: &Heartbeat, now: Instant) -> Option<HeartbeatReply> {
    let lease = match &node.root {
        Some(root) if root.term().is_live(now) => SERVING_LEASE,
        Some(_) => Duration::ZERO,
        None => node.live?.saturating_duration_since(now),
    };
    let own = Some(node.member.address).filter(|_| node.root.is_some());
    let root = own.or(node.link.distant_root()).or(node.link.parent());
    Some(HeartbeatReply {
        number: beat.number,
        stamp: node
            .root
            .as_ref()
            .map_or(&node.branch, Root::ledger)
            .stamp(&beat.member.vm),
        fence: node.link.fence(),
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

fn take_pulse(node: &mut Process, pulse: HeartbeatReply, now: Instant) {
    let Some(sent) = node.link.accept(&pulse) else {
        return;
    };
    if pulse.lease > Duration::ZERO {
        node.live = Some(sent + pulse.lease);
        node.link.refresh(sent);
    }
    if let Some(parent) = pulse.parent {
        return node.attach(parent, pulse.fence, now);
    }
    if let Some(grant) = pulse.grant {
        if grant.fresh {
            node.branch = ShareLedger::below_root(node.member.vm.clone(), now);
        }
        node.branch
            .set_supply(&grant.shares, sent + pulse.lifetime, now);
    }
}

impl Process {
    pub fn attach(&mut self, parent: SocketAddr, fence: u64, now: Instant) {
        if self.link.attach(parent, fence, now) == AttachOutcome::Fresh {
            self.branch = ShareLedger::below_root(self.member.vm.clone(), now);
        }
    }
}
