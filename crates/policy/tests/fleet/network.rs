//! Messages between the nodes: lost, late, repeated and out of order.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbertwheel_core::{Beat, Share};
use filbertwheel_policy::{CLAIM_LIFETIME, SHARE_LIFETIME};
use rand::Rng;

use super::{Fleet, LIMIT, ORGANISATION, Process};

#[derive(Clone)]
pub enum Message {
    Beat(Beat),
    Pulse(u64, u64, Option<Vec<Share>>),
    Claim(u64, Instant),
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

    /// Delivers what's due in some order. Mail to a frozen process waits.
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
                if let Some(reply) = take_beat(node, &beat, now) {
                    self.send(mail.to, mail.from, reply);
                }
            }
            Message::Pulse(number, fence, shares) => take_pulse(node, number, fence, shares, now),
            Message::Claim(fence, sent) => {
                if node.root.as_ref().is_some_and(|root| root.fence() == fence) {
                    let count = node.purse.pay(&ORGANISATION, LIMIT, 1, now);
                    self.send(mail.to, mail.from, Message::Tokens(count, sent));
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

pub fn take_beat(node: &mut Process, beat: &Beat, now: Instant) -> Option<Message> {
    let limits = BTreeMap::from([(ORGANISATION, LIMIT)]);
    let root = node.root.as_mut()?;
    match root.take_beat(beat, &limits, now) {
        Ok(shares) => Some(Message::Pulse(beat.number, root.fence(), shares)),
        Err(_) => None,
    }
}

pub fn take_pulse(
    node: &mut Process,
    number: u64,
    fence: u64,
    shares: Option<Vec<Share>>,
    now: Instant,
) {
    let Some(sent) = node.link.accept(number, fence) else {
        return;
    };
    node.answered = Some(sent);
    if let Some(shares) = shares {
        let expires = sent + SHARE_LIFETIME;
        node.purse.adopt(&shares, |_| Some(LIMIT), expires, now);
    }
}
