//! A node gets SIGTERM. Its zone has no other node, so its clients keep sending. It takes requests that
//! it then gives up without an answer, though it has passed them on and they may not be repeated.
//!
//! Usage: stop NODE_PROGRAM FOLDER RECORD TROUBLE

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use review_standins::backend::Run;
use review_standins::caller::{Caller, Sent};
use review_standins::case::{Behaviour, Case, run};

/// Bounds of the site: `grace_s`, `loss_slack_ms`, and the time budget of the requests.
const GRACE_S: f64 = 6.0;
const LOSS_SLACK_S: f64 = 0.2;
const BUDGET: Duration = Duration::from_secs(6);
/// Time until which after the SIGTERM a request has to be sent whose backend's late work is excused.
const EXCUSED_S: f64 = 3.0;
/// Interval at which the platform asks whether a node is ready.
const QUESTION: Duration = Duration::from_secs(1);
/// Requests that each backend server runs at once.
const SLOTS: u32 = 120;
/// Work of a short request and of an export, both on the same route.
const SHORT: Duration = Duration::from_millis(50);
const EXPORT: Duration = Duration::from_millis(2_900);
/// Clients that send exports, at the machine that is stopped and at each other one, and the pause of
/// each between two.
const EXPORT_CLIENTS: [usize; 3] = [80, 20, 20];
const EXPORT_PAUSE: Duration = Duration::from_millis(400);
/// Clients that send short requests at each machine, and the pause of each between two.
const SHORT_CLIENTS: usize = 8;
const SHORT_PAUSE: Duration = Duration::from_millis(50);

const MANIFEST: &str = r#"{"version":"r3","routes":[
  {"name":"roster","host":"staffing.example","prefix":"/roster/","kind":"unsafe","timeout_ms":6000,
   "target_latency_ms":1500,"priority":0,"service":"staffing","max_attempts":2}],
 "services":[{"name":"staffing","health_path":"/health"}],
 "limits":{"header_bytes":16384,"body_bytes":1048576,"header_ms":5000,"idle_ms":20000},
 "tenants":[]}"#;

fn main() -> ExitCode {
    run(play)
}

/// Returns the time that a request takes, by its path.
fn work_of(path: &str) -> Duration {
    if path.ends_with("export") {
        EXPORT
    } else {
        SHORT
    }
}

/// Plays the case. Returns whether the rule held.
fn play(case: &Case) -> Result<bool, String> {
    let (record, trouble) = (Arc::clone(&case.record), case.trouble);
    let places = [
        ("side-1", "majori", "staffing"),
        ("side-2", "dzintari", "staffing"),
        ("side-3", "bulduri", "staffing"),
    ];
    let behaviour = Behaviour {
        slots: SLOTS,
        bundle_bytes: 0,
        read_rate: f64::INFINITY,
        work: work_of,
    };
    let mut fleet = case.start(MANIFEST, &places, &behaviour)?;
    std::thread::sleep(Duration::from_secs(3));
    let mut clients = Vec::new();
    for (machine, exports) in fleet.machines.iter().zip(EXPORT_CLIENTS) {
        let kinds = [
            ("export", exports, EXPORT_PAUSE, EXPORT + EXPORT_PAUSE),
            ("short", SHORT_CLIENTS, SHORT_PAUSE, SHORT + SHORT_PAUSE),
        ];
        for (kind, count, pause, cycle) in kinds {
            let name = format!("{kind}-{}", machine.name);
            let host = "staffing.example";
            let caller = Caller::new(&name, machine.callers, host, None, BUDGET, &record);
            let start = format!("POST /roster/{kind} HTTP/1.1");
            caller.start(count, &start, pause, cycle);
            clients.push(caller);
        }
    }
    std::thread::sleep(Duration::from_secs(8));

    // The node alone is its zone. When it isn't ready, fewer than half of the zone's nodes are in, so
    // its clients go on receiving new work.
    let stopped = &fleet.machines[0];
    if !stopped.is_ready() {
        return Err("the node isn't ready before its stop".to_owned());
    }
    let term = record.line(if trouble {
        "side-1 gets SIGTERM"
    } else {
        "no SIGTERM"
    });
    if trouble {
        stopped.signal("TERM");
    }
    for _ in 0..4 {
        std::thread::sleep(QUESTION);
        let answer = if stopped.is_ready() {
            "ready"
        } else {
            "not ready"
        };
        record.line(&format!("the platform asks side-1: {answer}"));
    }
    let left = term + GRACE_S - record.now();
    std::thread::sleep(Duration::from_secs_f64(left.max(0.0)));
    for client in &clients {
        client.stop();
    }
    let ended = !fleet.machines[0].runs();
    record.line(if ended {
        "side-1 has ended"
    } else {
        "side-1 runs"
    });
    if trouble && !ended {
        fleet.machines[0].kill();
        record.line("side-1 gets SIGKILL");
    }
    // The other nodes' requests end.
    std::thread::sleep(Duration::from_secs(4));

    let runs: BTreeMap<String, Run> = fleet
        .backends
        .iter()
        .flat_map(|backend| backend.runs())
        .map(|run| (run.id.clone(), run))
        .collect();
    let sent: Vec<Sent> = clients.iter().flat_map(|client| client.sent()).collect();
    let mut counted = 0;
    for request in sent.iter().filter(|request| request.status.is_none()) {
        let run = runs.get(&request.id);
        let (since, lasted) = (request.at - term, request.ended - request.at);
        // The excuse: the backend was still at work in the last sixth of the grace period.
        let last_sixth = (term + GRACE_S * 5.0 / 6.0, term + GRACE_S);
        let at_work = run.is_some_and(|run| {
            run.at < last_sixth.1 && run.at + work_of(&run.path).as_secs_f64() > last_sixth.0
        });
        let excused = at_work && since <= EXCUSED_S;
        let out_of_time = lasted >= BUDGET.as_secs_f64();
        let in_span = request.ended <= term + GRACE_S + 1.0;
        let passed_on = run.is_some();
        let held = passed_on || lasted > LOSS_SLACK_S;
        if !held {
            continue;
        }
        let lost = in_span && !excused && !out_of_time;
        counted += usize::from(lost);
        record.line(&format!(
            "request {} was sent {since:.3} s after the SIGTERM, and its connection ended {lasted:.3} \
             s later with no answer; {}{}",
            request.id,
            if passed_on { "it ran" } else { "it never ran" },
            if lost { ": LOST" } else { "" }
        ));
    }
    let count = |status: u16| sent.iter().filter(|one| one.status == Some(status)).count();
    record.line(&format!(
        "{} requests sent, {} answered 200, {} answered 503, {counted} lost",
        sent.len(),
        count(200),
        count(503)
    ));
    record.line(if counted == 0 {
        "LOST held"
    } else {
        "LOST is broken"
    });
    Ok(counted == 0)
}
