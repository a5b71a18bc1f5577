//! Retries of commands whose response is lost, and authentication of operators.
#![expect(
    clippy::unwrap_used,
    reason = "a test may panic on an unexpected error"
)]

use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use filbertwheel_core::{Clock, Edit, FleetSecret, PausedClock, SystemClock, Text};
use filbertwheel_http::{Limits, Listener, SendError, ShutdownTrigger};
use filbertwheel_operator::{
    Command, CommandError, CommandFailure, CommandHandler, CommandRequest, CommandTransport,
    OperatorClient, OperatorEndpoint, Query, Reply, View, send_with_retries,
};
use filbertwheel_rpc::{RequestAuth, RpcError};
use filbertwheel_runtime::block_on;
use smol::{LocalExecutor, future};

/// Returns prepared outcomes in turn and records the ids of the commands.
#[derive(Debug)]
struct ScriptedTransport {
    outcomes: Mutex<Vec<Result<Reply, CommandFailure>>>,
    ids: Mutex<Vec<Text>>,
}

#[async_trait]
impl CommandTransport for ScriptedTransport {
    async fn send(&self, request: &CommandRequest) -> Result<Reply, CommandFailure> {
        self.ids.lock().unwrap().push(request.id.clone());
        self.outcomes.lock().unwrap().remove(0)
    }
}

const UNKNOWN: CommandFailure = CommandFailure::Command(CommandError::Unknown);
const UNAVAILABLE: CommandFailure = CommandFailure::Command(CommandError::Unavailable);
const LOST: CommandFailure = CommandFailure::Rpc(RpcError::Transport(SendError::Broken));
const UNSENT: CommandFailure = CommandFailure::Rpc(RpcError::Transport(SendError::NotSent));
const CONFLICT: CommandFailure = CommandFailure::Command(CommandError::Conflict { winner: 3 });

fn edit_request() -> CommandRequest {
    let edit = Edit::RemoveRoute {
        name: "sheets".into(),
    };
    CommandRequest {
        id: "command".into(),
        command: Command::Edit(edit),
    }
}

/// Runs a command while the paused clock advances.
fn run_advancing(
    transport: &dyn CommandTransport,
    clock: &PausedClock,
    request: &CommandRequest,
) -> Result<Reply, CommandFailure> {
    let advance_clock = async {
        loop {
            clock.advance(Duration::from_millis(100));
            future::yield_now().await;
        }
    };
    block_on(future::or(
        send_with_retries(transport, clock, request),
        advance_clock,
    ))
}

/// Runs a command against prepared outcomes. Returns its outcome and the number of attempts.
fn run_script(
    outcomes: Vec<Result<Reply, CommandFailure>>,
) -> (Result<Reply, CommandFailure>, usize) {
    let clock = PausedClock::new();
    let script = ScriptedTransport {
        outcomes: Mutex::new(outcomes),
        ids: Mutex::default(),
    };
    let request = edit_request();
    let outcome = run_advancing(&script, &clock, &request);
    let ids = script.ids.into_inner().unwrap();
    assert!(ids.iter().all(|id| *id == "command".into()));
    (outcome, ids.len())
}

#[test]
fn unknown_outcome_is_retried_with_the_same_id() {
    let accepted = Ok(Reply::Accepted { version: 3 });
    let outcomes = vec![Err(UNKNOWN), Err(LOST), accepted.clone()];
    assert_eq!(run_script(outcomes), (accepted, 3));
}

#[test]
fn known_outcome_ends_the_retries() {
    for error in [UNAVAILABLE, UNSENT, CONFLICT] {
        assert_eq!(run_script(vec![Err(error.clone())]), (Err(error), 1));
    }
    assert_eq!(
        run_script(vec![Err(LOST), Err(CONFLICT)]),
        (Err(CONFLICT), 2)
    );
}

#[test]
fn unavailable_platform_leaves_the_outcome_unknown() {
    let outcomes = vec![
        Err(UNKNOWN),
        Err(UNAVAILABLE),
        Err(UNSENT),
        Err(UNAVAILABLE),
        Err(UNAVAILABLE),
    ];
    assert_eq!(run_script(outcomes), (Err(UNKNOWN), 5));
}

#[test]
fn query_is_sent_once() {
    let transport = ScriptedTransport {
        outcomes: Mutex::new(vec![Err(LOST)]),
        ids: Mutex::default(),
    };
    let command = Command::Show(Query::all(View::Status));
    let request = CommandRequest {
        id: "query".into(),
        command,
    };
    let outcome = run_advancing(&transport, &PausedClock::new(), &request);
    assert_eq!(outcome, Err(LOST));
}

/// A frozen node: each attempt takes 20 s and times out.
#[derive(Debug)]
struct FrozenNode(PausedClock, Mutex<u32>);

#[async_trait]
impl CommandTransport for FrozenNode {
    async fn send(&self, _: &CommandRequest) -> Result<Reply, CommandFailure> {
        *self.1.lock().unwrap() += 1;
        self.0.advance(Duration::from_secs(20));
        Err(CommandFailure::Rpc(RpcError::Transport(SendError::Late)))
    }
}

#[test]
fn frozen_node_ends_the_retries_after_the_window() {
    let clock = PausedClock::new();
    let transport = FrozenNode(clock.clone(), Mutex::new(0));
    let request = edit_request();
    let outcome = run_advancing(&transport, &clock, &request);
    assert_eq!(outcome, Err(UNKNOWN));
    assert_eq!(transport.1.into_inner().unwrap(), 3);
}

/// Accepts every command.
#[derive(Debug)]
struct AcceptAll;

#[async_trait]
impl CommandHandler for AcceptAll {
    async fn run(&self, _: CommandRequest) -> Result<Reply, CommandError> {
        Ok(Reply::Accepted { version: 1 })
    }

    fn metrics(&self) -> String {
        String::new()
    }

    fn is_healthy(&self) -> bool {
        true
    }
}

#[test]
fn commands_require_the_operators_secret() {
    let secret = |text: &str| FleetSecret::new(text.into());
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let auth = RequestAuth::open(secret("the operators' own secret"), Arc::clone(&clock));
    let executor = Rc::new(LocalExecutor::new());
    block_on(executor.run(async {
        let endpoint = Arc::new(OperatorEndpoint::open(Arc::new(AcceptAll), auth).unwrap());
        let (trigger, shutdown) = ShutdownTrigger::open();
        let address = "127.0.0.1:0".parse().unwrap();
        let listener = Listener::bind(address, Limits::default(), Arc::clone(&clock), shutdown);
        let listener = listener.await.unwrap();
        let address = listener.address();
        let server = executor.spawn(listener.run(Rc::clone(&executor), endpoint));
        let run = async |text| {
            let client = OperatorClient::open(address, secret(text), Arc::clone(&clock));
            client.run(&edit_request()).await
        };
        let accepted = Ok(Reply::Accepted { version: 1 });
        assert_eq!(run("the operators' own secret").await, accepted);
        let unauthenticated = Err(CommandFailure::Rpc(RpcError::Unauthenticated));
        assert_eq!(run("the nodes' secret").await, unauthenticated);
        trigger.trigger();
        server.await;
    }));
}
