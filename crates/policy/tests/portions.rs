//! Portions of an organisation's rate limit: whatever messages are lost or delayed and whichever
//! nodes restart, all portions together never exceed the limit.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbertwheel_core::{OrganisationId, Rate, VmId};
use filbertwheel_policy::{
    PORTION_LIFETIME, PortionBuckets, PortionGrant, PortionLedger, PortionRequest, StoredGrants,
};
use proptest::prelude::*;

const LIMIT: Rate = Rate {
    rate: 1_000.0,
    burst: 1_000.0,
};
const STEP: Duration = Duration::from_millis(500);

fn organisation() -> OrganisationId {
    "ward-office".into()
}

fn limits() -> BTreeMap<OrganisationId, Rate> {
    BTreeMap::from([(organisation(), LIMIT)])
}

fn vm(index: usize) -> VmId {
    format!("vm{index}").into()
}

/// Simulated nodes with a replaceable lease holder.
struct Fleet {
    now: Instant,
    nodes: Vec<PortionBuckets>,
    ledger: PortionLedger,
    holder: usize,
    /// Grants as stored in the lease row.
    stored: StoredGrants,
    /// Grants in transit, with their destination.
    grants: Vec<(usize, PortionGrant)>,
}

impl Fleet {
    fn open(count: usize) -> Self {
        let now = Instant::now();
        Self {
            now,
            nodes: (0..count).map(|_| PortionBuckets::default()).collect(),
            ledger: PortionLedger::open(vm(0), StoredGrants::default(), now),
            holder: 0,
            stored: StoredGrants::default(),
            grants: Vec::new(),
        }
    }

    /// Renews the lease, which stores the grants.
    fn renew(&mut self) {
        self.begin_renewal();
        self.ledger.record_stored(self.stored.clone());
    }

    /// Stores the grants without the lease holder hearing of it yet.
    fn begin_renewal(&mut self) {
        let grants = self.ledger.grants_to_store(&limits(), self.now);
        self.ledger.begin_store(&grants);
        self.stored = grants;
    }

    fn request(&mut self, node: usize) -> PortionRequest {
        let buckets = &mut self.nodes[node];
        buckets.update_demand(&limits(), self.now);
        buckets.next_request(&vm(node), false, self.now)
    }

    fn answer(&mut self, node: usize) {
        let request = self.request(node);
        let grant = self.ledger.handle_request(&request, &limits(), self.now);
        self.grants.push((node, grant));
    }

    fn deliver(&mut self, index: usize) {
        let (node, grant) = self.grants.remove(index);
        self.nodes[node].set_portions(&grant, &limits(), self.now);
    }

    /// Moves the lease to another node.
    fn replace_holder(&mut self, holder: usize) {
        // The earlier lease has expired, and with it the portions of its holder.
        self.nodes[self.holder].clear();
        self.ledger = PortionLedger::open(vm(holder), self.stored.clone(), self.now);
        self.holder = holder;
        // Grants of the earlier lease holder have an outdated fencing token and are dropped.
        self.grants.clear();
    }

    fn held(&self) -> f64 {
        let portions = self.nodes.iter().flat_map(|node| node.portions(self.now));
        portions.map(|(_, portion, _)| portion).sum()
    }

    fn exchange(&mut self) {
        for node in 0..self.nodes.len() {
            self.answer(node);
        }
        while !self.grants.is_empty() {
            self.deliver(0);
        }
        self.renew();
        self.now += STEP;
    }
}

fn spend(fleet: &mut Fleet, node: usize, count: usize) -> usize {
    let now = fleet.now;
    let mut charge = || {
        fleet.nodes[node]
            .charge(&organisation(), LIMIT, now)
            .is_ok()
    };
    (0..count).filter(|_| charge()).count()
}

#[test]
fn the_full_rate_is_available_where_the_demand_is() {
    let mut fleet = Fleet::open(4);
    let mut spent = 0;
    for _ in 0..40 {
        spent += spend(&mut fleet, 3, 500);
        fleet.exchange();
    }
    // The lease holder keeps half of the rate for claims.
    let half = LIMIT.rate * 0.5 * 20.0;
    assert!(spent as f64 > half * 0.8, "{spent} of {half}");
}

#[test]
fn a_small_rate_stays_with_the_lease_holder() {
    let small = Rate {
        rate: 5.0,
        burst: 5.0,
    };
    let limits = BTreeMap::from([(organisation(), small)]);
    let now = Instant::now();
    let mut ledger = PortionLedger::open(vm(0), StoredGrants::default(), now);
    let (mut holder, mut node) = (PortionBuckets::default(), PortionBuckets::default());
    for step in 0..4 {
        let now = now + STEP * step;
        assert!(node.charge(&organisation(), small, now).is_err());
        for (index, buckets) in [&mut holder, &mut node].into_iter().enumerate() {
            buckets.update_demand(&limits, now);
            let request = buckets.next_request(&vm(index), false, now);
            let grant = ledger.handle_request(&request, &limits, now);
            assert!(buckets.set_portions(&grant, &limits, now));
        }
    }
    let later = now + STEP * 8;
    let granted = holder.grant_tokens(&organisation(), small, 1, later);
    assert_eq!(granted.0, 1);
}

#[test]
fn a_portion_expires() {
    let mut fleet = Fleet::open(2);
    for _ in 0..4 {
        spend(&mut fleet, 1, 100);
        fleet.exchange();
    }
    assert!(spend(&mut fleet, 1, 1) > 0);
    fleet.now += PORTION_LIFETIME;
    assert_eq!(spend(&mut fleet, 1, 1), 0);
}

#[test]
fn a_new_lease_holder_waits_for_a_request_of_every_grantee() {
    let mut fleet = Fleet::open(3);
    for _ in 0..6 {
        spend(&mut fleet, 1, 100);
        fleet.exchange();
    }
    let grantees: Vec<_> = fleet.stored.nodes.keys().cloned().collect();
    assert_eq!(grantees, [vm(1)]);
    fleet.replace_holder(2);
    assert!(!fleet.ledger.all_portions_known(fleet.now));
    fleet.answer(0);
    assert!(!fleet.ledger.all_portions_known(fleet.now));
    fleet.answer(1);
    assert!(fleet.ledger.all_portions_known(fleet.now));
}

#[test]
fn a_new_lease_holder_waits_until_portions_of_failed_nodes_expire() {
    let mut fleet = Fleet::open(2);
    for _ in 0..4 {
        spend(&mut fleet, 1, 100);
        fleet.exchange();
    }
    fleet.replace_holder(0);
    fleet.now += PORTION_LIFETIME;
    assert!(!fleet.ledger.all_portions_known(fleet.now));
    fleet.now += Duration::from_secs(2);
    assert!(fleet.ledger.all_portions_known(fleet.now));
}

#[test]
fn a_new_lease_holder_without_grantees_starts_at_once() {
    let mut fleet = Fleet::open(3);
    fleet.exchange();
    fleet.replace_holder(2);
    assert!(fleet.ledger.all_portions_known(fleet.now));
}

#[test]
fn the_first_request_without_a_lease_holder_is_not_refused() {
    let now = Instant::now();
    let mut node = PortionBuckets::default();
    node.fill_emergency(&limits(), now);
    let later = now + STEP;
    assert!(
        node.charge_emergency(&organisation(), LIMIT, 16, later)
            .is_ok()
    );
}

#[test]
fn without_a_lease_holder_all_nodes_together_stay_below_the_rate() {
    let now = Instant::now();
    let mut nodes: Vec<PortionBuckets> = (0..16).map(|_| PortionBuckets::default()).collect();
    let mut spent = 0;
    for millis in (0..10_000_u64).step_by(10) {
        let now = now + Duration::from_millis(millis);
        for node in &mut nodes {
            spent += u32::from(
                node.charge_emergency(&organisation(), LIMIT, 16, now)
                    .is_ok(),
            );
        }
    }
    let full_rate = LIMIT.rate * 10.0;
    assert!(f64::from(spent) < full_rate * 0.4, "{spent} of {full_rate}");
    assert!(f64::from(spent) > full_rate * 0.3, "{spent} of {full_rate}");
}

#[derive(Debug, Clone)]
enum Event {
    Renew,
    BeginRenewal,
    Answer(usize),
    Deliver(usize),
    Drop(usize),
    Spend(usize, usize),
    Wait(u64),
    Replace(usize),
    Restart(usize),
}

fn events(nodes: usize) -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (0..nodes).prop_map(Event::Answer),
        8 => (0..8_usize).prop_map(Event::Deliver),
        2 => (0..8_usize).prop_map(Event::Drop),
        6 => ((0..nodes), (0..200_usize)).prop_map(|(node, count)| Event::Spend(node, count)),
        6 => (1..2_000_u64).prop_map(Event::Wait),
        3 => Just(Event::Renew),
        2 => Just(Event::BeginRenewal),
        1 => (0..nodes).prop_map(Event::Replace),
        1 => (0..nodes).prop_map(Event::Restart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn portions_never_add_up_to_more_than_the_limit(
        events in proptest::collection::vec(events(5), 1..120),
    ) {
        let mut fleet = Fleet::open(5);
        for event in events {
            match event {
                Event::Answer(node) => fleet.answer(node),
                Event::Deliver(index) if index < fleet.grants.len() => fleet.deliver(index),
                Event::Drop(index) if index < fleet.grants.len() => {
                    fleet.grants.remove(index);
                }
                Event::Deliver(_) | Event::Drop(_) => {}
                Event::Spend(node, count) => {
                    spend(&mut fleet, node, count);
                }
                Event::Wait(millis) => fleet.now += Duration::from_millis(millis),
                Event::Renew => fleet.renew(),
                Event::BeginRenewal => fleet.begin_renewal(),
                Event::Replace(holder) => fleet.replace_holder(holder),
                Event::Restart(node) => {
                    fleet.nodes[node] = PortionBuckets::default();
                    fleet.grants.retain(|(to, _)| *to != node);
                }
            }
            prop_assert!(fleet.held() <= 1.0 + 1e-6, "{} held", fleet.held());
        }
    }
}

#[test]
fn emergency_tokens_of_unreachable_nodes_are_reserved() {
    const NODES: usize = 4;
    let mut fleet = Fleet::open(NODES);
    for _ in 0..10 {
        spend(&mut fleet, 0, 400);
        fleet.exchange();
    }
    // Half of the fleet is partitioned from an active lease holder.
    fleet.ledger.reserve_emergency(NODES / 2, NODES);
    for _ in 0..10 {
        fleet.answer(0);
        while !fleet.grants.is_empty() {
            fleet.deliver(0);
        }
        fleet.now += STEP;
    }
    let now = fleet.now;
    for node in 2..NODES {
        fleet.nodes[node].fill_emergency(&limits(), now);
    }
    let (mut spent, mut seconds) = (0, 0.0);
    for _ in 0..40 {
        fleet.now += STEP;
        seconds += STEP.as_secs_f64();
        fleet.answer(0);
        while !fleet.grants.is_empty() {
            fleet.deliver(0);
        }
        spent += spend(&mut fleet, 0, 2_000);
        let now = fleet.now;
        for node in 2..NODES {
            let mut charge = || {
                let charged =
                    fleet.nodes[node].charge_emergency(&organisation(), LIMIT, NODES, now);
                charged.is_ok()
            };
            spent += (0..2_000).filter(|_| charge()).count();
        }
    }
    let maximum = LIMIT.rate * seconds + LIMIT.burst;
    assert!(spent as f64 <= maximum, "{spent} of {maximum}");
}
