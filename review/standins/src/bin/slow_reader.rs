//! Clients read a large answer slowly, but within their time budget. The node must not close their
//! connections before they have the whole answer.
//!
//! Usage: slow_reader NODE_PROGRAM FOLDER RECORD TROUBLE

use std::io::{BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use review_standins::case::{Behaviour, Case, run};
use review_standins::http::{Message, read, read_head, write};
use review_standins::record::Record;

/// Time budget of the requests.
const BUDGET: Duration = Duration::from_secs(6);
/// Bound of the site: `config_apply_ms`.
const APPLY_S: f64 = 2.0;
/// Size of an answer.
const BUNDLE_BYTES: usize = 10_000_000;
/// Bytes per second that a slow client reads: the whole answer takes five seconds.
const SLOW_RATE: f64 = 2e6;
/// Bytes that a client reads at once.
const STEP: usize = 20_000;
/// Clients that read at the same time.
const CLIENTS: usize = 6;

const MANIFEST: &str = r#"{"version":"r3","routes":[
  {"name":"photos","host":"documents.example","prefix":"/photos/","kind":"download",
   "timeout_ms":6000,"target_latency_ms":1500,"priority":1,"service":"documents","max_attempts":2}],
 "services":[{"name":"documents","health_path":"/health"}],
 "limits":{"header_bytes":16384,"body_bytes":67108864,"header_ms":3000,"idle_ms":15000},
 "tenants":[]}"#;

fn main() -> ExitCode {
    run(play)
}

/// What became of a large answer.
struct Outcome {
    id: String,
    /// Seconds since the start of the record.
    sent: f64,
    ended: f64,
    status: u16,
    /// Length that the answer states, and bytes of it that arrived.
    length: usize,
    arrived: usize,
}

/// Plays the case. Returns whether the rule held.
fn play(case: &Case) -> Result<bool, String> {
    let (record, trouble) = (Arc::clone(&case.record), case.trouble);
    let places = [
        ("side-1", "majori", "documents"),
        ("side-2", "dzintari", "documents"),
        ("side-3", "bulduri", "documents"),
        ("side-4", "majori", "documents"),
    ];
    let behaviour = Behaviour {
        slots: 50,
        bundle_bytes: BUNDLE_BYTES,
        read_rate: f64::INFINITY,
        work: |_| Duration::from_millis(30),
    };
    let mut fleet = case.start(MANIFEST, &places, &behaviour)?;
    // All machines are in touch for longer than `contact_ms` before anything happens.
    std::thread::sleep(Duration::from_secs(5));
    let rate = trouble.then_some(SLOW_RATE);
    let before = read_bundles(fleet.machines[0].callers, "before", rate, &record);
    fleet.machines[0].signal("HUP");
    let hup = record.line("side-1 gets SIGHUP");
    std::thread::sleep(Duration::from_millis(500));
    let after = read_bundles(fleet.machines[0].callers, "hup", rate, &record);
    fleet.check_runs()?;

    let runs: usize = fleet
        .backends
        .iter()
        .map(|backend| backend.runs().len())
        .sum();
    let budget_s = BUDGET.as_secs_f64();
    let cut = |outcome: &&Outcome| {
        outcome.arrived < outcome.length.max(1) && outcome.ended - outcome.sent < budget_s
    };
    let at_any_time = before.iter().chain(&after).filter(cut).count();
    let planned = after.iter().filter(cut);
    let planned = planned.filter(|one| one.sent >= hup && one.sent <= hup + APPLY_S);
    let planned = planned.count();
    record.line(&format!(
        "{} large answers requested, {runs} requests ran, {at_any_time} answers cut, {planned} of \
         them to requests sent up to {APPLY_S} s after the SIGHUP",
        before.len() + after.len()
    ));
    let broken = planned > 0 || at_any_time > 3;
    record.line(if broken {
        "LOST is broken"
    } else {
        "LOST held"
    });
    Ok(!broken)
}

/// Lets clients read one large answer each at the same time, on kept connections.
fn read_bundles(
    node: SocketAddr,
    name: &str,
    rate: Option<f64>,
    record: &Arc<Record>,
) -> Vec<Outcome> {
    let clients = (0..CLIENTS).map(|client| {
        let (id, record) = (format!("{name}-{client}"), Arc::clone(record));
        std::thread::spawn(move || read_bundle(node, &id, rate, &record))
    });
    let clients: Vec<_> = clients.collect();
    let outcomes = clients.into_iter().map(|client| client.join());
    outcomes
        .map(|outcome| outcome.expect("the client ends"))
        .collect()
}

/// Sends a small request, and on the same connection one with a large answer, which is read at a
/// rate in bytes per second.
fn read_bundle(node: SocketAddr, id: &str, rate: Option<f64>, record: &Record) -> Outcome {
    let mut outcome = Outcome {
        id: id.to_owned(),
        sent: record.now(),
        ended: 0.0,
        status: 0,
        length: 0,
        arrived: 0,
    };
    // An error ends the connection, and with it the answer.
    let _ended = exchange(node, rate, record, &mut outcome);
    outcome.ended = record.line(&format!(
        "the connection of request {id}, sent at {:.3} s, is done: status {}, {} of {} bytes",
        outcome.sent, outcome.status, outcome.arrived, outcome.length
    ));
    outcome
}

fn exchange(
    node: SocketAddr,
    rate: Option<f64>,
    record: &Record,
    outcome: &mut Outcome,
) -> std::io::Result<()> {
    let id = outcome.id.clone();
    let request = |path: &str, id: &str| {
        Message::new(format!("GET /photos/{path} HTTP/1.1"), "")
            .with("Host", "documents.example")
            .with("Attempt-Id", id)
            .with("Deadline-Ms", BUDGET.as_millis().to_string())
    };
    let mut stream = TcpStream::connect_timeout(&node, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(BUDGET))?;
    let mut reader = BufReader::with_capacity(STEP, stream.try_clone()?);
    write(&mut stream, &request("index", &format!("{id}-index")))?;
    read(&mut reader)?;
    outcome.sent = record.line(&format!("request {id} is sent"));
    write(&mut stream, &request("bundle", &id))?;
    let Some(head) = read_head(&mut reader)? else {
        return Ok(());
    };
    outcome.status = head.status();
    outcome.length = head
        .header("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let began = Instant::now();
    let mut buffer = vec![0; STEP];
    while outcome.arrived < outcome.length {
        let count = reader.read(&mut buffer)?;
        if count == 0 {
            break;
        }
        outcome.arrived += count;
        if let Some(rate) = rate {
            let due = began + Duration::from_secs_f64(outcome.arrived as f64 / rate);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
        }
    }
    Ok(())
}
