//! Models of two deployments.

use std::str::FromStr;

use derive_more::{Display, Error};
use filbertwheel_core::{Criticality, copy_value};

/// Divisor of the slots of each backend server. The number of backend servers is not scaled.
pub const SCALE: u32 = 1;
/// Part of the demand from each organisation, largest first.
pub const ORGANISATION_PARTS: [f64; 8] = [0.30, 0.25, 0.20, 0.10, 0.06, 0.04, 0.03, 0.02];
/// Number of failure domains.
pub const DOMAINS: usize = 3;

/// A deployment.
#[copy_value]
#[derive(Display)]
pub enum Profile {
    /// Punjab Glass Recovery Authority.
    #[display("lahore")]
    Lahore,
    /// Kalnins Pludmales Rezervacijas.
    #[display("riga-gulf")]
    RigaGulf,
}

/// The name of a profile is unknown.
#[copy_value]
#[derive(Display, Error)]
#[display("unknown profile; expected lahore or riga-gulf")]
pub struct UnknownProfile;

/// A service of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: &'static str,
    /// Number of backend servers.
    pub servers: usize,
    /// Slots of each backend server, before scaling.
    pub slots: u32,
}

/// A kind of request and the chain of services that it passes through.
#[derive(Debug, Clone, Copy)]
pub struct RouteSpec {
    /// Name of the route.
    pub name: &'static str,
    /// Priority for load shedding.
    pub criticality: Criticality,
    /// Whether it can safely run more than once.
    pub idempotent: bool,
    /// Part of the demand.
    pub part: f64,
    /// Index of each service on the chain, with its mean self time in milliseconds.
    pub chain: &'static [(usize, f64)],
}

impl FromStr for Profile {
    type Err = UnknownProfile;

    fn from_str(text: &str) -> Result<Self, UnknownProfile> {
        match text {
            "lahore" => Ok(Self::Lahore),
            "riga-gulf" => Ok(Self::RigaGulf),
            _ => Err(UnknownProfile),
        }
    }
}

impl Profile {
    /// Returns the services of the deployment.
    pub fn services(self) -> &'static [ServiceSpec] {
        match self {
            Self::Lahore => &LAHORE,
            Self::RigaGulf => &RIGA_GULF,
        }
    }

    /// Returns the kinds of request of the deployment.
    pub fn routes(self) -> &'static [RouteSpec] {
        match self {
            Self::Lahore => &LAHORE_ROUTES,
            Self::RigaGulf => &RIGA_GULF_ROUTES,
        }
    }

    /// Returns the index of the service at the end of most chains.
    pub fn deepest(self) -> usize {
        3
    }

    /// Returns the scaled slots of all backend servers of a service.
    pub fn capacity(self, service: usize) -> f64 {
        let spec = &self.services()[service];
        f64::from(spec.slots / SCALE) * spec.servers as f64
    }
}

impl RouteSpec {
    /// Returns the mean time in seconds for which a request occupies a slot of each service. A slot
    /// stays occupied during nested calls. `slowness` returns the service time factor of a service.
    pub fn slot_seconds(&self, slowness: &dyn Fn(usize) -> f64) -> Vec<(usize, f64)> {
        let hops = self.chain.iter().enumerate();
        let seconds = hops.map(|(hop, (service, _))| {
            let rest = self.chain[hop..].iter();
            let millis: f64 = rest.map(|(service, mean)| mean * slowness(*service)).sum();
            (*service, millis / 1_000.0)
        });
        seconds.collect()
    }
}

const fn service(name: &'static str, servers: usize, slots: u32) -> ServiceSpec {
    ServiceSpec {
        name,
        servers,
        slots,
    }
}

const LAHORE: [ServiceSpec; 4] = [
    service("round-sheets", 6, 50),
    service("weighbridge", 4, 80),
    service("depot-media", 3, 100),
    service("ward-desk", 3, 20),
];

const RIGA_GULF: [ServiceSpec; 4] = [
    service("availability", 6, 180),
    service("payments", 3, 360),
    service("documents", 3, 360),
    service("staffing", 3, 50),
];

const LAHORE_ROUTES: [RouteSpec; 5] = [
    RouteSpec {
        name: "round-check",
        criticality: Criticality::Normal,
        idempotent: true,
        part: 0.45,
        chain: &[(0, 60.0), (3, 15.0)],
    },
    RouteSpec {
        name: "ticket",
        criticality: Criticality::Normal,
        idempotent: false,
        part: 0.25,
        chain: &[(1, 100.0), (0, 40.0)],
    },
    RouteSpec {
        name: "settlement",
        criticality: Criticality::Critical,
        idempotent: false,
        part: 0.05,
        chain: &[(1, 80.0), (0, 40.0), (3, 15.0)],
    },
    RouteSpec {
        name: "photos",
        criticality: Criticality::Sheddable,
        idempotent: true,
        part: 0.1,
        chain: &[(2, 300.0), (0, 20.0)],
    },
    RouteSpec {
        name: "complaint",
        criticality: Criticality::Normal,
        idempotent: false,
        part: 0.15,
        chain: &[(3, 25.0)],
    },
];

const RIGA_GULF_ROUTES: [RouteSpec; 5] = [
    RouteSpec {
        name: "availability-check",
        criticality: Criticality::Normal,
        idempotent: true,
        part: 0.55,
        chain: &[(0, 60.0), (3, 12.0)],
    },
    RouteSpec {
        name: "booking",
        criticality: Criticality::Normal,
        idempotent: false,
        part: 0.2,
        chain: &[(0, 40.0), (1, 100.0), (2, 50.0)],
    },
    RouteSpec {
        name: "deposit",
        criticality: Criticality::Critical,
        idempotent: false,
        part: 0.05,
        chain: &[(1, 120.0), (0, 40.0), (3, 12.0)],
    },
    RouteSpec {
        name: "roster-change",
        criticality: Criticality::Critical,
        idempotent: false,
        part: 0.05,
        chain: &[(3, 25.0)],
    },
    RouteSpec {
        name: "photo-ids",
        criticality: Criticality::Sheddable,
        idempotent: true,
        part: 0.15,
        chain: &[(2, 400.0), (1, 40.0)],
    },
];
