//! Clients read a large answer slowly, but within their time budget. The node must not close their
//! connections before they have the whole answer.
//!
//! Usage: slow_reader NODE_PROGRAM FOLDER RECORD TROUBLE

use std::io::{BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use review_standins::backend::{Backend, BackendOptions};
use review_standins::free_address;
use review_standins::http::{Message, read, read_head, write};
use review_standins::node::Machine;
use review_standins::record::Record;
use review_standins::store::Store;

/// Time budget of the requests.
const BUDGET: Duration = Duration::from_secs(6);
/// Bound of the site: `config_apply_ms`.
const APPLY_S: f64 = 2.0;
/// Interval between status reports (`heartbeat_ms`).
const BEAT: Duration = Duration::from_millis(1_500);
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
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [program, folder, record, trouble] = arguments.as_slice() else {
        eprintln!("usage: slow_reader NODE_PROGRAM FOLDER RECORD TROUBLE");
        return ExitCode::from(2);
    };
    let played = play(
        Path::new(program),
        Path::new(folder),
        Path::new(record),
        trouble != "0",
    );
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(reason) => {
            eprintln!("the case can't run: {reason}");
            ExitCode::from(2)
        }
    }
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
fn play(program: &Path, folder: &Path, record: &Path, trouble: bool) -> Result<bool, String> {
    let record = Record::create(record).map_err(|error| error.to_string())?;
    let record = Arc::new(record);
    let store_address = free_address();
    let store = Store::start(store_address);
    store.write_manifest(MANIFEST);
    let places = [
        ("side-1", "majori", "documents"),
        ("side-2", "dzintari", "documents"),
        ("side-3", "bulduri", "documents"),
        ("side-4", "majori", "documents"),
    ];
    let mut machines = Vec::new();
    let mut backends = Vec::new();
    for place in places {
        let machine = Machine::prepare(program, folder, store_address, place);
        let mut machine = machine.map_err(|error| error.to_string())?;
        machine.start().map_err(|error| error.to_string())?;
        let options = BackendOptions {
            name: format!("backend-{}", machine.name),
            service: machine.service.clone(),
            zone: machine.zone.clone(),
            slots: 50,
            address: free_address(),
            control: machine.reports,
            beat: BEAT,
            bundle_bytes: BUNDLE_BYTES,
            read_rate: f64::INFINITY,
        };
        let work = |_: &str| Duration::from_millis(30);
        backends.push(Backend::start(options, Arc::clone(&record), work));
        machines.push(machine);
    }
    for machine in &machines {
        if !machine.wait_ready(Duration::from_secs(10)) {
            return Err(format!("{} isn't ready", machine.name));
        }
    }
    // All machines are in touch for longer than `contact_ms` before anything happens.
    std::thread::sleep(Duration::from_secs(5));
    let rate = trouble.then_some(SLOW_RATE);
    let before = read_bundles(machines[0].callers, "before", rate, &record);
    machines[0].signal("HUP");
    let hup = record.line("side-1 gets SIGHUP");
    std::thread::sleep(Duration::from_millis(500));
    let after = read_bundles(machines[0].callers, "hup", rate, &record);
    if !machines.iter_mut().all(Machine::runs) {
        return Err("a node has ended by itself".to_owned());
    }

    let runs: usize = backends.iter().map(|backend| backend.runs().len()).sum();
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
