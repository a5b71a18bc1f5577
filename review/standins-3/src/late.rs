//! Case "late": a stopping node takes a request that may not be repeated, and breaks it off.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, Work};
use crate::client::{Client, Outcome};
use crate::fleet::{Fleet, GRACE_S, SIGTERM, wait_for};
use crate::record::Record;

/// Time budget of a client, and the timeout of the route, as on the users' sheet.
const BUDGET: Duration = Duration::from_millis(6_000);
/// Work of most requests, and of a few. On the sheet the most is six times the mean.
const USUAL_WORK: Duration = Duration::from_millis(500);
const LONG_WORK: Duration = Duration::from_millis(2_800);
const SLOTS: u32 = 60;
/// Times after the stop signal at which requests with long work are sent, each by a client of its own.
const SENT_AFTER_MS: [u64; 8] = [3_010, 3_020, 3_030, 3_040, 3_050, 3_060, 3_070, 3_080];

const MANIFEST: &str = r#"{"version":"r1","routes":[
 {"name":"charges","host":"lido.example","prefix":"/charges/","kind":"unsafe","timeout_ms":6000,
  "target_latency_ms":1500,"priority":1,"service":"payments","max_attempts":2}],
 "services":[{"name":"payments"},{"name":"desk"}],
 "limits":{"header_bytes":16384,"body_bytes":67108864,"header_ms":3000,"idle_ms":15000}}"#;

/// Returns whether the rule held.
pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<bool> {
    let services = ["desk", "payments", "payments"];
    let fleet = Fleet::start(&services)?;
    let mut backends = Vec::new();
    for (node, service) in fleet.nodes.iter().zip(services) {
        let work = |path: &str| Work {
            time: if path.ends_with("/long") {
                LONG_WORK
            } else {
                USUAL_WORK
            },
            bytes: 2_000,
        };
        let reports = node.listen.reports;
        backends.push(Backend::start(&node.name, service, reports, SLOTS, work)?);
    }
    fleet.write_manifest(MANIFEST)?;
    fleet.wait_ready()?;
    let entry = Arc::clone(&fleet.nodes[0]);
    let callers = entry.listen.callers;
    wait_for(Duration::from_secs(10), || {
        let client = Client::open(callers, BUDGET);
        client.is_ok_and(|mut client| client.get("/charges/usual", None).status == Some(200))
    })?;
    let mut clients = Vec::new();
    for _ in SENT_AFTER_MS {
        let mut client = Client::open(callers, BUDGET)?;
        for _ in 0..3 {
            if client.get("/charges/usual", None).status != Some(200) {
                return Err(io::Error::other("a request in calm failed"));
            }
        }
        clients.push(client);
    }
    record.add("calm: 24 requests answered with 200");
    let stopped = Instant::now();
    if trouble {
        record.add(format!("SIGTERM to {}", entry.name));
        entry.signal(SIGTERM);
    }
    let mut threads = Vec::new();
    for (mut client, after) in clients.into_iter().zip(SENT_AFTER_MS) {
        let record = Arc::clone(record);
        threads.push(thread::spawn(move || {
            let until = Duration::from_millis(after);
            // A usual request meanwhile, also on the kept connection.
            thread::sleep(Duration::from_millis(after / 2).saturating_sub(stopped.elapsed()));
            let usual = client.get("/charges/usual", None);
            record.add(format!("answered: usual {}", usual.text()));
            thread::sleep(until.saturating_sub(stopped.elapsed()));
            record.add(format!(
                "sent: GET /charges/long, {} ms after the signal",
                stopped.elapsed().as_millis()
            ));
            let outcome = client.get("/charges/long", None);
            record.add(format!("answered: long {}", outcome.text()));
            Some(outcome)
        }));
    }
    let outcomes: Vec<Outcome> = threads
        .into_iter()
        .filter_map(|one| one.join().ok().flatten())
        .collect();
    // The backends' own records are complete by then.
    thread::sleep(Duration::from_millis(100));
    let last_sixth = Duration::from_secs(GRACE_S) * 5 / 6;
    let mut held = true;
    for outcome in outcomes {
        let Some(run) = backends
            .iter()
            .find_map(|backend| backend.run_of(&outcome.id))
        else {
            continue;
        };
        if let Some(budget) = run.stopped {
            record.add(format!(
                "{}: its backend was handed {} ms, and stopped there",
                outcome.id,
                budget.as_millis()
            ));
        }
        let sent = outcome.sent.saturating_duration_since(stopped);
        let ended = outcome.ended.saturating_duration_since(stopped);
        let used = outcome.ended.saturating_duration_since(outcome.sent);
        let excused = used >= BUDGET || (sent <= Duration::from_secs(3) && ended >= last_sixth);
        // An answer without the backend's seal is the node's own.
        if !outcome.sealed && !excused {
            record.add(format!(
                "LOST {}: sent {} ms after the signal, passed on and run, ended by the node after {} of {} ms",
                outcome.id, sent.as_millis(), used.as_millis(), BUDGET.as_millis()
            ));
            held = false;
        }
    }
    Ok(held)
}
