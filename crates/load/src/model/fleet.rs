//! What each node of the model knows, and where it sends calls.

use std::time::{Duration, Instant};

use filbertwheel_core::{Criticality, CutOff, ServiceId};
use filbertwheel_policy::{Candidate, CutOffs, LoadTracker, RetryThrottles, choose_backend};
use rand::Rng;
use rand::rngs::StdRng;

use super::profile::{DOMAINS, Profile, SCALE};
use super::rule::Rule;
use super::site::Site;

/// How long it takes until a lost backend server leaves the roster.
const ROSTER_LAG: Duration = Duration::from_secs(3);

/// Whose calls a cut-off applies to: route, hop and organisation.
pub type CutKey = (usize, usize, usize);

/// What one node knows.
#[derive(Debug, Default)]
pub struct Node {
    /// Load of the other backend servers.
    pub loads: LoadTracker,
    /// Retries by service.
    pub ratios: RetryThrottles,
    /// Cut-offs of the calls that it makes.
    pub cuts: CutOffs<CutKey>,
}

/// All backend servers and nodes.
#[derive(Debug)]
pub struct Fleet {
    /// Backend servers.
    pub sites: Vec<Site>,
    /// The node beside each backend server, by the same index. Callers use them as entries.
    pub nodes: Vec<Node>,
    /// Names of the services.
    pub services: Vec<ServiceId>,
}

impl Fleet {
    /// A fleet at rest.
    pub fn open(profile: Profile, rule: Rule) -> Self {
        let specs = profile.services().iter().enumerate();
        let sites: Vec<Site> = specs
            .flat_map(|(service, spec)| {
                (0..spec.servers).map(move |number| {
                    let slots = spec.slots / SCALE;
                    Site::open(rule, service, number, number % DOMAINS, slots)
                })
            })
            .collect();
        let nodes = sites.iter().map(|_| Node::default()).collect();
        let services = profile.services().iter().map(|spec| spec.name.into());
        Self {
            sites,
            nodes,
            services: services.collect(),
        }
    }

    /// Chooses the backend server for a call that `from` makes.
    pub fn pick(
        &self,
        rule: Rule,
        from: usize,
        service: usize,
        tried: &[usize],
        at: (Duration, Instant),
        rng: &mut StdRng,
    ) -> Option<usize> {
        let sites = self.sites.iter().enumerate();
        let listed: Vec<usize> = sites
            .filter(|(index, site)| site.service == service && !tried.contains(index))
            .filter(|(_, site)| site.lost.is_none_or(|lost| at.0 < lost + ROSTER_LAG))
            .map(|(index, _)| index)
            .collect();
        if rule == Rule::Off {
            let index = (!listed.is_empty()).then(|| rng.random_range(0..listed.len()))?;
            return Some(listed[index]);
        }
        let home = self.sites[from].domain;
        let loads = &self.nodes[from].loads;
        let candidates: Vec<Candidate> = listed
            .iter()
            .map(|index| {
                let site = &self.sites[*index];
                loads.candidate(&site.vm, site.domain == home, at.1)
            })
            .collect();
        choose_backend(&candidates, |count| rng.random_range(0..count)).map(|index| listed[index])
    }

    /// Whether a node refuses a call early.
    pub fn sheds(
        &self,
        from: usize,
        key: CutKey,
        criticality: Criticality,
        rank: u32,
        now: Instant,
    ) -> Option<CutOff> {
        self.nodes[from].cuts.sheds(&key, criticality, rank, now)
    }

    /// Tells all nodes that backend servers of a domain are new.
    pub fn renew(&mut self, domain: usize, now: Instant) {
        let sites = self.sites.iter().filter(|site| site.domain == domain);
        let vms: Vec<_> = sites.map(|site| site.vm.clone()).collect();
        for node in &mut self.nodes {
            for vm in &vms {
                node.loads.add(vm, true, now);
            }
        }
    }
}
