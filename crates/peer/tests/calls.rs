//! Calls whose sender stops, cancels them or is lost, in every order.

mod common;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{Calls, Node, attempt, clock, open_link, serve_links};
use filbertwheel_core::{Answer, Attempt, Failure, RefusalKind, RequestId, Verdict};
use filbertwheel_http::LocalFuture;
use filbertwheel_peer::{CallState, ForwardError, Link};
use futures_lite::FutureExt as _;
use proptest::prelude::*;
use smol::{LocalExecutor, Task};

/// Calls that are sent at once in each case.
const CALLS: usize = 24;
/// Longest time that a call waits or runs, and latest time of an event, in milliseconds.
const LONGEST_MS: u64 = 60;
/// Time that a call waits that must not begin once its link is lost, in milliseconds.
const LONG_WAIT_MS: u64 = 300;
/// Time after which every call has ended.
const END_TIME: Duration = Duration::from_millis(500);

/// A call: how long it waits and then runs, and when its sender cancels it.
#[derive(Debug, Clone)]
struct Script {
    wait_ms: u64,
    run_ms: u64,
    cancel_ms: Option<u64>,
    idempotent: bool,
}

/// Node whose calls wait and run as their paths say, and keep to the stop of their sender.
#[derive(Debug, Default)]
struct Queue {
    begun: Mutex<BTreeSet<RequestId>>,
    ended: Mutex<BTreeSet<RequestId>>,
}

impl Queue {
    async fn run_call(&self, attempt: Attempt, state: CallState) -> Verdict {
        let times: Vec<u64> = attempt
            .path
            .to_string()
            .split('-')
            .map(|text| text.parse().expect("a time"))
            .collect();
        let (waits, runs) = (
            Duration::from_millis(times[0]),
            Duration::from_millis(times[1]),
        );
        let begins = Instant::now() + waits;
        loop {
            let now = Instant::now();
            let window = state.sender_stop();
            if window.is_some_and(|window| !window.takes(Some(runs), attempt.deadline, now)) {
                return Err(RefusalKind::Draining.into());
            }
            if now >= begins {
                break;
            }
            clock().sleep(Duration::from_millis(2)).await;
        }
        state.begin();
        self.begun
            .lock()
            .expect("the set")
            .insert(attempt.request.clone());
        clock().sleep(runs).await;
        self.ended.lock().expect("the set").insert(attempt.request);
        Ok(Answer {
            status: 200,
            headers: Vec::new(),
            body: Bytes::new(),
            retries: 0,
        })
    }
}

impl Calls for Queue {
    fn run(&self, attempt: Attempt, state: CallState) -> LocalFuture<'_, Verdict> {
        Box::pin(self.run_call(attempt, state))
    }
}

/// Sends a call and returns its outcome, or `None` if it was cancelled.
async fn send(link: Link, id: usize, script: Script) -> Option<Result<Verdict, ForwardError>> {
    let attempt = Attempt {
        request: id.to_string().into(),
        idempotent: script.idempotent,
        ..attempt(&format!("{}-{}", script.wait_ms, script.run_ms), 0)
    };
    let outcome = async { Some(link.call(&attempt, Duration::ZERO).await) };
    let cancelled = async {
        match script.cancel_ms {
            Some(at) => clock().sleep(Duration::from_millis(at)).await,
            None => std::future::pending().await,
        }
        None
    };
    outcome.or(cancelled).await
}

/// Plays a case. Returns the node and the outcomes of the calls.
async fn play(
    executor: &Rc<LocalExecutor<'static>>,
    scripts: &[Script],
    stop_ms: Option<u64>,
    lost_ms: Option<u64>,
) -> (Arc<Node<Queue>>, Vec<Option<Result<Verdict, ForwardError>>>) {
    let node: Arc<Node<Queue>> = Arc::default();
    let address = serve_links(executor, node.clone()).await;
    let (link, driver) = open_link(executor, address).await;
    let send =
        |(id, script): (usize, &Script)| executor.spawn(send(link.clone(), id, script.clone()));
    let calls: Vec<Task<_>> = scripts.iter().enumerate().map(send).collect();
    let stopping = link.clone();
    let stop = executor.spawn(async move {
        if let Some(at) = stop_ms {
            clock().sleep(Duration::from_millis(at)).await;
            let closes = Duration::from_millis(100 + LONGEST_MS);
            stopping.announce_stop(Duration::ZERO, closes);
        }
    });
    let lose = executor.spawn(async move {
        match lost_ms {
            Some(at) => clock().sleep(Duration::from_millis(at)).await,
            None => clock().sleep(END_TIME).await,
        }
        drop(driver);
    });
    clock().sleep(END_TIME).await;
    stop.await;
    lose.await;
    link.close();
    let mut outcomes = Vec::new();
    for call in calls {
        let pending = async { Some(Err(ForwardError::Lost)) };
        outcomes.push(call.or(pending).await);
    }
    (node, outcomes)
}

fn script() -> impl Strategy<Value = Script> {
    let wait = prop_oneof![3 => 0..LONGEST_MS, 1 => Just(LONG_WAIT_MS)];
    let cancel = prop::option::weighted(0.2, 0..LONGEST_MS);
    (wait, 0..LONGEST_MS, cancel, any::<bool>()).prop_map(
        |(wait_ms, run_ms, cancel_ms, idempotent)| Script {
            wait_ms,
            run_ms,
            cancel_ms,
            idempotent,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    // Guards against a call that is refused as not run and runs, and one that begins when nobody waits
    // for it: cancelled, refused, run and lost in every order.
    #[test]
    fn a_call_is_refused_or_runs_and_never_both(
        scripts in prop::collection::vec(script(), CALLS),
        stop_ms in prop::option::of(0..LONGEST_MS),
        lost_ms in prop::option::of(0..LONGEST_MS),
    ) {
        let executor = Rc::new(LocalExecutor::new());
        let played = executor.run(play(&executor, &scripts, stop_ms, lost_ms));
        let (node, outcomes) = filbertwheel_runtime::block_on(played);
        let begun = node.0.begun.lock().expect("the set");
        let ended = node.0.ended.lock().expect("the set");
        for (id, (script, outcome)) in scripts.iter().zip(outcomes).enumerate() {
            let id: RequestId = id.to_string().into();
            let is_long = script.wait_ms == LONG_WAIT_MS;
            match outcome {
                Some(Ok(Ok(_))) => prop_assert!(ended.contains(&id), "answered: {script:?}"),
                Some(Ok(Err(Failure::Refused(_))) | Err(ForwardError::NotSent)) => {
                    prop_assert!(!begun.contains(&id), "refused: {script:?}");
                }
                _ if lost_ms.is_some() || script.cancel_ms.is_some() => {
                    prop_assert!(!is_long || !begun.contains(&id), "nobody waits: {script:?}");
                }
                other => prop_assert!(false, "{other:?}: {script:?}"),
            }
            if stop_ms.is_some() {
                prop_assert!(!is_long || !begun.contains(&id), "after the end: {script:?}");
            }
            let completes = begun.contains(&id) && !script.idempotent && script.cancel_ms.is_none();
            prop_assert!(!completes || ended.contains(&id), "cut off: {script:?}");
        }
    }
}
