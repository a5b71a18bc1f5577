//! The part of one node in the aggregation of sums.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbertwheel_core::{DomainId, Incarnation, VmId};

use super::group::{GroupId, View};
use super::{
    DomainReport, FleetReport, FleetSums, Origin, PartId, PartReport, ReportedSums, SumMessage,
};
use crate::{CallGraph, RouteProfile};

/// Interval between reports of a node's measurements.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Number of reports between those to the standby aggregator, which can then take over without
/// waiting for the measurements of the others.
const STANDBY_REPORTS: u64 = 2;
/// Number of reports between those that contain route profiles.
const PROFILE_REPORTS: u64 = 2;
/// Time without a message after which a node no longer counts.
const NODE_LIFETIME: Duration = Duration::from_millis(800);
/// Time without a message after which the sum of a group or a domain no longer counts.
const SUM_LIFETIME: Duration = Duration::from_millis(600);
/// Mean age of the measurements above which sums over the fleet are no longer used.
const FLEET_LIFETIME: Duration = Duration::from_millis(1_000);
/// Time without sums from an aggregator after which a node turns to the next one.
const AGGREGATOR_TIMEOUT: Duration = Duration::from_millis(400);
/// How long an aggregator that sent no sums is avoided.
const AVOID_TIME: Duration = Duration::from_secs(3);

/// A message to another node.
#[derive(Debug, Clone)]
pub struct Outgoing {
    /// VM of the receiver.
    pub to: VmId,
    /// The message.
    pub message: SumMessage,
}

/// State of one node: its own measurements, the sums that it has received, and those that it adds
/// up for others.
#[derive(Debug)]
pub struct Aggregation {
    vm: VmId,
    domain: DomainId,
    incarnation: Incarnation,
    view: View,
    sequence: u64,
    reports: u64,
    reported: Option<Instant>,
    sample: Sums,
    choices: BTreeMap<GroupId, Choice>,
    groups: BTreeMap<GroupId, Parts>,
    domains: BTreeMap<DomainId, BTreeMap<VmId, Received>>,
    fleet: Option<Received>,
}

/// Parts of a group's sum, each as received from one or more senders.
type Parts = BTreeMap<PartId, BTreeMap<VmId, Received>>;

/// Sums with the route profiles of the same nodes.
#[derive(Debug, Clone, Default)]
struct Sums {
    sums: FleetSums,
    profiles: Vec<RouteProfile>,
}

#[derive(Debug, Clone)]
struct Received {
    incarnation: Incarnation,
    sequence: u64,
    at: Instant,
    /// Mean age of the measurements at that time.
    age: Duration,
    /// Whether the sender asks for the sums over the fleet.
    serve: bool,
    sums: Sums,
}

/// Which aggregator of a group a node uses.
#[derive(Debug)]
struct Choice {
    active: VmId,
    /// Time of the last sums from it, or since when it is used.
    heard: Instant,
    avoided: BTreeMap<VmId, Instant>,
}

impl Aggregation {
    /// Creates the state of a node that has just started.
    pub fn open(vm: VmId, domain: DomainId, incarnation: Incarnation) -> Self {
        Self {
            vm,
            domain,
            incarnation,
            view: View::default(),
            sequence: 0,
            reports: 0,
            reported: None,
            sample: Sums::default(),
            choices: BTreeMap::new(),
            groups: BTreeMap::new(),
            domains: BTreeMap::new(),
            fleet: None,
        }
    }

    /// Sets the nodes that this node is connected to, without itself.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = (VmId, DomainId)>) {
        let mut domains: BTreeMap<DomainId, Vec<VmId>> = BTreeMap::new();
        let own = (self.vm.clone(), self.domain.clone());
        for (vm, domain) in members.into_iter().chain([own]) {
            domains.entry(domain).or_default().push(vm);
        }
        self.view.set(&self.domain, domains);
    }

    /// Sets this node's own measurements.
    pub fn set_sample(&mut self, sums: FleetSums, profiles: Vec<RouteProfile>) {
        self.sample = Sums { sums, profiles };
    }

    /// Returns the latest sums over the fleet with the mean age of the measurements, if they are
    /// not too old.
    pub fn fleet(&self, now: Instant) -> Option<(&FleetSums, Duration)> {
        let fleet = self.fleet.as_ref()?;
        let age = fleet.age_at(now);
        (age <= FLEET_LIFETIME).then_some((&fleet.sums.sums, age))
    }

    /// Returns the latest route profiles over the fleet. They change slowly, so they are used
    /// however old they are.
    pub fn profiles(&self) -> &[RouteProfile] {
        self.fleet
            .as_ref()
            .map_or(&[], |fleet| &fleet.sums.profiles)
    }

    /// Returns the aggregator that this node receives the sums over the fleet from.
    pub fn aggregator(&self) -> Option<&VmId> {
        let group = self.view.group_of(&self.domain, &self.vm);
        self.choices.get(&group).map(|choice| &choice.active)
    }

    /// Does what is due, and returns the messages to send. Called a few times per report interval.
    pub fn tick(&mut self, now: Instant) -> Vec<Outgoing> {
        let mut out = Vec::new();
        self.drop_expired(now);
        let elapsed = self.reported.map(|at| now.saturating_duration_since(at));
        if elapsed.is_none_or(|elapsed| elapsed >= REPORT_INTERVAL) {
            self.reported = Some(now);
            self.reports += 1;
            self.report_sample(now, &mut out);
        }
        self.report_groups(now, &mut out);
        self.report_domain(now, &mut out);
        out
    }

    /// Handles a message of another node, and returns the messages to send.
    pub fn receive(&mut self, message: SumMessage, now: Instant) -> Vec<Outgoing> {
        let mut out = Vec::new();
        self.handle(message, now, &mut out);
        out
    }

    fn handle(&mut self, message: SumMessage, now: Instant, out: &mut Vec<Outgoing>) {
        match message {
            SumMessage::Part(report) => {
                let parts = self.groups.entry(report.group).or_default();
                let senders = parts.entry(report.part).or_default();
                store(senders, report.origin, report.serve, report.state, now);
            }
            SumMessage::Domain(report) => {
                let senders = self.domains.entry(report.domain).or_default();
                store(senders, report.origin, false, report.state, now);
            }
            SumMessage::Fleet(report) => self.handle_fleet(report, now, out),
        }
    }

    /// Applies the sums over the fleet, and passes them on to the nodes of a group that this node
    /// aggregates for.
    fn handle_fleet(&mut self, report: FleetReport, now: Instant, out: &mut Vec<Outgoing>) {
        for choice in self.choices.values_mut() {
            if choice.active == report.sender || choice.active == self.vm {
                choice.heard = now;
            }
        }
        let known = self.fleet.as_ref().map(|known| known.age_at(now));
        if known.is_some_and(|age| age < report.state.age) {
            return;
        }
        let profiles = report.state.profiles.clone();
        let before = self.fleet.take().map(|known| known.sums.profiles);
        self.fleet = Some(Received {
            incarnation: 0,
            sequence: 0,
            at: now,
            age: report.state.age,
            serve: false,
            sums: Sums {
                sums: report.state.sums.clone(),
                profiles: profiles.or(before).unwrap_or_default(),
            },
        });
        let groups = self.groups.iter().filter(|(group, _)| group.bits > 0);
        let served: Vec<VmId> = groups.flat_map(|(_, parts)| served(parts, now)).collect();
        self.push(&served, &report.state, out);
    }

    fn push(&self, receivers: &[VmId], state: &ReportedSums, out: &mut Vec<Outgoing>) {
        for to in receivers.iter().filter(|to| **to != self.vm) {
            out.push(Outgoing {
                to: to.clone(),
                message: SumMessage::Fleet(FleetReport {
                    sender: self.vm.clone(),
                    state: state.clone(),
                }),
            });
        }
    }

    /// Sends this node's own measurements to the aggregators of its group.
    fn report_sample(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        let group = self.view.group_of(&self.domain, &self.vm);
        let state = ReportedSums {
            age: Duration::ZERO,
            sums: self.sample.sums.clone(),
            profiles: Some(self.sample.profiles.clone()).filter(|_| self.with_profiles()),
        };
        let part = PartId::Node(self.vm.clone());
        self.report_part(&group, part, &state, now, out);
    }

    /// Sends the sums of the groups that this node aggregates for to the aggregators of its domain.
    fn report_groups(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        let divided = self.groups.iter().filter(|(group, _)| group.bits > 0);
        let sums: Vec<(GroupId, ReportedSums)> = divided
            .filter(|(_, parts)| served(parts, now).next().is_some())
            .map(|(group, parts)| (group.clone(), sum_of(parts.values(), now)))
            .collect();
        let whole = GroupId::whole(self.domain.clone());
        for (group, state) in sums {
            self.report_part(&whole, PartId::Group(group), &state, now, out);
        }
    }

    /// Sends the sum of the domain to the aggregators of the other domains, if this node aggregates
    /// for its domain, and the sums over the fleet to the nodes that ask for them.
    fn report_domain(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        let whole = GroupId::whole(self.domain.clone());
        let Some(parts) = self.groups.get(&whole) else {
            return;
        };
        let receivers: Vec<VmId> = served(parts, now).collect();
        if receivers.is_empty() {
            return;
        }
        let own = sum_of(parts.values(), now);
        self.sequence += 1;
        for domain in self.view.domains() {
            if domain == self.domain {
                continue;
            }
            let group = GroupId::whole(domain);
            for to in self.view.aggregators(&group).iter().take(2) {
                out.push(Outgoing {
                    to: to.clone(),
                    message: SumMessage::Domain(DomainReport {
                        domain: self.domain.clone(),
                        origin: Origin {
                            vm: self.vm.clone(),
                            incarnation: self.incarnation,
                            sequence: self.sequence,
                        },
                        state: own.clone(),
                    }),
                });
            }
        }
        self.push_fleet(&own, &receivers, now, out);
    }

    /// Adds up the sums of all domains, and sends them to the nodes that ask for them.
    fn push_fleet(
        &mut self,
        own: &ReportedSums,
        receivers: &[VmId],
        now: Instant,
        out: &mut Vec<Outgoing>,
    ) {
        let own_domain = Received {
            incarnation: self.incarnation,
            sequence: self.sequence,
            at: now,
            age: own.age,
            serve: false,
            sums: Sums {
                sums: own.sums.clone(),
                profiles: own.profiles.clone().unwrap_or_default(),
            },
        };
        let others = self.domains.values().filter_map(best);
        let mut state = merge(others.chain([&own_domain]), now);
        // Only the watchers of the own domain matter to its nodes.
        state.sums.watchers.clone_from(&own.sums.watchers);
        if !self.with_profiles() {
            state.profiles = None;
        }
        self.push(receivers, &state, out);
        let local = FleetReport {
            sender: self.vm.clone(),
            state,
        };
        self.handle_fleet(local, now, out);
    }

    /// Sends a part of a group's sum to the active and, less often, the standby aggregator.
    fn report_part(
        &mut self,
        group: &GroupId,
        part: PartId,
        state: &ReportedSums,
        now: Instant,
        out: &mut Vec<Outgoing>,
    ) {
        self.sequence += 1;
        let ranked = self.view.aggregators(group);
        let Some(choice) = choose(&mut self.choices, group, ranked, now) else {
            return;
        };
        let standby = ranked.iter().find(|vm| **vm != choice.active);
        let standby = standby.filter(|_| self.reports.is_multiple_of(STANDBY_REPORTS));
        let receivers = [(Some(&choice.active), true), (standby, false)];
        let receivers: Vec<(VmId, bool)> = receivers
            .into_iter()
            .filter_map(|(vm, serve)| Some((vm?.clone(), serve)))
            .collect();
        for (to, serve) in receivers {
            let message = SumMessage::Part(PartReport {
                group: group.clone(),
                part: part.clone(),
                origin: Origin {
                    vm: self.vm.clone(),
                    incarnation: self.incarnation,
                    sequence: self.sequence,
                },
                serve,
                state: state.clone(),
            });
            if to == self.vm {
                self.handle(message, now, out);
            } else {
                out.push(Outgoing { to, message });
            }
        }
    }

    fn with_profiles(&self) -> bool {
        self.reports.is_multiple_of(PROFILE_REPORTS)
    }

    fn drop_expired(&mut self, now: Instant) {
        for parts in self.groups.values_mut() {
            for (part, senders) in &mut *parts {
                let lifetime = match part {
                    PartId::Node(_) => NODE_LIFETIME,
                    PartId::Group(_) => SUM_LIFETIME,
                };
                senders.retain(|_, received| received.elapsed(now) <= lifetime);
            }
            parts.retain(|_, senders| !senders.is_empty());
        }
        self.groups.retain(|_, parts| !parts.is_empty());
        for senders in self.domains.values_mut() {
            senders.retain(|_, received| received.elapsed(now) <= SUM_LIFETIME);
        }
    }
}

impl Received {
    fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.at)
    }

    /// Returns the mean age of the measurements.
    fn age_at(&self, now: Instant) -> Duration {
        self.age.saturating_add(self.elapsed(now))
    }
}

/// Keeps a received sum, unless a later one of the same sender is known.
fn store(
    senders: &mut BTreeMap<VmId, Received>,
    origin: Origin,
    serve: bool,
    state: ReportedSums,
    now: Instant,
) {
    let known = senders.get(&origin.vm);
    let position = (origin.incarnation, origin.sequence);
    if known.is_some_and(|known| (known.incarnation, known.sequence) > position) {
        return;
    }
    let profiles = known.filter(|known| known.incarnation == origin.incarnation);
    let profiles = profiles.map(|known| known.sums.profiles.clone());
    let received = Received {
        incarnation: origin.incarnation,
        sequence: origin.sequence,
        at: now,
        age: state.age,
        serve,
        sums: Sums {
            sums: state.sums,
            profiles: state.profiles.or(profiles).unwrap_or_default(),
        },
    };
    senders.insert(origin.vm, received);
}

/// Returns the sum that counts among those of several senders: that of most nodes, and among equal
/// ones the latest. A sender that has just taken over knows few nodes yet.
fn best(senders: &BTreeMap<VmId, Received>) -> Option<&Received> {
    senders
        .values()
        .max_by_key(|received| (received.sums.sums.nodes, received.at))
}

/// Returns the senders that ask for the sums over the fleet.
fn served(parts: &Parts, now: Instant) -> impl Iterator<Item = VmId> {
    let senders = parts.values().flatten();
    let asking = senders
        .filter(move |(_, received)| received.serve && received.elapsed(now) <= AGGREGATOR_TIMEOUT);
    asking.map(|(vm, _)| vm.clone())
}

fn sum_of<'a>(
    parts: impl Iterator<Item = &'a BTreeMap<VmId, Received>>,
    now: Instant,
) -> ReportedSums {
    merge(parts.filter_map(best), now)
}

fn merge<'a>(received: impl Iterator<Item = &'a Received>, now: Instant) -> ReportedSums {
    let received: Vec<&Received> = received.collect();
    let sums = received
        .iter()
        .map(|one| (&one.sums.sums, one.elapsed(now)));
    let sums = FleetSums::merge(sums);
    let profiles = received.iter().flat_map(|one| &one.sums.profiles);
    let profiles = CallGraph::merge(profiles).profiles();
    let ages = received.iter().map(|one| {
        let nodes = f64::from(one.sums.sums.nodes);
        one.age_at(now).as_secs_f64() * nodes
    });
    let age = ages.sum::<f64>() / f64::from(sums.nodes.max(1));
    ReportedSums {
        age: Duration::from_secs_f64(age),
        sums,
        profiles: Some(profiles),
    }
}

/// Returns the choice for a group, after turning to the next aggregator if the present one is gone
/// or has sent no sums for too long.
fn choose<'a>(
    choices: &'a mut BTreeMap<GroupId, Choice>,
    group: &GroupId,
    ranked: &[VmId],
    now: Instant,
) -> Option<&'a Choice> {
    let first = ranked.first()?;
    let choice = choices.entry(group.clone()).or_insert_with(|| Choice {
        active: first.clone(),
        heard: now,
        avoided: BTreeMap::new(),
    });
    // The aggregator of a part of a domain depends on that of the domain, which gets the first
    // chance to be replaced.
    let timeout = match group.bits {
        0 => AGGREGATOR_TIMEOUT,
        _ => AGGREGATOR_TIMEOUT * 2,
    };
    if now.saturating_duration_since(choice.heard) > timeout {
        choice
            .avoided
            .insert(choice.active.clone(), now + AVOID_TIME);
    }
    choice.avoided.retain(|_, until| now < *until);
    let usable = ranked.iter().find(|vm| !choice.avoided.contains_key(*vm));
    let active = usable.unwrap_or(first);
    if *active != choice.active {
        choice.active = active.clone();
        choice.heard = now;
    }
    Some(choice)
}
