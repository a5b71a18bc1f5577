//! A backend server reads slowly. What its node holds for it must stay within the machine's memory: the
//! platform kills a process that exceeds it, and requests of other clients are lost.
//!
//! Usage: uploads NODE_PROGRAM FOLDER RECORD TROUBLE

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use review_standins::caller::{Caller, Sent};
use review_standins::case::{Behaviour, Case, run};
use review_standins::node::{Machine, peak_bytes};

/// Memory of a machine (`memory_mb` of the settings), in bytes.
const MEMORY_BYTES: u64 = 260 * 1024 * 1024;
/// Size of a body. The manifest allows 67,108,864 bytes.
const BODY_BYTES: usize = 60_000_000;
/// Clients that send one, each a little later than the one before.
const UPLOADS: usize = 3;
const UPLOAD_GAP: Duration = Duration::from_millis(500);
/// Bytes per second that the slow backend server reads: a body takes three seconds.
const SLOW_RATE: f64 = 2e7;
/// Time budget of the requests.
const BUDGET: Duration = Duration::from_secs(6);
/// Interval at which the platform looks at the memory of a process.
const LOOK: Duration = Duration::from_millis(5);
/// Clients with short requests on kept connections.
const CLIENTS: usize = 90;
/// Requests that may be cut (the rule counts more than three).
const ALLOWED: usize = 3;

const MANIFEST: &str = r#"{"version":"r3","routes":[
  {"name":"batches","host":"documents.example","prefix":"/batches/","kind":"unsafe",
   "timeout_ms":6000,"target_latency_ms":1500,"priority":1,"service":"documents","max_attempts":2}],
 "services":[{"name":"documents","health_path":"/health"}],
 "limits":{"header_bytes":16384,"body_bytes":67108864,"header_ms":3000,"idle_ms":15000},
 "tenants":[]}"#;

fn main() -> ExitCode {
    run(play)
}

/// Plays the case. Returns whether the rule held.
fn play(case: &Case) -> Result<bool, String> {
    let (record, trouble) = (Arc::clone(&case.record), case.trouble);
    let places = [
        ("side-1", "majori", "documents"),
        ("side-2", "dzintari", "availability"),
        ("side-3", "bulduri", "payments"),
    ];
    let behaviour = Behaviour {
        slots: 100,
        bundle_bytes: 0,
        read_rate: if trouble { SLOW_RATE } else { f64::INFINITY },
        work: |_| Duration::from_millis(150),
    };
    let fleet = case.start(MANIFEST, &places, &behaviour)?;
    let node = fleet.machines[0].callers;
    let pid = fleet.machines[0].pid().ok_or("the node has no process")?;
    let client = |name: &str| Caller::new(name, node, "documents.example", None, BUDGET, &record);
    let (short, upload) = (client("short"), client("upload"));
    let pause = Duration::from_millis(200);
    short.start(CLIENTS, "POST /batches/1 HTTP/1.1", pause, pause);
    // All machines are in touch for longer than `contact_ms` before anything happens.
    std::thread::sleep(Duration::from_secs(5));

    // The platform kills a process whose memory exceeds that of its machine.
    let (peak, killed) = (
        Arc::new(AtomicU64::new(0)),
        Arc::new(AtomicBool::new(false)),
    );
    let looking = {
        let (peak, killed, record) = (Arc::clone(&peak), Arc::clone(&killed), Arc::clone(&record));
        move || {
            while let Some(bytes) = peak_bytes(pid) {
                peak.fetch_max(bytes, Ordering::SeqCst);
                if bytes > MEMORY_BYTES && !killed.swap(true, Ordering::SeqCst) {
                    record.line(&format!("side-1 has used {bytes} bytes and is killed"));
                    Machine::kill_process(pid);
                }
                std::thread::sleep(LOOK);
            }
        }
    };
    std::thread::spawn(looking);
    let body = Arc::new("x".repeat(BODY_BYTES));
    let send = |number: usize| {
        let (upload, body) = (Arc::clone(&upload), Arc::clone(&body));
        let start = format!("POST /batches/upload{number} HTTP/1.1");
        std::thread::spawn(move || upload.send(&start, &body))
    };
    record.line(&format!(
        "{UPLOADS} clients send {BODY_BYTES} bytes each, {} ms apart; the backend servers read {}",
        UPLOAD_GAP.as_millis(),
        if trouble { "slowly" } else { "at full speed" }
    ));
    let mut sending = Vec::new();
    for number in 0..UPLOADS {
        sending.push(send(number));
        std::thread::sleep(UPLOAD_GAP);
    }
    for upload in sending {
        upload.join().map_err(|_| "a client has failed")?;
    }
    std::thread::sleep(Duration::from_secs(1));
    short.stop();
    std::thread::sleep(Duration::from_secs(1));

    let runs = fleet.backends[0].runs();
    let ran = |one: &Sent| runs.iter().any(|run| run.id == one.id);
    let cut: Vec<Sent> = short.sent().into_iter().chain(upload.sent()).collect();
    let cut = cut
        .iter()
        .filter(|one| one.status.is_none() && ran(one))
        .count();
    let answered = |caller: &Caller| {
        let sent = caller.sent();
        sent.iter().filter(|one| one.status == Some(200)).count()
    };
    record.line(&format!(
        "side-1 used up to {} bytes of {MEMORY_BYTES}; {} short requests and {} uploads answered 200; \
         {cut} requests ran and had no answer",
        peak.load(Ordering::SeqCst),
        answered(&short),
        answered(&upload)
    ));
    let broken = killed.load(Ordering::SeqCst) && cut > ALLOWED;
    record.line(if broken {
        "LOST is broken"
    } else {
        "LOST held"
    });
    Ok(!broken)
}
