//! Case "uploads": a tenant sends a few times its usual, large bodies, and nodes exceed their memory.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, Work};
use crate::client::{Client, Outcome};
use crate::fleet::{Fleet, MEMORY_MB, Node, wait_for};
use crate::record::Record;

const BUDGET: Duration = Duration::from_millis(6_000);
/// Size of an upload. The manifest allows 64 MiB.
const BYTES: usize = 20 * 1024 * 1024;
/// Clients of each machine that send uploads, and the time between the starts of two uploads of a client.
/// Usually one each 3 s; the hot tenant sends 7.5 times as many, three at a time.
const USUAL: (usize, Duration) = (1, Duration::from_millis(3_000));
const MORE: (usize, Duration) = (3, Duration::from_millis(1_200));
const UPLOAD_WORK: Duration = Duration::from_millis(50);
/// Other clients of each machine, and the work of their requests.
const OTHERS: usize = 10;
const OTHER_WORK: Duration = Duration::from_millis(400);
const SLOTS: u32 = 60;
/// How long uploads are sent, unless a process is killed before.
const LENGTH: Duration = Duration::from_secs(15);

/// Keys of the tenant that uploads and of the other one.
const UPLOADING: &str = "7k2hotels5wq9";
const OTHER: &str = "3m8shore1zx4";

const MANIFEST: &str = r#"{"version":"r1","routes":[
 {"name":"uploads","host":"lido.example","prefix":"/uploads/","kind":"unsafe","timeout_ms":6000,
  "target_latency_ms":1500,"priority":1,"service":"documents","max_attempts":2},
 {"name":"charges","host":"lido.example","prefix":"/charges/","kind":"unsafe","timeout_ms":6000,
  "target_latency_ms":1500,"priority":0,"service":"documents","max_attempts":2}],
 "services":[{"name":"documents"},{"name":"desk"}],
 "tenants":[{"name":"hotels","api_keys":["7k2hotels5wq9"]},{"name":"shore","api_keys":["3m8shore1zx4"]}],
 "limits":{"header_bytes":16384,"body_bytes":67108864,"header_ms":3000,"idle_ms":15000}}"#;

/// Returns whether the rule held.
pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<bool> {
    let services = [
        "desk",
        "desk",
        "desk",
        "documents",
        "documents",
        "documents",
    ];
    let fleet = Fleet::start(&services)?;
    let mut backends = Vec::new();
    for (node, service) in fleet.nodes.iter().zip(services) {
        let work = |path: &str| Work {
            time: if path.starts_with("/charges/") {
                OTHER_WORK
            } else {
                UPLOAD_WORK
            },
            bytes: 1_500,
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
    for node in &fleet.nodes {
        wait_for(Duration::from_secs(10), || {
            let client = Client::open(node.listen.callers, BUDGET);
            client.is_ok_and(|client| {
                client
                    .with_key(UPLOADING)
                    .post("/uploads/small", 300)
                    .status
                    == Some(200)
            })
        })?;
    }
    // Set when a process is killed or the time is over.
    let done = Arc::new(AtomicBool::new(false));
    let peaks: Vec<_> = fleet
        .nodes
        .iter()
        .map(|_| Arc::new(AtomicU64::new(0)))
        .collect();
    let nodes = fleet.nodes.iter().zip(&peaks);
    let platform: Vec<_> = nodes
        .map(|(node, peak)| watch_memory(record, node, peak, &done))
        .collect();

    record.add(format!(
        "{OTHERS} clients of each machine send POST /charges/x on kept connections"
    ));
    let mut others = Vec::new();
    for node in &fleet.nodes {
        for _ in 0..OTHERS {
            let client = Client::open(node.listen.callers, BUDGET)?.with_key(OTHER);
            others.push((
                node.name.clone(),
                send_on(client, "/charges/x", 300, Duration::ZERO, &done),
            ));
        }
    }
    let (count, period) = if trouble { MORE } else { USUAL };
    record.add(format!(
        "{count} clients of each of the six machines send POST /uploads/x with {BYTES} bytes, one each {} ms",
        period.as_millis()
    ));
    let mut uploads = Vec::new();
    for node in &fleet.nodes {
        for _ in 0..count {
            let client = Client::open(node.listen.callers, BUDGET)?.with_key(UPLOADING);
            uploads.push(send_on(client, "/uploads/x", BYTES, period, &done));
        }
    }
    let began = Instant::now();
    while began.elapsed() < LENGTH && !done.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(20));
    }
    done.store(true, Ordering::SeqCst);
    let uploads: Vec<Outcome> = uploads
        .into_iter()
        .filter_map(|one| one.join().ok())
        .flatten()
        .collect();
    let mut held = true;
    for node in &fleet.nodes {
        let mut lost = 0;
        let mut sent = 0;
        while let Some(at) = others.iter().position(|(name, _)| *name == node.name) {
            let outcomes = others.swap_remove(at).1.join().unwrap_or_default();
            sent += outcomes.len();
            for outcome in outcomes.iter().filter(|outcome| outcome.status.is_none()) {
                if backends
                    .iter()
                    .any(|backend| backend.run_of(&outcome.id).is_some())
                {
                    record.add(format!("LOST at {}: {}", node.name, outcome.text()));
                    lost += 1;
                }
            }
        }
        record.add(format!(
            "{}: {sent} charges sent, {lost} run and closed without an answer (more than three break the rule)",
            node.name
        ));
        held &= lost <= 3;
    }
    for thread in platform {
        let _joined = thread.join();
    }
    for (node, peak) in fleet.nodes.iter().zip(&peaks) {
        let peak = peak.load(Ordering::SeqCst);
        record.add(format!(
            "{}: peak memory {peak} kB of {} kB",
            node.name,
            MEMORY_MB * 1024
        ));
    }
    for status in [Some(200), Some(503), None] {
        let count = uploads
            .iter()
            .filter(|outcome| outcome.status == status)
            .count();
        let status = status.map_or("no answer".to_owned(), |status| status.to_string());
        record.add(format!("uploads: {count} of {}: {status}", uploads.len()));
    }
    Ok(held)
}

/// Sends requests on a kept connection, one each `period` or as the one before is answered, until `done` or until it is closed.
fn send_on(
    mut client: Client,
    path: &'static str,
    bytes: usize,
    period: Duration,
    done: &Arc<AtomicBool>,
) -> thread::JoinHandle<Vec<Outcome>> {
    let done = Arc::clone(done);
    thread::spawn(move || {
        let mut outcomes = Vec::new();
        while !done.load(Ordering::SeqCst) {
            let outcome = client.post(path, bytes);
            let pause = period.saturating_sub(outcome.sent.elapsed());
            let is_over = outcome.status.is_none() || outcome.closes;
            outcomes.push(outcome);
            if is_over {
                break;
            }
            thread::sleep(pause);
        }
        outcomes
    })
}

/// The platform: kills a process that exceeds its memory.
fn watch_memory(
    record: &Arc<Record>,
    node: &Arc<Node>,
    peak: &Arc<AtomicU64>,
    done: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (record, node) = (Arc::clone(record), Arc::clone(node));
    let (peak, done) = (Arc::clone(peak), Arc::clone(done));
    thread::spawn(move || {
        while !done.load(Ordering::SeqCst) {
            let Some(memory) = node.memory_kb() else {
                return;
            };
            peak.fetch_max(memory, Ordering::SeqCst);
            if memory > MEMORY_MB * 1024 {
                record.add(format!(
                    "{} holds {memory} kB, over its {MEMORY_MB} MB: the platform kills it",
                    node.name
                ));
                node.end();
                done.store(true, Ordering::SeqCst);
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
    })
}
