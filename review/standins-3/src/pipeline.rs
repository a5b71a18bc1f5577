//! Case "pipeline": a client sends safe requests behind one that a slow backend runs.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::backend::{Backend, Work};
use crate::client::{Client, Outcome, next_id, request};
use crate::fleet::{Fleet, wait_for};
use crate::record::Record;

const BUDGET: Duration = Duration::from_millis(5_000);
/// Connections, one after the other, and requests that each sends at once.
const CONNECTIONS: usize = 12;
const PIPELINED: usize = 16;
/// Size of an answer.
const BYTES: usize = 800_000;
/// Work of a request: 20 ms for the first one, and more for each behind it.
const FIRST_WORK_MS: u64 = 20;
const MORE_WORK_MS: u64 = 15;
/// How much slower the slow backend is.
const SLOW_TIMES: u32 = 12;
/// Slots of a backend.
const SLOTS: u32 = 22;

const MANIFEST: &str = r#"{"version":"r1","routes":[
 {"name":"albums","host":"lido.example","prefix":"/albums/","kind":"safe","timeout_ms":5000,
  "target_latency_ms":1500,"priority":1,"service":"albums","max_attempts":2}],
 "services":[{"name":"albums"},{"name":"desk"}],
 "limits":{"header_bytes":16384,"body_bytes":67108864,"header_ms":3000,"idle_ms":15000}}"#;

/// Returns whether the rule held.
pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<bool> {
    let services = ["desk", "albums", "albums", "albums"];
    let fleet = Fleet::start(&services)?;
    let mut backends = Vec::new();
    // Which backend is slow; 0 for none, since that one gets no requests.
    let slow = Arc::new(AtomicUsize::new(0));
    for (index, (node, service)) in fleet.nodes.iter().zip(services).enumerate() {
        let slow = Arc::clone(&slow);
        let work = move |path: &str| match path.strip_prefix("/albums/photo/") {
            Some(number) => {
                let is_slow = index > 0 && slow.load(Ordering::SeqCst) == index;
                let times = if is_slow { SLOW_TIMES } else { 1 };
                let number: u64 = number.parse().unwrap_or(0);
                let time = Duration::from_millis(FIRST_WORK_MS + MORE_WORK_MS * number);
                Work {
                    time: time * times,
                    bytes: BYTES,
                }
            }
            None => Work {
                time: Duration::from_millis(FIRST_WORK_MS),
                bytes: 1_500,
            },
        };
        backends.push(Backend::start(
            &node.name,
            service,
            node.listen.reports,
            SLOTS,
            work,
        )?);
    }
    fleet.write_manifest(MANIFEST)?;
    fleet.wait_ready()?;
    let entry = Arc::clone(&fleet.nodes[0]);
    let callers = entry.listen.callers;
    wait_for(Duration::from_secs(10), || {
        let client = Client::open(callers, BUDGET);
        client.is_ok_and(|mut client| client.get("/albums/index", None).status == Some(200))
    })?;
    std::thread::sleep(Duration::from_secs(1));
    let mut lost = 0;
    for number in 1..=CONNECTIONS {
        if trouble {
            let at = 1 + number % 3;
            slow.store(at, Ordering::SeqCst);
            record.add(format!(
                "the backend beside {} turns slow, {SLOW_TIMES} times its work",
                fleet.nodes[at].name
            ));
        }
        let mut client = Client::open(callers, BUDGET)?;
        let index = client.get("/albums/index", None);
        record.add(format!(
            "connection {number}: GET /albums/index; answered: {}",
            index.text()
        ));
        let outcomes = pipelined(&mut client);
        record.add(format!(
            "connection {number}: {PIPELINED} GET /albums/photo/N sent in one write"
        ));
        for outcome in &outcomes {
            let ran = backends
                .iter()
                .position(|backend| backend.run_of(&outcome.id).is_some());
            let ran = ran.map_or("no backend".to_owned(), |at| fleet.nodes[at].name.clone());
            record.add(format!(
                "connection {number}: {}; run beside {ran}",
                outcome.text()
            ));
        }
        if outcomes.iter().any(|outcome| outcome.closes) {
            record.add(format!(
                "connection {number}: an answer said that the connection closes; not counted"
            ));
            continue;
        }
        let unanswered = outcomes.iter().filter(|outcome| outcome.status.is_none());
        let passed_on = unanswered.filter(|one| {
            one.ended.saturating_duration_since(one.sent) < BUDGET
                && backends
                    .iter()
                    .any(|backend| backend.run_of(&one.id).is_some())
        });
        lost += passed_on.count();
    }
    let closed = entry.log_lines("too large to wait for its turn").len();
    record.add(format!(
        "lines of the node's log about answers that are too large to wait: {closed}"
    ));
    record.add(format!(
        "{lost} requests from kept connections were passed on to a sound backend and their connection closed without an answer (more than three break the rule)"
    ));
    Ok(lost <= 3)
}

/// Sends requests one behind the other, and reads their answers.
fn pipelined(client: &mut Client) -> Vec<Outcome> {
    let sent = Instant::now();
    let mut outcomes = Vec::new();
    let mut message = String::new();
    for number in 0..PIPELINED {
        let id = next_id();
        message.push_str(&request(&id, &format!("/albums/photo/{number}"), BUDGET));
        outcomes.push(Outcome {
            id,
            sent,
            ended: sent,
            status: None,
            got: 0,
            stated: 0,
            closes: false,
        });
    }
    if client.wire.write(message.as_bytes()).is_ok() {
        for outcome in &mut outcomes {
            client.read(outcome, None);
            if !outcome.is_whole() {
                break;
            }
        }
    }
    let ended = Instant::now();
    for outcome in outcomes.iter_mut().filter(|one| one.status.is_none()) {
        outcome.ended = ended;
    }
    outcomes
}
