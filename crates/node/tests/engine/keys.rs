//! Withdrawn keys and call tokens.

use std::sync::Arc;

use filbertwheel_backend::{BackendHandler as _, NestedRequest};
use filbertwheel_core::{Call, Failure, Key, RefusalKind, Verdict, sha256_hex};
use filbertwheel_peer::CallHandler as _;

use crate::fleet::{Fleet, call, lock, no_faults, request, request_metadata};

/// Creates a fleet of one node with one slot and one configured key.
fn single_slot() -> Fleet {
    let fleet = Fleet::open(&[("narrow", None)], no_faults(), no_faults());
    fleet.change(0, |snapshot| {
        let key = Key {
            organisation: "wardoffice".into(),
        };
        let config = Arc::make_mut(&mut snapshot.config);
        config.keys.insert(sha256_hex(b"a-key"), key);
    });
    fleet
}

fn keyed() -> Call {
    Call {
        organisation: Some("wardoffice".into()),
        key: Some(sha256_hex(b"a-key")),
        ..call("narrow", None)
    }
}

/// Runs one call and queues another, calls `meanwhile`, then lets the first call end.
fn run_with_one_queued(fleet: &Fleet, first: Call, meanwhile: impl FnOnce()) -> Vec<Verdict> {
    let (gate, closed) = async_channel::bounded(1);
    *lock(&fleet.fakes.gate) = Some(closed);
    let run = |call: Call| {
        let engine = Arc::clone(&fleet.engines[0]);
        fleet
            .executor
            .spawn(async move { engine.run(call).await.0 })
    };
    let tasks = [run(first), run(keyed())];
    filbertwheel_runtime::block_on(fleet.executor.run(async {
        while fleet.engines[0].in_flight() < 2 {
            smol::future::yield_now().await;
        }
        meanwhile();
        gate.close();
        let mut verdicts = Vec::new();
        for task in tasks {
            verdicts.push(task.await);
        }
        verdicts
    }))
}

#[test]
fn a_queued_call_of_a_withdrawn_key_does_not_run() {
    let fleet = single_slot();
    let verdicts = run_with_one_queued(&fleet, keyed(), || {
        fleet.change(0, |snapshot| {
            Arc::make_mut(&mut snapshot.config).keys.clear();
        });
    });
    assert!(verdicts[0].is_ok(), "{verdicts:?}");
    let refused = |verdict: &Verdict| matches!(verdict, Err(Failure::Refused(refusal)) if refusal.kind == RefusalKind::BadKey);
    assert!(refused(&verdicts[1]), "{verdicts:?}");
    assert_eq!(fleet.fakes.total(), 1);
}

#[test]
fn a_queued_call_runs_if_its_key_is_still_valid() {
    let fleet = single_slot();
    let verdicts = run_with_one_queued(&fleet, keyed(), || {});
    assert!(verdicts.iter().all(Verdict::is_ok), "{verdicts:?}");
    assert_eq!(fleet.fakes.total(), 2);
}

#[test]
fn a_call_with_a_key_newer_than_the_configuration_runs() {
    let fleet = Fleet::open(&[("narrow", None)], no_faults(), no_faults());
    let engine = Arc::clone(&fleet.engines[0]);
    let verdict = filbertwheel_runtime::block_on(
        fleet
            .executor
            .run(async move { engine.run(keyed()).await.0 }),
    );
    assert!(verdict.is_ok(), "{verdict:?}");
}

#[test]
fn a_token_is_valid_only_while_its_call_runs() {
    let fleet = Fleet::open(&[("commands", None)], no_faults(), no_faults());
    assert!(fleet.handle_request(0, request("commands", None)).is_ok());
    let token = lock(&fleet.fakes.tokens)[0].clone();
    let nested = NestedRequest {
        token,
        metadata: request_metadata("commands".into(), None),
        method: "GET".into(),
        headers: Vec::new(),
        body: Default::default(),
    };
    let engine = Arc::clone(&fleet.engines[0]);
    let verdict = filbertwheel_runtime::block_on(
        fleet
            .executor
            .run(async move { engine.handle_nested(nested).await }),
    );
    assert_eq!(verdict, Err(RefusalKind::BadToken.into()));
    assert_eq!(fleet.fakes.total(), 1);
}
