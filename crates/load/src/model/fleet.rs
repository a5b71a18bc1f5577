//! State of the simulated nodes and their choice of backend servers.

use std::time::{Duration, Instant};

use filbertwheel_core::{Criticality, CutOff, ServiceId};
use filbertwheel_policy::{Candidate, CutOffs, LoadTracker, RetryThrottles, choose_backend};
use rand::Rng;
use rand::rngs::StdRng;

use super::policy::Policy;
use super::profile::{DOMAINS, Profile, SCALE};
use super::server::Server;

/// Delay until a failed backend server is removed from the roster.
const ROSTER_LAG: Duration = Duration::from_secs(3);

/// Calls that a cut-off applies to: route, hop and organisation.
pub type CutOffKey = (usize, usize, usize);

/// State of one node.
#[derive(Debug, Default)]
pub struct Node {
    /// Load of the backend servers that it calls.
    pub loads: LoadTracker,
    /// Retry throttles by service.
    pub throttles: RetryThrottles,
    /// Cut-offs for the calls that it sends.
    pub cut_offs: CutOffs<CutOffKey>,
}

/// All backend servers and nodes.
#[derive(Debug)]
pub struct Fleet {
    /// Backend servers.
    pub servers: Vec<Server>,
    /// Node of the backend server with the same index. Callers send their requests to any of them.
    pub nodes: Vec<Node>,
    /// Names of the services.
    pub services: Vec<ServiceId>,
}

impl Fleet {
    /// Creates a fleet without load.
    pub fn open(profile: Profile, policy: Policy) -> Self {
        let specs = profile.services().iter().enumerate();
        let servers: Vec<Server> = specs
            .flat_map(|(service, spec)| {
                (0..spec.servers).map(move |number| {
                    let slots = spec.slots / SCALE;
                    Server::open(policy, service, number, number % DOMAINS, slots)
                })
            })
            .collect();
        let nodes = servers.iter().map(|_| Node::default()).collect();
        let services = profile.services().iter().map(|spec| spec.name.into());
        Self {
            servers,
            nodes,
            services: services.collect(),
        }
    }

    /// Chooses the backend server for a call sent by node `from`.
    pub fn choose_server(
        &self,
        policy: Policy,
        from: usize,
        service: usize,
        tried: &[usize],
        at: (Duration, Instant),
        rng: &mut StdRng,
    ) -> Option<usize> {
        let servers = self.servers.iter().enumerate();
        let listed: Vec<usize> = servers
            .filter(|(index, server)| server.service == service && !tried.contains(index))
            .filter(|(_, server)| server.lost_at.is_none_or(|lost| at.0 < lost + ROSTER_LAG))
            .map(|(index, _)| index)
            .collect();
        if policy == Policy::Off {
            let index = (!listed.is_empty()).then(|| rng.random_range(0..listed.len()))?;
            return Some(listed[index]);
        }
        let own_domain = self.servers[from].domain;
        let loads = &self.nodes[from].loads;
        let candidates: Vec<Candidate> = listed
            .iter()
            .map(|index| {
                let server = &self.servers[*index];
                loads.candidate(&server.vm, server.domain == own_domain, at.1)
            })
            .collect();
        choose_backend(&candidates, |count| rng.random_range(0..count)).map(|index| listed[index])
    }

    /// Returns the cut-off for which node `from` refuses a call without sending it.
    pub fn cut_off(
        &self,
        from: usize,
        key: CutOffKey,
        criticality: Criticality,
        rank: u32,
        now: Instant,
    ) -> Option<CutOff> {
        self.nodes[from]
            .cut_offs
            .sheds(&key, criticality, rank, now)
    }

    /// Records on all nodes that the backend servers of a domain have just started.
    pub fn mark_restarted(&mut self, domain: usize, now: Instant) {
        let servers = self.servers.iter().filter(|server| server.domain == domain);
        let vms: Vec<_> = servers.map(|server| server.vm.clone()).collect();
        for node in &mut self.nodes {
            for vm in &vms {
                node.loads.add(vm, true, now);
            }
        }
    }
}
