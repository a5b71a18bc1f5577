//! Case "memory": clients read large answers slowly, and a node holds them all.

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
/// Number of clients that download at the same time, and size of a download.
const DOWNLOADS: u64 = 30;
const BYTES: usize = 12 * 1024 * 1024;
/// A slow client reads a download in 5 s.
const BYTES_PER_S: usize = BYTES / 5;
/// Pause between the starts of two downloads.
const PAUSE: Duration = Duration::from_millis(60);
/// Other clients, each with one request after the other, and the work of one.
const OTHERS: usize = 12;
const OTHER_WORK: Duration = Duration::from_millis(400);
/// Slots of a backend, and its work for a download.
const SLOTS: u32 = 60;
const WORK: Duration = Duration::from_millis(65);

const MANIFEST: &str = r#"{"version":"r1","routes":[
 {"name":"bundles","host":"lido.example","prefix":"/bundles/","kind":"download","timeout_ms":6000,
  "target_latency_ms":1500,"priority":1,"service":"documents","max_attempts":2},
 {"name":"checks","host":"lido.example","prefix":"/checks/","kind":"safe","timeout_ms":6000,
  "target_latency_ms":1500,"priority":1,"service":"documents","max_attempts":2}],
 "services":[{"name":"documents"},{"name":"desk"}],
 "limits":{"header_bytes":16384,"body_bytes":67108864,"header_ms":3000,"idle_ms":15000}}"#;

/// Returns whether the rule held.
pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<bool> {
    let fleet = Fleet::start(&["desk", "documents", "documents"])?;
    let mut backends = Vec::new();
    for (node, service) in fleet.nodes.iter().zip(["desk", "documents", "documents"]) {
        let work = |path: &str| match path.rsplit('/').next() {
            Some("large") => Work {
                time: WORK,
                bytes: BYTES,
            },
            _ if path.starts_with("/checks/") => Work {
                time: OTHER_WORK,
                bytes: 1_500,
            },
            _ => Work {
                time: WORK,
                bytes: 2_000,
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
        client.is_ok_and(|mut client| client.get("/bundles/small", None).status == Some(200))
    })?;

    let peaks: Vec<_> = fleet
        .nodes
        .iter()
        .map(|_| Arc::new(AtomicU64::new(0)))
        .collect();
    let done = Arc::new(AtomicBool::new(false));
    let platform: Vec<_> = fleet
        .nodes
        .iter()
        .zip(&peaks)
        .map(|(node, peak)| watch_memory(record, node, peak, &done))
        .collect();

    let others = other_clients(record, callers, &done)?;
    thread::sleep(Duration::from_secs(1));
    record.add(format!(
        "{DOWNLOADS} clients with kept connections each send a download of {BYTES} bytes; they read {}",
        if trouble { "slowly, in 5 s" } else { "as fast as they can" }
    ));
    let rate = trouble.then_some(BYTES_PER_S);
    let mut threads = Vec::new();
    for _ in 0..DOWNLOADS {
        let Ok(mut client) = Client::open(callers, BUDGET) else {
            record.add("no connection");
            break;
        };
        let record = Arc::clone(record);
        threads.push(thread::spawn(move || {
            let small = client.get("/bundles/small", None);
            if small.status != Some(200) {
                record.add(format!("answered: {}", small.text()));
                return;
            }
            let outcome = client.get("/bundles/large", rate);
            record.add(format!("answered: {}", outcome.text()));
        }));
        thread::sleep(PAUSE);
    }
    for thread in threads {
        let _joined = thread.join();
    }
    done.store(true, Ordering::SeqCst);
    let outcomes: Vec<Outcome> = others
        .into_iter()
        .filter_map(|one| one.join().ok())
        .flatten()
        .collect();
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
    // LOST: a request from a kept connection that was passed on, whose connection closed without an
    // answer.
    let mut lost = 0;
    for outcome in outcomes.iter().filter(|outcome| outcome.status.is_none()) {
        if backends
            .iter()
            .any(|backend| backend.run_of(&outcome.id).is_some())
        {
            record.add(format!("LOST {}", outcome.text()));
            lost += 1;
        }
    }
    let whole = outcomes.iter().filter(|outcome| outcome.is_whole()).count();
    record.add(format!(
        "other clients: {} requests, {whole} answered whole, {lost} passed on and closed without an answer (more than three break the rule)",
        outcomes.len()
    ));
    Ok(lost <= 3)
}

/// Other clients on the same machine, who ask for small things until `done` or until they are cut.
fn other_clients(
    record: &Arc<Record>,
    to: std::net::SocketAddr,
    done: &Arc<AtomicBool>,
) -> io::Result<Vec<thread::JoinHandle<Vec<Outcome>>>> {
    record.add(format!(
        "{OTHERS} other clients with kept connections send GET /checks/today, one after the other"
    ));
    let mut threads = Vec::new();
    for _ in 0..OTHERS {
        let mut client = Client::open(to, BUDGET)?;
        let done = Arc::clone(done);
        threads.push(thread::spawn(move || {
            let mut outcomes = Vec::new();
            while !done.load(Ordering::SeqCst) {
                let outcome = client.get("/checks/today", None);
                let cut = outcome.status.is_none();
                outcomes.push(outcome);
                if cut {
                    break;
                }
            }
            outcomes
        }));
    }
    Ok(threads)
}

/// The platform: kills a process that exceeds its memory.
fn watch_memory(
    record: &Arc<Record>,
    node: &Arc<Node>,
    peak: &Arc<AtomicU64>,
    done: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (record, node, peak) = (Arc::clone(record), Arc::clone(node), Arc::clone(peak));
    let done = Arc::clone(done);
    let began = Instant::now();
    thread::spawn(move || {
        while !done.load(Ordering::SeqCst) && began.elapsed() < Duration::from_secs(60) {
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
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
    })
}
