//! Case "departure": an acknowledged departure is forgotten while the store turns its machine away.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, Work};
use crate::client::{Client, Outcome};
use crate::fleet::{Fleet, post, wait_for};
use crate::record::Record;

const BUDGET: Duration = Duration::from_millis(6_000);
const WORK: Duration = Duration::from_millis(300);
const SLOTS: u32 = 60;
/// `drain_ms` and `contact_ms` of the site.
const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time from the acknowledgement to the kill, and how long the processes are down.
const KILLED_AFTER: Duration = Duration::from_millis(1_000);
const DOWN: Duration = Duration::from_millis(500);
/// How long after the others the machine of the departure starts.
const LAST: Duration = Duration::from_millis(150);
/// How long the store turns that machine away.
const TURNED_AWAY: Duration = Duration::from_millis(9_000);
/// When the late status report arrives, counted from the start of the machine's process.
const LATE_REPORT: Duration = Duration::from_millis(3_500);
/// How long requests are sent after it.
const OBSERVED: Duration = Duration::from_millis(2_000);
const CLIENTS: usize = 6;

const MANIFEST: &str = r#"{"version":"r1","routes":[
 {"name":"charges","host":"lido.example","prefix":"/charges/","kind":"unsafe","timeout_ms":6000,
  "target_latency_ms":1500,"priority":0,"service":"payments","max_attempts":2}],
 "services":[{"name":"payments"},{"name":"desk"}],
 "limits":{"header_bytes":16384,"body_bytes":67108864,"header_ms":3000,"idle_ms":15000}}"#;

/// Returns whether the rule held.
pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<bool> {
    let services = ["payments", "payments", "payments", "desk"];
    let fleet = Fleet::start_behind_proxies(&services)?;
    let mut backends = Vec::new();
    for (node, service) in fleet.nodes.iter().zip(services) {
        let work = |_: &str| Work {
            time: WORK,
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
    let (machine, leaving) = (Arc::clone(&fleet.nodes[0]), Arc::clone(&backends[0]));
    let callers = machine.listen.callers;
    wait_for(Duration::from_secs(10), || {
        let client = Client::open(callers, BUDGET);
        client.is_ok_and(|mut client| client.get("/charges/x", None).status == Some(200))
    })?;
    thread::sleep(Duration::from_secs(1));

    // A report that is under way from now on, and arrives seconds late.
    let late_report = leaving.hold_reports();
    let path = format!("/filbertwheel/Instances.Deregister/{}", leaving.id);
    let status = post(machine.listen.reports, &path, &leaving.departure())?;
    let acknowledged = Instant::now();
    record.add(format!(
        "{} deregisters at {}: {status}",
        leaving.id, machine.name
    ));
    if status != 200 {
        return Err(io::Error::other("the departure was not acknowledged"));
    }
    thread::sleep(KILLED_AFTER);
    if trouble {
        fleet.proxies[0].set_refuses(true);
        record.add(format!("the store turns {} away", machine.name));
    }
    for node in &fleet.nodes {
        node.end();
    }
    record.add("all processes are killed");
    thread::sleep(DOWN);
    for node in &fleet.nodes[1..] {
        node.restart()?;
    }
    thread::sleep(LAST);
    machine.restart()?;
    let started = Instant::now();
    record.add(format!(
        "all processes run again, {} as the last one",
        machine.name
    ));

    thread::sleep(LATE_REPORT);
    let status = post(machine.listen.reports, &late_report.0, &late_report.1)?;
    record.add(format!(
        "a status report of {} from before its departure arrives: {status}",
        leaving.id
    ));
    let done = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for _ in 0..CLIENTS {
        let done = Arc::clone(&done);
        threads.push(thread::spawn(move || {
            let mut outcomes = Vec::new();
            while !done.load(Ordering::SeqCst) {
                let Ok(mut client) = Client::open(callers, BUDGET) else {
                    break;
                };
                outcomes.push(client.get("/charges/x", None));
            }
            outcomes
        }));
    }
    thread::sleep(OBSERVED);
    leaving.exit();
    record.add(format!("{} exits, as it has announced", leaving.id));
    thread::sleep(Duration::from_millis(500));
    done.store(true, Ordering::SeqCst);
    let outcomes: Vec<Outcome> = threads
        .into_iter()
        .filter_map(|one| one.join().ok())
        .flatten()
        .collect();
    if trouble {
        thread::sleep(TURNED_AWAY.saturating_sub(acknowledged.elapsed()));
        fleet.proxies[0].set_refuses(false);
    }
    let mut late = 0;
    for outcome in &outcomes {
        let reached = leaving.run_of(&outcome.id).is_some();
        let after_ack = outcome.sent.saturating_duration_since(acknowledged);
        let in_touch = outcome.sent.saturating_duration_since(started) >= CONTACT;
        if reached && after_ack > DRAIN && in_touch {
            record.add(format!(
                "DRAIN: sent {} ms after the acknowledgement at {}, reached {}; {}",
                after_ack.as_millis(),
                machine.name,
                leaving.id,
                outcome.text()
            ));
            late += 1;
        }
    }
    let served = outcomes
        .iter()
        .filter(|outcome| outcome.status == Some(200))
        .count();
    record.add(format!(
        "{} requests sent, {served} answered with 200, {late} reached the server that had left",
        outcomes.len()
    ));
    Ok(late == 0)
}
