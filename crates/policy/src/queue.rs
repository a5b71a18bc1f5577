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
type Owner = Option<OrganisationId>;
/// Virtual start time of a flow's next call within its class.
type Turn = u64;

/// Sort key of the calls of one flow.
#[value]
#[derive(PartialOrd, Ord, Copy)]
struct Place {
    rank: u32,
    deadline: Instant,
    ticket: GateTicket,
}

/// A queued call.
#[value]
pub(crate) struct Waiting {
    pub ticket: GateTicket,
    pub criticality: Criticality,
    pub owner: Owner,
    place: Place,
    expires: Instant,
}

/// All queued calls of a gate.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    classes: BTreeMap<Criticality, Class>,
    calls: HashMap<GateTicket, Waiting>,
    expiry: BTreeSet<(Instant, GateTicket)>,
}

/// The queued calls of one criticality.
#[derive(Debug, Default)]
struct Class {
    lanes: HashMap<Owner, Lane>,
    /// Flows with queued calls by virtual time; the first runs next.
    turns: BTreeSet<(Turn, Owner)>,
    /// Flows with queued calls by length; the last is shed from.
    sizes: BTreeSet<(usize, Owner)>,
    /// Flows without queued calls whose virtual time is still ahead of the clock.
    idle: BTreeSet<(Turn, Owner)>,
    clock: Turn,
    len: usize,
}

/// The queued calls of one organisation.
#[derive(Debug, Default)]
struct Lane {
    turn: Turn,
    places: BTreeSet<Place>,
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
    pub fn has(&self, owner: &Owner, criticality: Criticality) -> bool {
        let class = self.classes.get(&criticality);
        let lane = class.and_then(|class| class.lanes.get(owner));
        lane.is_some_and(|lane| !lane.places.is_empty())
    }

    pub fn push(&mut self, ticket: GateTicket, entry: &GateRequest, expires: Instant) {
        let place = Place {
            rank: entry.rank,
            deadline: entry.deadline,
            ticket,
        };
        let class = self.classes.entry(entry.criticality).or_default();
        class.insert(&entry.organisation, place);
        self.expiry.insert((expires, ticket));
        let waiting = Waiting {
            ticket,
            criticality: entry.criticality,
            owner: entry.organisation.clone(),
            place,
            expires,
        };
        self.calls.insert(ticket, waiting);
    }

    /// Removes and returns the call that runs next.
    pub fn pop(&mut self) -> Option<Waiting> {
        let (criticality, class) = self
            .classes
            .iter_mut()
            .rev()
            .find(|(_, class)| !class.is_empty())?;
        let criticality = *criticality;
        let ticket = class.next()?;
        let waiting = self.remove(ticket)?;
        let class = self.classes.get_mut(&criticality)?;
        class.charge(&waiting.owner);
        let above = self.classes.range(criticality..).skip(1);
        let passed_over: usize = above.map(|(_, class)| class.len).sum();
        invariant!(
            "critical-runs-first",
            passed_over == 0,
            "{passed_over} more critical calls are still queued while one runs"
        );
        Some(waiting)
    }

    /// Removes and returns the call to shed: the last call of the longest flow in the lowest
    /// criticality.
    pub fn shed(&mut self) -> Option<Waiting> {
        let (_, class) = self.classes.iter().find(|(_, class)| !class.is_empty())?;
        let ticket = class.last()?;
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
    pub fn remove(&mut self, ticket: GateTicket) -> Option<Waiting> {
        let waiting = self.calls.remove(&ticket)?;
        self.expiry.remove(&(waiting.expires, ticket));
        if let Some(class) = self.classes.get_mut(&waiting.criticality) {
            class.remove(&waiting.owner, waiting.place);
        }
        Some(waiting)
    }

    /// Removes and returns one call whose time in the queue has expired.
    pub fn expired(&mut self, now: Instant) -> Option<Waiting> {
        let (expires, ticket) = *self.expiry.first()?;
        (expires <= now).then(|| self.remove(ticket)).flatten()
    }
}

impl Class {
    fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn next(&self) -> Option<GateTicket> {
        let (_, owner) = self.turns.first()?;
        let place = self.lanes.get(owner)?.places.first()?;
        Some(place.ticket)
    }

    fn last(&self) -> Option<GateTicket> {
        let (_, owner) = self.sizes.last()?;
        let place = self.lanes.get(owner)?.places.last()?;
        Some(place.ticket)
    }

    fn insert(&mut self, owner: &Owner, place: Place) {
        let lane = self.lanes.entry(owner.clone()).or_default();
        let size = lane.places.len();
        if size == 0 {
            self.idle.remove(&(lane.turn, owner.clone()));
            // An idle flow earns no credit, so it restarts at the clock.
            lane.turn = lane.turn.max(self.clock);
            self.turns.insert((lane.turn, owner.clone()));
        } else {
            self.sizes.remove(&(size, owner.clone()));
        }
        lane.places.insert(place);
        self.len += 1;
        self.sizes.insert((size + 1, owner.clone()));
    }

    fn remove(&mut self, owner: &Owner, place: Place) {
        let Some(lane) = self.lanes.get_mut(owner) else {
            return;
        };
        let size = lane.places.len();
        if !lane.places.remove(&place) {
            return;
        }
        self.len -= 1;
        self.sizes.remove(&(size, owner.clone()));
        if size > 1 {
            self.sizes.insert((size - 1, owner.clone()));
        } else {
            self.turns.remove(&(lane.turn, owner.clone()));
            self.idle.insert((lane.turn, owner.clone()));
        }
    }

    /// Advances the virtual time of a flow by one call.
    fn charge(&mut self, owner: &Owner) {
        let Some(lane) = self.lanes.get_mut(owner) else {
            return;
        };
        let set = if lane.places.is_empty() {
            &mut self.idle
        } else {
            &mut self.turns
        };
        set.remove(&(lane.turn, owner.clone()));
        self.clock = self.clock.max(lane.turn);
        lane.turn += 1;
        set.insert((lane.turn, owner.clone()));
        invariant!(
            "fair-turns",
            self.turns
                .first()
                .is_none_or(|(turn, _)| *turn >= self.clock),
            "a queued flow is behind the virtual clock"
        );
        self.forget_idle();
    }

    /// Drops idle flows that the clock has reached, because a new flow would start at the clock
    /// too.
    fn forget_idle(&mut self) {
        while let Some((turn, owner)) = self.idle.first() {
            if *turn > self.clock {
                return;
            }
            self.lanes.remove(owner);
            self.idle.pop_first();
        }
    }
}
