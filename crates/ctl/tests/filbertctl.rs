//! `filbertctl` against a node that returns prepared replies.
#![expect(
    clippy::unwrap_used,
    reason = "a test may panic on an unexpected error"
)]

use std::io::Write as _;
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread;

use async_trait::async_trait;
use filbertwheel_core::{Clock, FleetSecret, SystemClock};
use filbertwheel_http::{Limits, Listener, ShutdownTrigger};
use filbertwheel_operator::{
    CommandError, CommandHandler, CommandRequest, OperatorEndpoint, Reply,
};
use filbertwheel_rpc::RequestAuth;
use filbertwheel_runtime::block_on;
use smol::LocalExecutor;

const SECRET: &str = "the operators' own secret";

/// Returns prepared replies in turn and records the commands.
#[derive(Debug)]
struct ScriptedHandler {
    replies: Mutex<Vec<Result<Reply, CommandError>>>,
    requests: Mutex<Vec<CommandRequest>>,
}

#[async_trait]
impl CommandHandler for ScriptedHandler {
    async fn run(&self, request: CommandRequest) -> Result<Reply, CommandError> {
        self.requests.lock().unwrap().push(request);
        self.replies.lock().unwrap().remove(0)
    }

    fn metrics(&self) -> String {
        String::new()
    }

    fn is_healthy(&self) -> bool {
        true
    }
}

/// Result of a run of the program.
#[derive(Debug)]
struct Outcome {
    exit_code: Option<i32>,
    out: String,
    error: String,
    requests: Vec<CommandRequest>,
}

/// Runs the program with `input` on standard input against a node that returns `replies`.
fn run(replies: Vec<Result<Reply, CommandError>>, arguments: &[&str], input: &str) -> Outcome {
    let script = Arc::new(ScriptedHandler {
        replies: Mutex::new(replies),
        requests: Mutex::default(),
    });
    let handler = Arc::clone(&script) as Arc<dyn CommandHandler>;
    let (trigger, shutdown) = ShutdownTrigger::open();
    let (address_sender, address) = std::sync::mpsc::channel();
    let node = thread::spawn(move || {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let auth = RequestAuth::open(FleetSecret::new(SECRET.into()), Arc::clone(&clock));
        let endpoint = Arc::new(OperatorEndpoint::open(handler, auth).unwrap());
        let executor = Rc::new(LocalExecutor::new());
        let any_port = "127.0.0.1:0".parse().unwrap();
        block_on(executor.run(async {
            let listener = Listener::bind(any_port, Limits::default(), clock, shutdown)
                .await
                .unwrap();
            address_sender.send(listener.address()).unwrap();
            listener.run(Rc::clone(&executor), endpoint).await;
        }));
    });
    let mut outcome = run_at(address.recv().unwrap(), arguments, input);
    trigger.trigger();
    node.join().unwrap();
    outcome.requests = script.requests.lock().unwrap().clone();
    outcome
}

fn run_at(node: SocketAddr, arguments: &[&str], input: &str) -> Outcome {
    let mut command = Command::new(env!("CARGO_BIN_EXE_filbertctl"));
    command.arg("--node").arg(node.to_string()).args(arguments);
    command.env("FILBERTWHEEL_OPERATOR_SECRET", SECRET);
    command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    // The program may exit before it has read its input, which closes the pipe.
    let _closed = child.stdin.take().unwrap().write_all(input.as_bytes());
    let output = child.wait_with_output().unwrap();
    Outcome {
        exit_code: output.status.code(),
        out: String::from_utf8(output.stdout).unwrap(),
        error: String::from_utf8(output.stderr).unwrap(),
        requests: Vec::new(),
    }
}

fn accepted(version: u64) -> Result<Reply, CommandError> {
    Ok(Reply::Accepted { version })
}

#[test]
fn outcomes_map_to_exit_codes() {
    let exit_code =
        |reply: Result<Reply, CommandError>| run(vec![reply], &["drain", "vm", "a"], "").exit_code;
    let waiting = vec!["vm2".into()];
    assert_eq!(exit_code(accepted(3)), Some(0));
    assert_eq!(
        exit_code(Err(CommandError::Conflict { winner: 4 })),
        Some(1)
    );
    assert_eq!(exit_code(Err(CommandError::Unsupported)), Some(1));
    assert_eq!(
        exit_code(Ok(Reply::Pending {
            version: 3,
            waiting
        })),
        Some(4)
    );
    assert_eq!(exit_code(Err(CommandError::Unavailable)), Some(5));
}

#[test]
fn unknown_change_is_sent_five_times_with_one_id() {
    let replies = vec![Err(CommandError::Unknown); 5];
    let outcome = run(replies, &["add", "key", "to", "kalnins"], "");
    assert_eq!(outcome.exit_code, Some(3), "{outcome:?}");
    assert_eq!(outcome.requests.len(), 5);
    assert!(
        outcome
            .requests
            .iter()
            .all(|request| *request == outcome.requests[0])
    );
    // The change may be stored, so its key is printed.
    assert!(outcome.out.starts_with("key fw-"), "{outcome:?}");
}

#[test]
fn rejected_key_is_not_printed() {
    let refused = Err(CommandError::Conflict { winner: 4 });
    let outcome = run(vec![refused], &["add", "key", "to", "kalnins"], "");
    assert_eq!(outcome.out, "");
}

#[test]
fn parse_error_in_a_file_runs_no_command() {
    let path = std::env::temp_dir().join(format!("filbertctl-{}.txt", std::process::id()));
    std::fs::write(&path, "# two\ndrain vm a\ndrian vm b\n\nshow all\n").unwrap();
    let outcome = run(Vec::new(), &["--file", path.to_str().unwrap()], "");
    std::fs::remove_file(&path).unwrap();
    assert_eq!((outcome.exit_code, outcome.requests.len()), (Some(2), 0));
    assert!(outcome.error.contains(":3:1: found drian"), "{outcome:?}");
    assert!(outcome.error.contains(":5:6: found all"), "{outcome:?}");
}

#[test]
fn piped_input_stops_at_the_first_failure() {
    let replies = vec![accepted(1), Err(CommandError::Conflict { winner: 2 })];
    let input = "drain vm a\ndrain vm b\ndrain vm c\n";
    let outcome = run(replies, &[], input);
    assert_eq!((outcome.exit_code, outcome.requests.len()), (Some(1), 2));
    assert_eq!(outcome.out, "accepted as version 1\n");
}

#[test]
fn piped_replies_are_plain_tables_or_json() {
    let rows = || {
        Ok(Reply::Rows {
            columns: vec!["vm".into(), "version".into()],
            rows: vec![vec!["v\u{1b}[1m".into(), "12".into()]],
        })
    };
    let text = run(vec![rows()], &["show", "versions"], "").out;
    assert_eq!(text, "vm     version\nv\u{fffd}[1m  12\n");
    let json = run(vec![rows()], &["--json", "show", "versions"], "").out;
    assert_eq!(
        json,
        "{\"outcome\":\"rows\",\"rows\":[{\"version\":\"12\",\"vm\":\"v\\u001b[1m\"}]}\n"
    );
}

#[test]
fn unreachable_node_has_its_exit_code() {
    let outcome = run_at("127.0.0.1:1".parse().unwrap(), &["show", "status"], "");
    assert_eq!(outcome.exit_code, Some(5), "{outcome:?}");
}

#[test]
fn quoted_shell_words_stay_one_name() {
    let arguments = [
        "set",
        "organisation",
        "ward \"7\" office",
        "rate",
        "5",
        "burst",
        "1",
    ];
    let outcome = run(vec![accepted(1)], &arguments, "");
    assert_eq!(outcome.exit_code, Some(0), "{outcome:?}");
    assert!(format!("{:?}", outcome.requests).contains("ward \\\"7\\\" office"));
}
