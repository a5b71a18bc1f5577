//! A backend server deregisters, and its node acknowledges that. Then all nodes are killed at the same
//! moment and start again. A status report from before the departure arrives late. The backend server
//! must get no request any more.
//!
//! Usage: departure NODE_PROGRAM FOLDER RECORD TROUBLE

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use review_standins::caller::Caller;
use review_standins::case::{Behaviour, Case, run};
use review_standins::record::Record;

/// Bounds of the site: `drain_ms`, `contact_ms`.
const DRAIN_S: f64 = 2.0;
const CONTACT_S: f64 = 3.0;
/// Time from the acknowledgement to the kill of all nodes.
const KILL_AFTER: Duration = Duration::from_millis(500);
/// Time from the kill to the start of the nodes.
const RESTART_AFTER: Duration = Duration::from_millis(500);
/// How late the report from before the departure arrives.
const LATE_S: f64 = 3.0;
/// How long the backend server serves after its departure was acknowledged.
const SERVES_S: f64 = 8.0;
/// Time that a request takes.
const WORK: Duration = Duration::from_millis(200);

const MANIFEST: &str = r#"{"version":"r3","routes":[
  {"name":"charge","host":"payments.example","prefix":"/charge/","kind":"unsafe","timeout_ms":6000,
   "target_latency_ms":1500,"priority":0,"service":"payments","max_attempts":2}],
 "services":[{"name":"payments","health_path":"/health"}],
 "limits":{"header_bytes":16384,"body_bytes":1048576,"header_ms":5000,"idle_ms":20000},
 "tenants":[]}"#;

fn main() -> ExitCode {
    run(play)
}

/// Plays the case. Returns whether the rule held.
fn play(case: &Case) -> Result<bool, String> {
    let (record, trouble) = (Arc::clone(&case.record), case.trouble);
    let places = [
        ("side-1", "majori", "payments"),
        ("side-2", "dzintari", "payments"),
        ("side-3", "bulduri", "payments"),
    ];
    let behaviour = Behaviour {
        slots: 50,
        bundle_bytes: 0,
        read_rate: f64::INFINITY,
        work: |_| WORK,
    };
    let mut fleet = case.start(MANIFEST, &places, &behaviour)?;
    let callers: Vec<Arc<Caller>> = fleet
        .machines
        .iter()
        .map(|machine| {
            let name = format!("client-{}", machine.name);
            let limit = Duration::from_secs(6);
            Caller::new(
                &name,
                machine.callers,
                "payments.example",
                None,
                limit,
                &record,
            )
        })
        .collect();
    for caller in &callers {
        caller.start(
            4,
            "POST /charge/1 HTTP/1.1",
            Duration::from_millis(250),
            Duration::from_millis(250),
        );
    }
    // All machines are in touch for longer than `contact_ms` before anything happens.
    std::thread::sleep(Duration::from_secs(8));
    let leaving = Arc::clone(&fleet.backends[0]);
    if leaving.runs().is_empty() {
        return Err("the leaving backend server got no request".to_owned());
    }

    // The last report before the departure is under way, and arrives late.
    leaving.end_reports();
    std::thread::sleep(Duration::from_millis(200));
    let late = leaving.next_report();
    let late_sent = record.line(&format!("{} sends a report (ready)", leaving.id));
    std::thread::sleep(Duration::from_millis(300));
    if !leaving.deregister() {
        return Err("the departure was not acknowledged".to_owned());
    }
    let acknowledged = record.line(&format!("the departure of {} is acknowledged", leaving.id));
    std::thread::sleep(KILL_AFTER);
    if trouble {
        for machine in &mut fleet.machines {
            machine.kill();
        }
        record.line("all nodes are killed");
        std::thread::sleep(RESTART_AFTER);
        for machine in &mut fleet.machines {
            machine.start().map_err(|error| error.to_string())?;
        }
        record.line("all nodes are started again");
        fleet.wait_ready()?;
        record.line("all nodes are ready");
    }
    let started = record.now();
    sleep_until(&record, late_sent + LATE_S);
    let answered = leaving.send_report(&late);
    let arrived = record.line(&format!(
        "the report from before the departure arrives late; it is {}",
        if answered {
            "acknowledged"
        } else {
            "not acknowledged"
        }
    ));
    sleep_until(&record, acknowledged + SERVES_S);
    leaving.end();
    let end = record.now();
    record.line(&format!("{} ends", leaving.id));
    std::thread::sleep(Duration::from_millis(500));
    for caller in &callers {
        caller.stop();
    }
    fleet.check_runs()?;
    std::thread::sleep(Duration::from_millis(300));

    // Only requests count that clients have sent while all machines were in touch again.
    let calm = (acknowledged + DRAIN_S).max(started.max(arrived) + CONTACT_S);
    let sent: Vec<_> = callers.iter().flat_map(|caller| caller.sent()).collect();
    let runs = leaving.runs();
    let after = runs
        .iter()
        .filter(|run| run.at > acknowledged + DRAIN_S)
        .count();
    let counted = runs.iter().filter(|run| {
        let request = sent.iter().find(|request| request.id == run.id);
        run.at > acknowledged + DRAIN_S && request.is_some_and(|request| request.at > calm)
    });
    let counted = counted.count();
    let served = sent
        .iter()
        .filter(|request| request.status == Some(200))
        .count();
    record.line(&format!(
        "{} requests sent, {served} answered 200",
        sent.len()
    ));
    record.line(&format!(
        "{after} requests reached {} later than {DRAIN_S} s after the acknowledgement, {counted} of \
         them sent by machines in touch",
        leaving.id
    ));
    let lost = runs.iter().filter(|run| {
        let request = sent.iter().find(|request| request.id == run.id);
        let runs_at_end = run.at + WORK.as_secs_f64() > end;
        runs_at_end && request.is_some_and(|request| request.status != Some(200))
    });
    record.line(&format!(
        "{} requests ran there when it ended, and were lost with it",
        lost.count()
    ));
    record.line(if counted == 0 {
        "DRAIN held"
    } else {
        "DRAIN is broken"
    });
    Ok(counted == 0)
}

fn sleep_until(record: &Record, at: f64) {
    let left = at - record.now();
    if left > 0.0 {
        std::thread::sleep(Duration::from_secs_f64(left));
    }
}
