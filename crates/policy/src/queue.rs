//! Queue of the calls that wait at a gate.
//!
//! Calls leave in the order of criticality, then fairly between organisations, then by rank and
//! deadline. Each organisation advances a virtual clock by one for each call that it runs, and the
//! one that is furthest behind is next (start-time fair queueing with unit costs).

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant;

use filbertwheel_core::{Criticality, OrganisationId, invariant, value};

use crate::GateTicket;
use crate::gate::GateRequest;

/// A flow of the fair queue: the calls of an organisation, or those of routes without one.
type FlowKey = Option<OrganisationId>;
/// Virtual start time of a flow's next call within its class.
type VirtualTime = u64;

/// Sort key of the calls of one flow.
#[value]
#[derive(PartialOrd, Ord, Copy)]
struct OrderKey {
    rank: u32,
    deadline: Instant,
    ticket: GateTicket,
}

/// A queued call.
#[value]
pub(crate) struct QueuedCall {
    pub ticket: GateTicket,
    pub criticality: Criticality,
    pub organisation: FlowKey,
    order_key: OrderKey,
    expires: Instant,
}

/// All queued calls of a gate.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    classes: BTreeMap<Criticality, Class>,
    calls: HashMap<GateTicket, QueuedCall>,
    expiry: BTreeSet<(Instant, GateTicket)>,
}

/// The queued calls of one criticality.
#[derive(Debug, Default)]
struct Class {
    flows: HashMap<FlowKey, Flow>,
    /// Flows with queued calls by virtual time; the first runs next.
    by_virtual_time: BTreeSet<(VirtualTime, FlowKey)>,
    /// Flows with queued calls by length; the last is shed from.
    by_length: BTreeSet<(usize, FlowKey)>,
    /// Flows without queued calls whose virtual time is still ahead of the clock.
    idle: BTreeSet<(VirtualTime, FlowKey)>,
    virtual_clock: VirtualTime,
    len: usize,
}

/// The queued calls of one organisation.
#[derive(Debug, Default)]
struct Flow {
    virtual_time: VirtualTime,
    order_keys: BTreeSet<OrderKey>,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the number of calls that run before a new one of `criticality`.
    pub fn ahead_of(&self, criticality: Criticality) -> usize {
        let classes = self.classes.range(criticality..);
        classes.map(|(_, class)| class.len).sum()
    }

    /// Returns whether calls of one flow and criticality are queued.
    pub fn contains(&self, organisation: &FlowKey, criticality: Criticality) -> bool {
        let class = self.classes.get(&criticality);
        let flow = class.and_then(|class| class.flows.get(organisation));
        flow.is_some_and(|flow| !flow.order_keys.is_empty())
    }

    pub fn push(&mut self, ticket: GateTicket, request: &GateRequest, expires: Instant) {
        let order_key = OrderKey {
            rank: request.rank,
            deadline: request.deadline,
            ticket,
        };
        let class = self.classes.entry(request.criticality).or_default();
        class.insert(&request.organisation, order_key);
        self.expiry.insert((expires, ticket));
        let call = QueuedCall {
            ticket,
            criticality: request.criticality,
            organisation: request.organisation.clone(),
            order_key,
            expires,
        };
        self.calls.insert(ticket, call);
    }

    /// Removes and returns the call that runs next.
    pub fn pop(&mut self) -> Option<QueuedCall> {
        let (criticality, class) = self
            .classes
            .iter_mut()
            .rev()
            .find(|(_, class)| !class.is_empty())?;
        let criticality = *criticality;
        let ticket = class.next_ticket()?;
        let call = self.remove(ticket)?;
        let class = self.classes.get_mut(&criticality)?;
        class.advance(&call.organisation);
        let above = self.classes.range(criticality..).skip(1);
        let passed_over: usize = above.map(|(_, class)| class.len).sum();
        invariant!(
            "critical-runs-first",
            passed_over == 0,
            "{passed_over} more critical calls are still queued while one runs"
        );
        Some(call)
    }

    /// Removes and returns the call to shed: the last call of the longest flow in the lowest
    /// criticality.
    pub fn shed(&mut self) -> Option<QueuedCall> {
        let (_, class) = self.classes.iter().find(|(_, class)| !class.is_empty())?;
        let ticket = class.last_ticket()?;
        let shed = self.remove(ticket)?;
        let below: usize = self
            .classes
            .range(..shed.criticality)
            .map(|(_, class)| class.len)
            .sum();
        invariant!(
            "critical-shed-last",
            below == 0,
            "{below} less critical calls are still queued while one is shed"
        );
        Some(shed)
    }

    /// Removes one call.
    pub fn remove(&mut self, ticket: GateTicket) -> Option<QueuedCall> {
        let call = self.calls.remove(&ticket)?;
        self.expiry.remove(&(call.expires, ticket));
        if let Some(class) = self.classes.get_mut(&call.criticality) {
            class.remove(&call.organisation, call.order_key);
        }
        Some(call)
    }

    /// Removes and returns one call whose time in the queue has expired.
    pub fn expired(&mut self, now: Instant) -> Option<QueuedCall> {
        let (expires, ticket) = *self.expiry.first()?;
        (expires <= now).then(|| self.remove(ticket)).flatten()
    }
}

impl Class {
    fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn next_ticket(&self) -> Option<GateTicket> {
        let (_, organisation) = self.by_virtual_time.first()?;
        let order_key = self.flows.get(organisation)?.order_keys.first()?;
        Some(order_key.ticket)
    }

    fn last_ticket(&self) -> Option<GateTicket> {
        let (_, organisation) = self.by_length.last()?;
        let order_key = self.flows.get(organisation)?.order_keys.last()?;
        Some(order_key.ticket)
    }

    fn insert(&mut self, organisation: &FlowKey, order_key: OrderKey) {
        let flow = self.flows.entry(organisation.clone()).or_default();
        let size = flow.order_keys.len();
        if size == 0 {
            self.idle.remove(&(flow.virtual_time, organisation.clone()));
            // An idle flow earns no credit, so it restarts at the clock.
            flow.virtual_time = flow.virtual_time.max(self.virtual_clock);
            self.by_virtual_time
                .insert((flow.virtual_time, organisation.clone()));
        } else {
            self.by_length.remove(&(size, organisation.clone()));
        }
        flow.order_keys.insert(order_key);
        self.len += 1;
        self.by_length.insert((size + 1, organisation.clone()));
    }

    fn remove(&mut self, organisation: &FlowKey, order_key: OrderKey) {
        let Some(flow) = self.flows.get_mut(organisation) else {
            return;
        };
        let size = flow.order_keys.len();
        if !flow.order_keys.remove(&order_key) {
            return;
        }
        self.len -= 1;
        self.by_length.remove(&(size, organisation.clone()));
        if size > 1 {
            self.by_length.insert((size - 1, organisation.clone()));
        } else {
            self.by_virtual_time
                .remove(&(flow.virtual_time, organisation.clone()));
            self.idle.insert((flow.virtual_time, organisation.clone()));
        }
    }

    /// Advances the virtual time of a flow by one call.
    fn advance(&mut self, organisation: &FlowKey) {
        let Some(flow) = self.flows.get_mut(organisation) else {
            return;
        };
        let set = if flow.order_keys.is_empty() {
            &mut self.idle
        } else {
            &mut self.by_virtual_time
        };
        set.remove(&(flow.virtual_time, organisation.clone()));
        self.virtual_clock = self.virtual_clock.max(flow.virtual_time);
        flow.virtual_time += 1;
        set.insert((flow.virtual_time, organisation.clone()));
        invariant!(
            "fair-turns",
            self.by_virtual_time
                .first()
                .is_none_or(|(virtual_time, _)| *virtual_time >= self.virtual_clock),
            "a queued flow is behind the virtual clock"
        );
        self.drop_idle();
    }

    /// Drops idle flows that the clock has reached, because a new flow would start at the clock
    /// too.
    fn drop_idle(&mut self) {
        while let Some((virtual_time, organisation)) = self.idle.first() {
            if *virtual_time > self.virtual_clock {
                return;
            }
            self.flows.remove(organisation);
            self.idle.pop_first();
        }
    }
}
