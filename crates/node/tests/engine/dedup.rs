//! Non-idempotent requests run at most once across several engines.

use std::sync::Arc;
use std::time::Duration;

use filbertwheel_core::{Failure, Member, RefusalKind, Status, UnknownReason};
use filbertwheel_peer::CallHandler;
use filbertwheel_policy::{OwnershipHistory, RequestKey, request_owner};

use crate::fleet::{Fault, Fleet, LEASE, member, no_faults, request};

const SERVICES: [(&str, Option<&str>); 3] =
    [("commands", None), ("commands", None), ("commands", None)];

/// Returns the index of the node that owns a request id.
fn owner_of(request: &str) -> usize {
    let key = RequestKey {
        organisation: None,
        service: "commands".into(),
        request: request.into(),
    };
    let members = SERVICES.iter().enumerate();
    let members: Vec<_> = members
        .map(|(index, (service, _))| member(index, service))
        .collect();
    let vm = request_owner(members.iter().map(|member| &member.vm), &key);
    let index = members.iter().position(|member| Some(&member.vm) == vm);
    index.expect("there is an owner")
}

#[test]
fn a_retry_at_any_node_gets_the_first_response() {
    let fleet = Fleet::open(&SERVICES, no_faults(), no_faults());
    for entry in [0, 1, 2, 0] {
        let verdict = fleet.handle_request(entry, request("commands", Some("complaint-1")));
        let answer = verdict.expect("the answer is whole");
        assert_eq!(answer.body, "booked");
    }
    assert_eq!(fleet.fakes.total(), 1);
}

#[test]
fn a_retry_after_a_lost_response_does_not_run() {
    let lost = Box::new(|_| Fault::Lost);
    let fleet = Fleet::open(&SERVICES, no_faults(), lost);
    let first = fleet.handle_request(0, request("commands", Some("complaint-2")));
    assert_eq!(first, Err(UnknownReason::Lost.into()));
    for entry in [0, 1, 2] {
        let verdict = fleet.handle_request(entry, request("commands", Some("complaint-2")));
        assert_eq!(verdict, Err(UnknownReason::Repeated.into()));
    }
    assert_eq!(fleet.fakes.total(), 1);
}

#[test]
fn a_refused_request_may_be_retried() {
    let mut refusals = 4;
    let busy = Box::new(move |_| {
        refusals -= 1;
        if refusals >= 0 {
            Fault::Refused
        } else {
            Fault::None
        }
    });
    let fleet = Fleet::open(&SERVICES, no_faults(), busy);
    let first = fleet.handle_request(0, request("commands", Some("complaint-3")));
    let retried = fleet.handle_request(1, request("commands", Some("complaint-3")));
    assert!(matches!(first, Err(Failure::Refused(_))), "{first:?}");
    assert!(retried.is_ok(), "{retried:?}");
    assert_eq!(fleet.fakes.total(), 1);
}

#[test]
fn a_request_without_an_id_is_not_retried_after_a_lost_response() {
    let lost = Box::new(|_| Fault::Lost);
    let fleet = Fleet::open(&SERVICES, no_faults(), lost);
    let mut booking = request("commands", None);
    booking.metadata.path = "/book".into();
    assert_eq!(
        fleet.handle_request(0, booking),
        Err(UnknownReason::Lost.into())
    );
    assert_eq!(fleet.fakes.total(), 1);
}

#[test]
fn a_node_that_is_not_the_owner_refuses() {
    let fleet = Fleet::open(&SERVICES, no_faults(), no_faults());
    let refused = (0..SERVICES.len()).filter(|at| {
        let call = crate::fleet::call("commands", Some("complaint-4"));
        let engine = Arc::clone(&fleet.engines[*at]);
        let verdict = filbertwheel_runtime::block_on(
            fleet.executor.run(async move { engine.run(call).await.0 }),
        );
        verdict.is_err_and(|failure| {
            matches!(failure, Failure::Refused(refusal) if refusal.kind == RefusalKind::Unavailable)
        })
    });
    assert_eq!(refused.count(), SERVICES.len() - 1);
    assert_eq!(fleet.fakes.total(), 1);
}

#[test]
fn a_new_owner_does_not_run_what_an_earlier_one_may_have_run() {
    let fleet = Fleet::open(&SERVICES, no_faults(), no_faults());
    let first = fleet.handle_request(0, request("commands", Some("complaint-5")));
    assert!(first.is_ok(), "{first:?}");
    let owner = owner_of("complaint-5");
    let gone = Member {
        status: Status::Gone,
        ..member(owner, "commands")
    };
    let now = std::time::Instant::now();
    for index in 0..SERVICES.len() {
        fleet.change(index, |snapshot| {
            Arc::make_mut(&mut snapshot.roster).merge(gone.clone());
            let ownership = Arc::make_mut(&mut snapshot.ownership);
            ownership.observe(1, std::slice::from_ref(&gone), now + LEASE, now);
        });
    }
    let entry = (owner + 1) % SERVICES.len();
    let retried = fleet.handle_request(entry, request("commands", Some("complaint-5")));
    assert_eq!(retried, Err(UnknownReason::Forgotten.into()));
    assert_eq!(fleet.fakes.total(), 1);
}

#[test]
fn a_node_without_a_lease_runs_no_request_ids() {
    let fleet = Fleet::open(&SERVICES[..1], no_faults(), no_faults());
    fleet.change(0, |snapshot| {
        let earlier = std::time::Instant::now() - Duration::from_secs(60);
        let mut ownership = OwnershipHistory::open("vm00".into(), LEASE);
        ownership.observe(1, &[member(0, "commands")], earlier + LEASE, earlier);
        snapshot.ownership = Arc::new(ownership);
    });
    let verdict = fleet.handle_request(0, request("commands", Some("complaint-6")));
    assert!(
        matches!(&verdict, Err(Failure::Refused(refusal)) if refusal.kind == RefusalKind::Unavailable),
        "{verdict:?}"
    );
    assert_eq!(fleet.fakes.total(), 0);
}
